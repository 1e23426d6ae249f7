//! Lines and columns of byte offsets.

/// Distance in bytes between two counted offsets. A file may be one line of megabytes, which must
/// not be counted again for each finding.
const COUNT_STEP: usize = 1_024;

/// A place in a text, as editors show it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TextPlace {
    /// From 1.
    pub line: usize,
    /// In characters, from 1.
    pub column: usize,
}

/// Finds the place of an offset in a text that may not be UTF-8.
#[derive(Clone, Debug)]
pub struct LineIndex<'a> {
    text: &'a [u8],
    /// Offsets at which lines begin, ascending; the first is 0.
    lines: Vec<usize>,
    /// Number of characters before each multiple of [`COUNT_STEP`].
    counted: Vec<usize>,
}

/// Returns the number of characters that begin in `bytes`. Bytes that continue a character in
/// UTF-8 do not count.
fn count_characters(bytes: &[u8]) -> usize {
    bytes.iter().filter(|byte| **byte & 0xc0 != 0x80).count()
}

impl<'a> LineIndex<'a> {
    pub fn new(text: &'a [u8]) -> Self {
        let breaks = text.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
        let lines = std::iter::once(0).chain(breaks.map(|(offset, _)| offset + 1)).collect();
        let mut counted = vec![0];
        let mut total = 0;
        for step in text.chunks(COUNT_STEP) {
            total += count_characters(step);
            counted.push(total);
        }
        Self { text, lines, counted }
    }

    fn characters_before(&self, offset: usize) -> usize {
        let step = offset / COUNT_STEP;
        let counted = self.counted.get(step).copied().unwrap_or_default();
        counted + count_characters(&self.text[step * COUNT_STEP..offset])
    }

    /// Returns the place of an offset; that of the end of the text if the offset is beyond it.
    pub fn place(&self, offset: usize) -> TextPlace {
        let offset = offset.min(self.text.len());
        let line = self.lines.partition_point(|start| *start <= offset).max(1);
        let start = self.lines.get(line - 1).copied().unwrap_or_default();
        let column = self.characters_before(offset) - self.characters_before(start) + 1;
        TextPlace { line, column }
    }

    /// Returns the offset of a byte of a line, both counted from 1; at most the end of the text.
    pub fn offset(&self, line: usize, byte: usize) -> usize {
        let start = self.lines.get(line.saturating_sub(1)).copied();
        let start = start.unwrap_or(self.text.len());
        start.saturating_add(byte.saturating_sub(1)).min(self.text.len())
    }
}
