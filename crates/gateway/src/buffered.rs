//! Passes a target's response that was read completely on to the caller.

use std::rc::Rc;

use base::Name;
use inbound::BusyConnection;
use ntex::http::body::BodySize;
use ntex::util::Bytes;

use crate::call::HeldBody;
use crate::report::CallReport;
use crate::response_body::{PART_BYTES, RelayBody};
use crate::stall::wait_until_taken;
use crate::worker::Worker;

/// A target's response that was read completely. Until it is written to its caller, its bytes
/// count against the memory of the process, its connection is not idle, and its request
/// is open.
pub(crate) struct BufferedBody {
    bytes: hyper::body::Bytes,
    /// Whether a part was passed on.
    is_begun: bool,
    held: HeldBody,
    connection: Option<BusyConnection>,
    report: CallReport,
}

impl BufferedBody {
    pub(crate) fn new(
        bytes: hyper::body::Bytes,
        mut held: HeldBody,
        connection: Option<BusyConnection>,
        mut report: CallReport,
    ) -> Self {
        held.free_bytes();
        report.record_kept(bytes.len());
        Self { bytes, is_begun: false, held, connection, report }
    }

    /// Converts it into the body of the response to `request`. One of several parts is passed on as
    /// its caller takes it.
    pub(crate) fn into_body(self, worker: &Rc<Worker>, request: Name) -> RelayBody {
        if self.bytes.len() <= PART_BYTES {
            return RelayBody::Buffered(Box::new(self));
        }
        let size = self.size();
        let worker = Rc::clone(worker);
        let chunks = futures_util::stream::unfold(Some(self), move |body| {
            let (worker, request) = (Rc::clone(&worker), Name::clone(&request));
            async move {
                let mut body = body?;
                if let Some(connection) = body.connection.as_ref().filter(|_| body.is_begun) {
                    wait_until_taken(&worker, connection.io(), &request).await;
                }
                let part = body.next_part()?;
                if body.is_empty() {
                    body.end();
                    return Some((Ok(part), None));
                }
                Some((Ok(part), Some(body)))
            }
        });
        RelayBody::Stream { size, chunks: Box::pin(chunks) }
    }

    pub(crate) fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    /// Whether all parts were passed on.
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Ends the request, whose last part is handed over.
    pub(crate) fn end(self) {
        self.report.hand_over(self.connection, self.held);
    }

    pub(crate) fn next_part(&mut self) -> Option<Bytes> {
        self.is_begun = true;
        let part = self.bytes.split_to(self.bytes.len().min(PART_BYTES));
        self.report.record_kept(self.bytes.len());
        (!part.is_empty()).then(|| Bytes::copy_from_slice(&part))
    }
}
