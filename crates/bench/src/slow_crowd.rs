//! Callers that read their responses slowly or not at all, and what a process under test holds
//! for them. Tests of `poplar-router` and `poplar-gateway` share this module.

use std::collections::BTreeSet;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::Context;
use socket2::{Domain, Socket, Type};

/// Time between two samples of a process.
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);
/// A process has settled when it has not grown by this many kilobytes for this time.
const SETTLED_GROWTH_KB: u64 = 1_024;
const SETTLED_TIME: Duration = Duration::from_secs(3);
/// Longest wait until a process has settled.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two bytes that a caller with [`ReadPace::BytePerSecond`] reads.
const BYTE_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a caller waits for the process to take its requests.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// What a process holds at one time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessUse {
    /// Resident memory, in kilobytes.
    pub resident_kb: u64,
    /// Bytes in the queues of its TCP sockets, in kilobytes.
    pub socket_kb: u64,
    pub descriptors: u64,
}

impl ProcessUse {
    /// Reads what the process `pid` holds.
    ///
    /// # Errors
    /// Returns an error if the process does not exist.
    pub fn read(pid: u32) -> anyhow::Result<Self> {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = line.and_then(|line| line.split_whitespace().next());
        let resident_kb = resident.context("step=read_use: the process has ended")?.parse()?;
        let mut sockets = BTreeSet::new();
        let mut descriptors = 0;
        for entry in fs::read_dir(format!("/proc/{pid}/fd"))?.flatten() {
            descriptors += 1;
            let link = fs::read_link(entry.path()).unwrap_or_default();
            let inode = link.to_str().and_then(|link| link.strip_prefix("socket:["));
            sockets.extend(inode.and_then(|text| text.strip_suffix(']')?.parse::<u64>().ok()));
        }
        let table = fs::read_to_string(format!("/proc/{pid}/net/tcp"))?;
        let queued: u64 = table.lines().filter_map(|line| queued_bytes(line, &sockets)).sum();
        Ok(Self { resident_kb, socket_kb: queued >> 10, descriptors })
    }

    /// Returns resident memory and socket queues together, in kilobytes.
    pub fn total_kb(&self) -> u64 {
        self.resident_kb + self.socket_kb
    }
}

/// Returns the bytes in both queues of the socket in a line of `/proc/net/tcp`, if it is one of
/// `sockets`. The receive queue of a listening socket counts connections.
fn queued_bytes(line: &str, sockets: &BTreeSet<u64>) -> Option<u64> {
    const LISTENING: &str = "0A";
    let fields: Vec<&str> = line.split_whitespace().collect();
    let inode = fields.get(9)?.parse().ok()?;
    if !sockets.contains(&inode) || fields[3] == LISTENING {
        return None;
    }
    let (sent, received) = fields[4].split_once(':')?;
    Some(u64::from_str_radix(sent, 16).ok()? + u64::from_str_radix(received, 16).ok()?)
}

/// Samples a process until it is dropped.
#[derive(Debug)]
pub struct UseSampler {
    pid: u32,
    /// Sample with the largest total, and the largest number of descriptors.
    peak: Arc<Mutex<ProcessUse>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl UseSampler {
    pub fn start(pid: u32) -> Self {
        let (peak, stop) = (Arc::<Mutex<ProcessUse>>::default(), Arc::<AtomicBool>::default());
        let (sampled, stopped) = (Arc::clone(&peak), Arc::clone(&stop));
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                if let Ok(current) = ProcessUse::read(pid) {
                    record_peak(&sampled, current);
                }
                std::thread::sleep(SAMPLE_PERIOD);
            }
        });
        Self { pid, peak, stop, thread: Some(thread) }
    }

    /// Waits until the process no longer grows, and returns the peak so far.
    pub fn settle(&self) -> ProcessUse {
        let start = Instant::now();
        let mut last = self.peak();
        let mut grown_at = start;
        while grown_at.elapsed() < SETTLED_TIME && start.elapsed() < SETTLE_TIMEOUT {
            std::thread::sleep(SAMPLE_PERIOD);
            let peak = self.peak();
            if peak.total_kb() > last.total_kb() + SETTLED_GROWTH_KB {
                last = peak;
                grown_at = Instant::now();
            }
        }
        self.peak()
    }

    pub fn peak(&self) -> ProcessUse {
        *self.peak.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the process has not ended.
    pub fn is_alive(&self) -> bool {
        ProcessUse::read(self.pid).is_ok()
    }
}

impl Drop for UseSampler {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A sampler that failed has nothing left to clean up.
            let _ = thread.join();
        }
    }
}

fn record_peak(peak: &Mutex<ProcessUse>, current: ProcessUse) {
    let mut peak = peak.lock().unwrap_or_else(PoisonError::into_inner);
    let descriptors = peak.descriptors.max(current.descriptors);
    if current.total_kb() > peak.total_kb() {
        *peak = current;
    }
    peak.descriptors = descriptors;
}

/// How a caller reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadPace {
    BytePerSecond,
    Nothing,
    /// Reads this many bytes, then nothing more.
    StopsAfter(usize),
}

/// Settings of callers that read slowly.
#[derive(Clone, Copy, Debug)]
pub struct SlowCrowd {
    pub callers: usize,
    pub pace: ReadPace,
    /// Receive buffer of each caller's socket in bytes; none for the system's default.
    pub receive_buffer: Option<usize>,
}

/// Connected callers, whose connections are closed when this is dropped.
#[derive(Debug)]
pub struct ConnectedCrowd {
    streams: Vec<TcpStream>,
    stop: Arc<AtomicBool>,
    reader: Option<JoinHandle<()>>,
}

impl SlowCrowd {
    /// Connects all callers. Each sends the bytes that `requests` returns for its index.
    ///
    /// # Errors
    /// Returns an error if a connection can't be opened.
    pub fn connect(
        &self,
        address: SocketAddr,
        requests: impl Fn(usize) -> Vec<u8>,
    ) -> anyhow::Result<ConnectedCrowd> {
        let mut streams = Vec::new();
        for index in 0..self.callers {
            let mut stream = self.open(address)?;
            // The process may refuse the caller, or leave its requests unread.
            let _ = stream.write_all(&requests(index));
            streams.push(stream);
        }
        let stop = Arc::<AtomicBool>::default();
        let pace = self.pace;
        let readers: Result<Vec<TcpStream>, _> = streams.iter().map(TcpStream::try_clone).collect();
        let (readers, stopped) = (readers?, Arc::clone(&stop));
        let reader = std::thread::spawn(move || read_slowly(readers, pace, &stopped));
        Ok(ConnectedCrowd { streams, stop, reader: Some(reader) })
    }

    fn open(&self, address: SocketAddr) -> anyhow::Result<TcpStream> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        if let Some(bytes) = self.receive_buffer {
            socket.set_recv_buffer_size(bytes)?;
        }
        socket.connect(&address.into())?;
        let stream = TcpStream::from(socket);
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        Ok(stream)
    }
}

/// Reads at `pace` until `stop` is set. All connections share the thread.
fn read_slowly(mut streams: Vec<TcpStream>, pace: ReadPace, stop: &AtomicBool) {
    let (mut left, step, pause) = match pace {
        ReadPace::Nothing => return,
        ReadPace::BytePerSecond => (vec![usize::MAX; streams.len()], 1, BYTE_PERIOD),
        ReadPace::StopsAfter(bytes) => (vec![bytes; streams.len()], 16 << 10, SAMPLE_PERIOD),
    };
    let mut buffer = vec![0; step];
    let mut next_at = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(SAMPLE_PERIOD);
        if Instant::now() < next_at {
            continue;
        }
        next_at = Instant::now() + pause;
        for (stream, left) in streams.iter_mut().zip(&mut left) {
            let most = step.min(*left);
            // Nothing may be there to read, and the process may have closed the connection.
            let _ = stream.set_nonblocking(true);
            *left -= stream.read(&mut buffer[..most]).unwrap_or_default();
        }
    }
}

impl ConnectedCrowd {
    /// Returns the number of callers, whether or not their connection is still open.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}

impl Drop for ConnectedCrowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(reader) = self.reader.take() {
            // A reader that failed has nothing left to clean up.
            let _ = reader.join();
        }
    }
}
