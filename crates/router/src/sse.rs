//! Parser for the server-sent events of a model engine: tokens in order, then
//! `[DONE]`.

use serde::Deserialize;
use thiserror::Error;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum EngineEvent {
    /// A token, with its position in the response and the event's data as
    /// received.
    Token { index: u64, data: String },
    /// The end of the stream.
    Done,
}

/// An error in an engine's event stream.
#[derive(Debug, Error, PartialEq)]
pub(crate) enum SseError {
    #[error("event has over {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    #[error("event is malformed")]
    Malformed,
}

#[derive(Deserialize)]
struct TokenData {
    i: u64,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub(crate) struct SseParser {
    buffer: Vec<u8>,
}

impl SseParser {
    /// Appends received bytes, which may start or end in the middle of an
    /// event.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of received bytes that are no complete event yet.
    pub(crate) fn waiting(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// Returns an error if the event is too large, or is neither a token nor
    /// `[DONE]`.
    pub(crate) fn next_event(&mut self) -> Result<Option<EngineEvent>, SseError> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n");
        let Some(end) = end else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(SseError::TooLarge);
            }
            return Ok(None);
        };
        let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
        parse_event(&event[..end]).map(Some)
    }
}

fn parse_event(event: &[u8]) -> Result<EngineEvent, SseError> {
    let text = std::str::from_utf8(event).map_err(|_| SseError::Malformed)?;
    let data = text.strip_prefix("data: ").ok_or(SseError::Malformed)?;
    if data == "[DONE]" {
        return Ok(EngineEvent::Done);
    }
    let token: TokenData = serde_json::from_str(data).map_err(|_| SseError::Malformed)?;
    Ok(EngineEvent::Token { index: token.i, data: data.to_owned() })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_are_found_wherever_the_bytes_are_cut() {
        let whole = b"data: {\"i\":0,\"t\":\"a\"}\n\ndata: [DONE]\n\n";
        for cut in 0..whole.len() {
            let mut parser = SseParser::default();
            let mut events = Vec::new();
            for part in [&whole[..cut], &whole[cut..]] {
                parser.push(part);
                while let Some(event) = parser.next_event().unwrap() {
                    events.push(event);
                }
            }
            assert_eq!(events.len(), 2, "cut at {cut}");
            assert_eq!(events[1], EngineEvent::Done);
        }
    }

    #[test]
    fn garbage_is_an_error() {
        let mut parser = SseParser::default();
        parser.push(b"\x01garbage\n\n");
        assert_eq!(parser.next_event(), Err(SseError::Malformed));
    }
}
