//! Lines and columns of offsets.

use lint::{LineIndex, TextPlace};
use proptest::prelude::*;

/// Counts from the beginning of the text.
fn naive_place(text: &str, offset: usize) -> TextPlace {
    let before = &text[..offset];
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |index| index + 1);
    TextPlace { line, column: before[start..].chars().count() + 1 }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a place that an editor shows elsewhere: with characters of several bytes, on
    /// lines that are longer than the distance of counted offsets.
    #[test]
    fn places_are_counted_in_characters(
        parts in prop::collection::vec("[aäß€😀\\n]{0,900}", 0..6),
        at in any::<prop::sample::Index>(),
    ) {
        let text = parts.concat();
        let offsets: Vec<usize> = text.char_indices().map(|(offset, _)| offset).chain([text.len()]).collect();
        let offset = offsets[at.index(offsets.len())];
        let index = LineIndex::new(text.as_bytes());
        let place = index.place(offset);
        prop_assert_eq!(place, naive_place(&text, offset));
        let start = text[..offset].rfind('\n').map_or(0, |index| index + 1);
        prop_assert_eq!(index.offset(place.line, offset - start + 1), offset);
    }

    /// Guards against a panic on bytes that are no text, and on offsets beyond the end.
    #[test]
    fn any_bytes_and_offsets_have_a_place(
        bytes in prop::collection::vec(any::<u8>(), 0..3_000),
        offset in 0usize..4_000,
    ) {
        let place = LineIndex::new(&bytes).place(offset);
        prop_assert!(place.line >= 1 && place.column >= 1);
    }
}
