//! Links between the nodes of a cell.
//!
//! Each node dials every other node, sends on the links that it dialed and receives on
//! the links that others dialed. Before any message, both sides prove that they know
//! the shared secret. The dialer sends pings at a fixed interval and closes a link
//! whose pong is late: a middlebox that has lost the state of a connection leaves it
//! silent although new connections work. Links are authenticated but not encrypted.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, KeyInit, Mac};
use prost::Message;
use sha2::Sha256;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, interval, sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::error::{Error, Result};
use crate::generated::peer::{Frame, Hello, Ping, Proof, frame::Body};
use crate::ids::{Map, Node};

/// Maximum frame size.
const FRAME_MAX_BYTES: usize = 1 << 20;
/// Time limit for connecting, and for the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval between pings.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a pong after which the dialer closes a link.
const PONG_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before a failed or closed link is dialed again.
const REDIAL_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of messages queued for a link; more are dropped, as on a lossy network.
const QUEUE_FRAMES: usize = 4096;

/// Size of the length prefix of a frame.
const LENGTH_PREFIX_BYTES: u64 = 4;

type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// Totals of what a node has sent on all its links, without handshakes.
#[derive(Debug, Default)]
pub(crate) struct SentTotals {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl SentTotals {
    /// Returns the number of frames sent.
    pub(crate) fn frames(&self) -> u64 {
        self.frames.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes sent, with length prefixes but without TCP headers.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn encode(&self, body: Body) -> Bytes {
        let frame = encode(body);
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(LENGTH_PREFIX_BYTES + frame.len() as u64, Ordering::Relaxed);
        frame
    }
}

/// Handler of messages and events of the links.
pub(crate) trait MessageHandler: Clone + Send + Sync + 'static {
    /// Handles a message from another node.
    fn on_message(&self, from: &Node, body: Body);
    /// Handles an opened outgoing link.
    fn on_open(&self, peer: &Node);
    /// Returns this node's authority level, which the handshake sends to the dialer.
    fn authority(&self) -> u32;
}

/// Result of dialing an address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DialOutcome {
    /// No process listens at the address.
    Refused,
    /// No valid answer arrived in time.
    Silent,
    /// A process of this incarnation answered, with its authority level.
    Node(Node, u32),
}

struct OutgoingLink {
    addr: SocketAddr,
    tx: mpsc::Sender<Body>,
    task: tokio::task::JoinHandle<()>,
}

/// Links of one node to all others.
pub(crate) struct Links<H> {
    local: Node,
    secret: Arc<[u8]>,
    handler: H,
    sent: Arc<SentTotals>,
    out: Mutex<Map<String, OutgoingLink>>,
}

impl<H: MessageHandler> Links<H> {
    /// Creates a set of links without dialing any.
    pub(crate) fn new(local: Node, secret: &[u8], handler: H) -> Arc<Self> {
        Arc::new(Self {
            local,
            secret: Arc::from(secret),
            handler,
            sent: Arc::default(),
            out: Mutex::default(),
        })
    }

    /// Returns the totals of what this node has sent.
    pub(crate) fn sent(&self) -> &SentTotals {
        &self.sent
    }

    /// Accepts links from other nodes until the future is dropped.
    pub(crate) async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let links = self.clone();
                    tokio::spawn(async move {
                        if let Err(e) = links.serve(stream).await {
                            log::debug!("incoming peer link closed: {e}");
                        }
                    });
                }
                Err(e) => {
                    log::warn!("accepting a link from a peer failed: {e}");
                    sleep(REDIAL_DELAY).await;
                }
            }
        }
    }

    /// Dials the listed nodes and closes the links to all others.
    pub(crate) fn set_peers(&self, peers: &[(String, SocketAddr)]) {
        let mut out = self.out.lock().unwrap();
        out.retain(|name, o| {
            let keep = peers.iter().any(|(n, a)| n == name && *a == o.addr);
            if !keep {
                o.task.abort();
            }
            keep
        });
        for (name, addr) in peers {
            if !out.contains_key(name) {
                out.insert(name.clone(), self.dial(*addr));
            }
        }
    }

    fn dial(&self, addr: SocketAddr) -> OutgoingLink {
        let (tx, rx) = mpsc::channel(QUEUE_FRAMES);
        let dialer = Dialer {
            local: self.local.clone(),
            secret: self.secret.clone(),
            addr,
            handler: self.handler.clone(),
            sent: self.sent.clone(),
        };
        OutgoingLink { addr, tx, task: tokio::spawn(dialer.run(rx)) }
    }

    /// Queues a message to the named node; returns false if it was dropped because there is
    /// no link or its queue is full.
    pub(crate) fn send(&self, name: &str, body: Body) -> bool {
        let out = self.out.lock().unwrap();
        out.get(name).is_some_and(|o| o.tx.try_send(body).is_ok())
    }

    /// Dials the named node on a new connection.
    pub(crate) async fn probe(&self, name: &str) -> DialOutcome {
        let addr = self.out.lock().unwrap().get(name).map(|o| o.addr);
        let Some(addr) = addr else { return DialOutcome::Silent };
        match connect(addr, &self.local, &self.secret).await {
            Ok((node, level, _)) => DialOutcome::Node(node, level),
            Err((outcome, _)) => outcome,
        }
    }

    async fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true).map_err(io_error)?;
        let mut link = Framed::new(stream, codec());
        let accept =
            accept_handshake(&mut link, &self.local, &self.secret, self.handler.authority());
        let from = timeout(HANDSHAKE_TIMEOUT, accept).await.map_err(|_| timed_out())??;
        loop {
            let body =
                timeout(PONG_TIMEOUT * 2, read(&mut link)).await.map_err(|_| timed_out())??;
            match body {
                Body::Ping(ping) => {
                    let pong = self.sent.encode(Body::Pong(ping));
                    link.send(pong).await.map_err(io_error)?;
                }
                body => self.handler.on_message(&from, body),
            }
        }
    }
}

struct Dialer<H> {
    local: Node,
    secret: Arc<[u8]>,
    addr: SocketAddr,
    handler: H,
    sent: Arc<SentTotals>,
}

impl<H: MessageHandler> Dialer<H> {
    async fn run(self, mut rx: mpsc::Receiver<Body>) {
        loop {
            match connect(self.addr, &self.local, &self.secret).await {
                Ok((node, _, link)) => {
                    self.handler.on_open(&node);
                    if let Err(e) = run_link(link, &mut rx, &self.sent).await {
                        log::info!("peer link to {node} closed: {e}");
                    }
                }
                Err((_, e)) => {
                    log::debug!("dialing the peer at {} failed: {e}", self.addr);
                    // Messages to an unreachable node are dropped, as on a lossy network.
                    while rx.try_recv().is_ok() {}
                }
            }
            sleep(REDIAL_DELAY).await;
        }
    }
}

async fn connect(
    addr: SocketAddr,
    local: &Node,
    secret: &[u8],
) -> std::result::Result<(Node, u32, Link), (DialOutcome, Error)> {
    let stream = match timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Err((DialOutcome::Refused, io_error(e)));
        }
        Ok(Err(e)) => return Err((DialOutcome::Silent, io_error(e))),
        Err(_) => return Err((DialOutcome::Silent, timed_out())),
    };
    let _ = stream.set_nodelay(true);
    let mut link = Framed::new(stream, codec());
    match timeout(HANDSHAKE_TIMEOUT, dial_handshake(&mut link, local, secret)).await {
        Ok(Ok((node, level))) => Ok((node, level, link)),
        Ok(Err(e)) => Err((DialOutcome::Silent, e)),
        Err(_) => Err((DialOutcome::Silent, timed_out())),
    }
}

/// Sends queued messages and pings until the link fails or a pong is late.
async fn run_link(mut link: Link, rx: &mut mpsc::Receiver<Body>, sent: &SentTotals) -> Result<()> {
    let mut ticks = interval(PING_INTERVAL);
    let mut last_pong = Instant::now();
    loop {
        tokio::select! {
            body = rx.recv() => {
                let Some(body) = body else { return Ok(()) };
                // Messages that are already queued share one flush.
                link.feed(sent.encode(body)).await.map_err(io_error)?;
                while let Ok(body) = rx.try_recv() {
                    link.feed(sent.encode(body)).await.map_err(io_error)?;
                }
                timeout(PONG_TIMEOUT, flush(&mut link)).await.map_err(|_| timed_out())??;
            }
            body = read(&mut link) => match body? {
                Body::Pong(_) => last_pong = Instant::now(),
                _ => return Err(Error::state("peer", "the acceptor sent a message other than a pong")),
            },
            _ = ticks.tick() => {
                if last_pong.elapsed() > PONG_TIMEOUT {
                    return Err(timed_out());
                }
                let nonce = rand::random();
                let ping = link.send(sent.encode(Body::Ping(Ping { nonce })));
                timeout(PONG_TIMEOUT, ping).await.map_err(|_| timed_out())?.map_err(io_error)?;
            }
        }
    }
}

async fn dial_handshake(link: &mut Link, local: &Node, secret: &[u8]) -> Result<(Node, u32)> {
    let local_nonce = nonce();
    write(link, Body::Hello(Hello { node: local.to_string(), nonce: local_nonce.to_vec() }))
        .await?;
    let Body::Hello(hello) = read(link).await? else { return Err(unexpected_frame()) };
    let Body::Proof(proof) = read(link).await? else { return Err(unexpected_frame()) };
    let names = ProofNames { dialer: local.as_str(), acceptor: &hello.node };
    names.verify(secret, b"acceptor", &local_nonce, &hello.nonce, &proof.mac)?;
    let mac =
        names.mac(secret, b"dialer", &local_nonce, &hello.nonce).finalize().into_bytes().to_vec();
    write(link, Body::Proof(Proof { mac, authority: 0 })).await?;
    Ok((Node::new(&hello.node), proof.authority))
}

async fn accept_handshake(
    link: &mut Link,
    local: &Node,
    secret: &[u8],
    authority: u32,
) -> Result<Node> {
    let Body::Hello(hello) = read(link).await? else { return Err(unexpected_frame()) };
    let local_nonce = nonce();
    write(link, Body::Hello(Hello { node: local.to_string(), nonce: local_nonce.to_vec() }))
        .await?;
    let names = ProofNames { dialer: &hello.node, acceptor: local.as_str() };
    let mac =
        names.mac(secret, b"acceptor", &hello.nonce, &local_nonce).finalize().into_bytes().to_vec();
    write(link, Body::Proof(Proof { mac, authority })).await?;
    let Body::Proof(proof) = read(link).await? else { return Err(unexpected_frame()) };
    names.verify(secret, b"dialer", &hello.nonce, &local_nonce, &proof.mac)?;
    Ok(Node::new(&hello.node))
}

/// Node names that are part of a proof's input.
struct ProofNames<'a> {
    dialer: &'a str,
    acceptor: &'a str,
}

impl ProofNames<'_> {
    fn mac(&self, secret: &[u8], role: &[u8], dialer: &[u8], acceptor: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes any key length");
        for part in [role, self.dialer.as_bytes(), self.acceptor.as_bytes(), dialer, acceptor] {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }

    fn verify(
        &self,
        secret: &[u8],
        role: &[u8],
        dialer: &[u8],
        acceptor: &[u8],
        proof: &[u8],
    ) -> Result<()> {
        self.mac(secret, role, dialer, acceptor)
            .verify_slice(proof)
            .map_err(|_| Error::input("peer", "the peer does not know the shared secret"))
    }
}

fn nonce() -> [u8; 16] {
    rand::random()
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_codec()
}

fn encode(body: Body) -> Bytes {
    Bytes::from(Frame { body: Some(body) }.encode_to_vec())
}

async fn write(link: &mut Link, body: Body) -> Result<()> {
    link.send(encode(body)).await.map_err(io_error)
}

async fn flush(link: &mut Link) -> Result<()> {
    SinkExt::<Bytes>::flush(link).await.map_err(io_error)
}

async fn read(link: &mut Link) -> Result<Body> {
    let bytes: BytesMut =
        link.next().await.ok_or_else(|| Error::io("peer", "link closed"))?.map_err(io_error)?;
    let frame = Frame::decode(bytes.freeze()).map_err(|e| Error::input("peer", e))?;
    frame.body.ok_or_else(unexpected_frame)
}

fn io_error(e: std::io::Error) -> Error {
    Error::io("peer", e)
}

fn timed_out() -> Error {
    Error::io("peer", "no answer within the time limit")
}

fn unexpected_frame() -> Error {
    Error::input("peer", "unexpected frame")
}
