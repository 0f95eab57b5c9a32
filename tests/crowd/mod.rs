//! Crowds of callers that send without end, stop short of an end or don't read, and the memory
//! and descriptors that a process takes before them.

#![allow(dead_code)]

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Time without any byte of a crowd sent after which the crowd has settled.
const QUIET_TIME: Duration = Duration::from_millis(400);
/// Processor time of a process that does nothing, in ticks per [`QUIET_TIME`].
const IDLE_TICKS: u64 = 4;
/// Longest time until a crowd has settled.
const SETTLE_LIMIT: Duration = Duration::from_secs(30);
/// Time within which a crowd connects.
const CONNECT_LIMIT: Duration = Duration::from_secs(10);
/// Interval between two samples of a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Receive buffer of a caller that doesn't read, in bytes.
const UNREAD_BUFFER: u32 = 4 << 10;

static TURN: Mutex<()> = Mutex::const_new(());

/// Waits until no other crowd of this program is running.
pub async fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

/// What a caller sends after the head of its request, and what it does then.
#[derive(Clone, Copy, Debug)]
pub enum Manner {
    /// Chunks of this many bytes, without the end of the body.
    Chunks { body: usize, chunk: usize },
    /// A body of an announced length without its last byte, in pieces with pauses between them.
    Short { body: usize, piece: usize, pause: Duration },
    /// A whole body.
    Whole { body: usize },
    /// A whole completion request with a list of this many small numbers.
    Numbers { count: usize },
    /// A length of `announced` bytes, and `sent` bytes of the body.
    Announced { announced: usize, sent: usize },
    /// A request without a body whose answer is never read.
    Unread,
    /// A request without a body with this many bytes behind it.
    Pipelined { behind: usize },
    /// A head of this many bytes without its end.
    Head { bytes: usize },
    /// Nothing.
    Idle,
}

impl Manner {
    fn framing(self) -> String {
        match self {
            Self::Chunks { .. } => "Transfer-Encoding: chunked\r\n\r\n".to_owned(),
            Self::Short { body, .. } | Self::Whole { body } => {
                format!("Content-Length: {body}\r\n\r\n")
            }
            Self::Numbers { count } => {
                format!("Content-Length: {}\r\n\r\n", numbers(count).len())
            }
            Self::Announced { announced, .. } => format!("Content-Length: {announced}\r\n\r\n"),
            Self::Unread | Self::Pipelined { .. } => "Content-Length: 0\r\n\r\n".to_owned(),
            Self::Head { .. } | Self::Idle => String::new(),
        }
    }

    /// The pieces in which the rest is written.
    fn pieces(self) -> Vec<Vec<u8>> {
        match self {
            Self::Chunks { body, chunk } => {
                let one = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk)).into_bytes();
                let per_piece = (64 << 10) / one.len() + 1;
                let count = (body / chunk).div_ceil(per_piece);
                vec![one.repeat(per_piece); count]
            }
            Self::Short { body, piece, .. } => split(body - 1, piece),
            Self::Whole { body } => split(body, 64 << 10),
            Self::Numbers { count } => vec![numbers(count).into_bytes()],
            Self::Announced { sent, .. } => split(sent, 64 << 10),
            Self::Pipelined { behind } => split(behind, 64 << 10),
            Self::Head { bytes } => vec![format!("X-Pad: {}", "x".repeat(bytes)).into_bytes()],
            Self::Unread | Self::Idle => Vec::new(),
        }
    }

    fn pause(self) -> Duration {
        match self {
            Self::Short { pause, .. } => pause,
            _ => Duration::ZERO,
        }
    }
}

fn numbers(count: usize) -> String {
    let list = "1,".repeat(count - 1);
    format!(r#"{{"model":"team0-001","messages":[{{"role":"user"}}],"list":[{list}1]}}"#)
}

fn split(bytes: usize, piece: usize) -> Vec<Vec<u8>> {
    let mut pieces = vec![vec![b'x'; piece]; bytes / piece];
    pieces.push(vec![b'x'; bytes % piece]);
    pieces
}

/// A crowd whose connections stay open until it is dropped or the server closes them.
pub struct Crowd {
    callers: Vec<JoinHandle<()>>,
    /// Connections and bytes written, to see whether the callers still make progress.
    sent: Arc<AtomicUsize>,
    /// Statuses of the answers, with the number of their caller.
    statuses: Arc<std::sync::Mutex<Vec<(usize, u16)>>>,
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.callers.iter().for_each(JoinHandle::abort);
    }
}

impl Crowd {
    /// Starts `count` callers, which connect and send. `head` returns the request line and the
    /// headers of the n-th one, without those that frame its body.
    pub fn send(
        to: SocketAddr,
        count: usize,
        manner: Manner,
        head: impl Fn(usize) -> String,
    ) -> Self {
        let sent = Arc::new(AtomicUsize::new(0));
        let statuses = Arc::<std::sync::Mutex<Vec<_>>>::default();
        let pieces = Arc::new(manner.pieces());
        let mut callers = Vec::with_capacity(count);
        for n in 0..count {
            let first = match manner {
                Manner::Idle => Vec::new(),
                _ => (head(n) + &manner.framing()).into_bytes(),
            };
            let (pieces, sent) = (pieces.clone(), sent.clone());
            let statuses = statuses.clone();
            let on_status = move |status| statuses.lock().unwrap().push((n, status));
            callers.push(tokio::spawn(call(to, first, pieces, manner, sent, on_status)));
        }
        Self { callers, sent, statuses }
    }

    /// Waits until none of the callers can or wants to send any more, and the process has dealt
    /// with what they sent.
    pub async fn settled(&self, watch: &Watch) {
        let end = Instant::now() + SETTLE_LIMIT;
        let state = || (self.sent.load(Ordering::Relaxed), cpu_ticks(watch.pid));
        let mut before = state();
        while Instant::now() < end {
            sleep(QUIET_TIME).await;
            let now = state();
            if now.0 == before.0 && now.1 <= before.1 + IDLE_TICKS {
                return;
            }
            before = now;
        }
    }
}

impl Crowd {
    /// Callers whose answer states that their request did not run, and never will.
    pub fn told_not_run(&self) -> Vec<usize> {
        let statuses = self.statuses.lock().unwrap();
        let promises = |(_, status): &&(usize, u16)| matches!(status, 408 | 421 | 429 | 503);
        statuses.iter().filter(promises).map(|(n, _)| *n).collect()
    }
}

async fn connect(to: SocketAddr, manner: Manner) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().unwrap();
    if matches!(manner, Manner::Unread) {
        socket.set_recv_buffer_size(UNREAD_BUFFER).unwrap();
    }
    // A server may refuse connections beyond its limit.
    timeout(CONNECT_LIMIT, socket.connect(to)).await.ok()?.ok()
}

/// Sends what a manner asks for, and then holds the connection until the server closes it.
/// Tells the status of the answer.
async fn call(
    to: SocketAddr,
    first: Vec<u8>,
    pieces: Arc<Vec<Vec<u8>>>,
    manner: Manner,
    sent: Arc<AtomicUsize>,
    on_status: impl FnOnce(u16),
) {
    let Some(mut stream) = connect(to, manner).await else { return };
    sent.fetch_add(1, Ordering::Relaxed);
    for piece in std::iter::once(&first).chain(pieces.iter()) {
        // A server that refuses the request may close the connection after its answer.
        if stream.write_all(piece).await.is_err() {
            break;
        }
        sent.fetch_add(piece.len(), Ordering::Relaxed);
        sleep(manner.pause()).await;
    }
    if matches!(manner, Manner::Unread) {
        return std::future::pending().await;
    }
    let mut line = [0; "HTTP/1.1 200".len()];
    if stream.read_exact(&mut line).await.is_ok()
        && let Ok(status) = String::from_utf8_lossy(&line[9..]).parse()
    {
        on_status(status);
    }
    let mut rest = [0; 4096];
    while let Ok(1..) = stream.read(&mut rest).await {}
}

/// Peak values of a process since it has been watched.
#[derive(Clone, Copy, Debug)]
pub struct Peak {
    /// Resident memory and bytes received but not read, in bytes.
    pub memory: u64,
    /// Open descriptors.
    pub files: u64,
}

/// Samples a process until it is dropped.
pub struct Watch {
    memory: Arc<AtomicU64>,
    files: Arc<AtomicU64>,
    pid: u32,
    task: JoinHandle<()>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Watch {
    /// Starts to sample a process that listens for callers at `port`.
    pub fn start(pid: u32, port: u16) -> Self {
        let zero = Arc::<AtomicU64>::default;
        let (memory, files) = (zero(), zero());
        let (m, f) = (memory.clone(), files.clone());
        let task = tokio::spawn(async move {
            loop {
                let (sockets, count) = open_files(pid);
                f.fetch_max(count, Ordering::Relaxed);
                let bytes = resident_bytes(pid) + unread_bytes(port, &sockets);
                m.fetch_max(bytes, Ordering::Relaxed);
                sleep(SAMPLE_INTERVAL).await;
            }
        });
        Self { memory, files, pid, task }
    }

    /// The peaks so far.
    pub fn peak(&self) -> Peak {
        Peak {
            memory: self.memory.load(Ordering::Relaxed),
            files: self.files.load(Ordering::Relaxed),
        }
    }
}

/// Resident memory of a process, in bytes; 0 if it has ended.
fn resident_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("0 kB");
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or(0) << 10
}

/// Inodes of a process's sockets and the number of its descriptors.
fn open_files(pid: u32) -> (HashSet<String>, u64) {
    let (mut inodes, mut count) = (HashSet::new(), 0);
    let Ok(list) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return (inodes, 0) };
    for entry in list.flatten() {
        count += 1;
        let Ok(link) = std::fs::read_link(entry.path()) else { continue };
        let link = link.to_string_lossy().into_owned();
        let inode = link.strip_prefix("socket:[").and_then(|l| l.strip_suffix(']'));
        inodes.extend(inode.map(str::to_owned));
    }
    (inodes, count)
}

/// Processor time that a process has used, in ticks; 0 if it has ended.
fn cpu_ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name of the program, in parentheses, may contain blanks.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace();
    fields.skip(11).take(2).filter_map(|f| f.parse::<u64>().ok()).sum()
}

/// Bytes that were received at a process's sockets, or for its callers' port, and not read.
fn unread_bytes(port: u16, inodes: &HashSet<String>) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let port = format!(":{port:04X}");
    let unread = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, _, state, sizes, _, _, _, _, inode, ..] = fields[..] else { return None };
        // The receive queue of a listener is a number of connections.
        let own = state != "0A" && (inodes.contains(inode) || local.ends_with(&port));
        let (_, unread) = sizes.split_once(':').filter(|_| own)?;
        u64::from_str_radix(unread, 16).ok()
    };
    table.lines().skip(1).filter_map(unread).sum()
}
