//! The socket of a connection, which can be looked at while the connection is idle.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};

use base::unacknowledged_bytes;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes that are read at once of a response that its caller may not take. The HTTP client's
/// buffer grows with reads that fill it, which starts at one byte more.
const SMALL_READ_BYTES: usize = (8 << 10) - 1;

/// How much a socket reads at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadSize {
    Any,
    Small,
}

/// The socket of a connection. It is closed when the connection drops it.
#[derive(Debug)]
pub(crate) struct ConnectionSocket {
    stream: Rc<RefCell<TcpStream>>,
    read_size: ReadSize,
    progress: Rc<WriteProgress>,
}

/// How much of what was sent the peer has.
#[derive(Debug, Default)]
struct WriteProgress {
    /// Whether the last write found no room, or failed.
    is_blocked: Cell<bool>,
    /// Whether the peer ended the connection without all that was sent to it.
    is_cut: Cell<bool>,
}

/// Looks at the socket of a connection without reading from it or keeping it open.
#[derive(Debug)]
pub(crate) struct SocketWatch {
    stream: Weak<RefCell<TcpStream>>,
    progress: Rc<WriteProgress>,
}

impl ConnectionSocket {
    pub(crate) fn new(stream: TcpStream, read_size: ReadSize) -> (Self, SocketWatch) {
        let stream = Rc::new(RefCell::new(stream));
        let progress = Rc::new(WriteProgress::default());
        let watch = SocketWatch { stream: Rc::downgrade(&stream), progress: Rc::clone(&progress) };
        (Self { stream, read_size, progress }, watch)
    }

    fn poll_read_some(
        &self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_size == ReadSize::Any || buffer.remaining() <= SMALL_READ_BYTES {
            return self.with_stream(|stream| stream.poll_read(cx, buffer));
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(SMALL_READ_BYTES));
        let result = self.with_stream(|stream| stream.poll_read(cx, &mut part));
        let length = part.filled().len();
        buffer.advance(length);
        result
    }

    /// Records that the peer has ended the connection.
    fn record_end(&self) {
        let descriptor = self.stream.borrow().as_raw_fd();
        let is_unsent = unacknowledged_bytes(descriptor).is_some_and(|bytes| bytes > 0);
        if is_unsent || self.progress.is_blocked.get() {
            self.progress.is_cut.set(true);
        }
    }

    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        self.progress.is_blocked.set(!matches!(result, Poll::Ready(Ok(_))));
    }

    fn with_stream<T>(&self, poll: impl FnOnce(Pin<&mut TcpStream>) -> T) -> T {
        poll(Pin::new(&mut *self.stream.borrow_mut()))
    }
}

impl SocketWatch {
    /// Whether the socket is open and has nothing to read. Asks the system: the runtime learns of
    /// what arrives only between two turns of the thread.
    pub(crate) fn is_silent(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else { return false };
        let peeked = SockRef::from(&*stream.borrow()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|cause| cause.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the peer has ended the connection before it had all that was sent to it.
    pub(crate) fn is_cut(&self) -> bool {
        self.progress.is_cut.get()
    }
}

impl AsyncRead for ConnectionSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, has_room) = (buffer.filled().len(), buffer.remaining() > 0);
        let result = self.poll_read_some(cx, buffer);
        let is_end = has_room && buffer.filled().len() == before;
        if is_end && matches!(result, Poll::Ready(Ok(()))) {
            self.record_end();
        }
        result
    }
}

impl AsyncWrite for ConnectionSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = self.with_stream(|stream| stream.poll_write(cx, bytes));
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = self.with_stream(|stream| stream.poll_write_vectored(cx, slices));
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|stream| stream.poll_shutdown(cx))
    }
}
