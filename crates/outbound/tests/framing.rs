//! Tests of what the end of a body proves.

use outbound::{BodyFraming, ListenerState};

/// Guards against half a body of a peer that died, and against whole ones of peers that serve on.
#[test]
fn only_a_body_that_ends_with_its_connection_may_be_cut_by_the_end_of_its_peer() {
    use BodyFraming::{Chunked, Connection, Length};
    use ListenerState::{Listening, Refused, Unknown};
    for framing in [Length, Chunked, Connection] {
        for listener in [Listening, Refused, Unknown] {
            let is_cut = (framing, listener) == (Connection, Refused);
            assert_eq!(framing.may_be_cut(listener), is_cut, "{framing:?} {listener:?}");
        }
    }
}
