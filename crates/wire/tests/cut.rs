//! Tests that part of a message is not taken for a whole one.

use wire::{CodecError, DocumentCopy, KeyQuery, KeyResponse};

fn assert_whole_only<T>(message: &T) -> Result<(), CodecError>
where
    T: serde::Serialize + serde::de::DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let bytes = wire::encode(message)?;
    assert_eq!(wire::decode::<T>(&bytes)?, *message);
    for len in 0..bytes.len() {
        let decoded = wire::decode::<T>(&bytes[..len]);
        assert!(decoded.is_err(), "{len} of {} bytes: {decoded:?}", bytes.len());
    }
    Ok(())
}

/// Guards against a message of a router whose connection ended early and that counts as whole.
#[test]
fn part_of_a_message_is_refused() -> Result<(), CodecError> {
    let copy = DocumentCopy { revision: 70_000, text: "{\"services\": {}}".into() };
    assert_whole_only(&copy)?;
    assert_whole_only(&Some(copy))?;
    assert_whole_only(&None::<DocumentCopy>)?;
    assert_whole_only(&KeyQuery { account: "bass-line".into(), key: "router-0-1".into() })?;
    assert_whole_only(&KeyResponse::Done { status: 200, body: b"{\"seat\":\"12A\"}".to_vec() })?;
    assert_whole_only(&KeyResponse::NotRun)
}
