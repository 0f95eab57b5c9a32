//! Links between the nodes of a cell.
//!
//! Each node dials every other node and sends on the link that it dialed; it
//! receives on the links that others dialed. A link proves the shared secret in
//! both directions before it carries anything else. The dialer sends a ping at a
//! fixed interval and closes a link whose pong is late, because a middle box that
//! has dropped the connection's state leaves it silent while new ones work.
//! Links are authenticated when they open but not encrypted.

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

/// Largest frame in bytes.
const FRAME_MAX: usize = 1 << 20;
/// Time to complete the handshake.
const HANDSHAKE: Duration = Duration::from_millis(1000);
/// Interval between pings.
const PING_EVERY: Duration = Duration::from_millis(500);
/// Time within which a pong must arrive before the link is closed.
const PONG_WITHIN: Duration = Duration::from_millis(1500);
/// Wait before a failed dial is repeated.
const REDIAL: Duration = Duration::from_millis(250);
/// Frames that may wait for a link; more are dropped, as on a lossy network.
const QUEUE: usize = 4096;

/// Bytes of the length prefix of a frame.
const PREFIX: u64 = 4;

type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames that a node has sent on all its links, handshakes excepted.
#[derive(Debug, Default)]
pub(crate) struct Sent {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl Sent {
    /// Frames so far.
    pub(crate) fn frames(&self) -> u64 {
        self.frames.load(Ordering::Relaxed)
    }

    /// Bytes so far, with the frames' length prefixes and without TCP's headers.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn encode(&self, body: Body) -> Bytes {
        let frame = encode(body);
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(PREFIX + frame.len() as u64, Ordering::Relaxed);
        frame
    }
}

/// Receives what arrives from other nodes.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Handles one message.
    fn on_message(&self, from: &Node, body: Body);
    /// Handles an opened outgoing link.
    fn on_open(&self, peer: &Node);
    /// This node's authority, which the handshake tells the dialer.
    fn authority(&self) -> u32;
}

/// What a dial has shown about the process at an address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Nothing listens there.
    Refused,
    /// No answer in time.
    Silent,
    /// A process of this incarnation answered, with its authority.
    Node(Node, u32),
}

struct Outgoing {
    addr: SocketAddr,
    tx: mpsc::Sender<Body>,
    task: tokio::task::JoinHandle<()>,
}

/// The links of one node.
pub(crate) struct Links<H> {
    me: Node,
    secret: Arc<[u8]>,
    handler: H,
    sent: Arc<Sent>,
    out: Mutex<Map<String, Outgoing>>,
}

impl<H: Handler> Links<H> {
    /// Makes the set of links without dialing anything.
    pub(crate) fn new(me: Node, secret: &[u8], handler: H) -> Arc<Self> {
        Arc::new(Self {
            me,
            secret: Arc::from(secret),
            handler,
            sent: Arc::default(),
            out: Mutex::default(),
        })
    }

    /// What this node has sent so far.
    pub(crate) fn sent(&self) -> &Sent {
        &self.sent
    }

    /// Accepts links of other nodes until the task is dropped.
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
                    log::warn!("accepting a peer link failed: {e}");
                    sleep(REDIAL).await;
                }
            }
        }
    }

    /// Dials the listed nodes and drops the links to all others.
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

    fn dial(&self, addr: SocketAddr) -> Outgoing {
        let (tx, rx) = mpsc::channel(QUEUE);
        let dialer = Dialer {
            me: self.me.clone(),
            secret: self.secret.clone(),
            addr,
            handler: self.handler.clone(),
            sent: self.sent.clone(),
        };
        Outgoing { addr, tx, task: tokio::spawn(dialer.run(rx)) }
    }

    /// Queues a message to the node of that name; drops it when the queue is full.
    pub(crate) fn send(&self, name: &str, body: Body) -> bool {
        let out = self.out.lock().unwrap();
        out.get(name).is_some_and(|o| o.tx.try_send(body).is_ok())
    }

    /// Probes the node of that name on a fresh connection.
    pub(crate) async fn probe(&self, name: &str) -> Reach {
        let addr = self.out.lock().unwrap().get(name).map(|o| o.addr);
        let Some(addr) = addr else { return Reach::Silent };
        match connect(addr, &self.me, &self.secret).await {
            Ok((node, level, _)) => Reach::Node(node, level),
            Err((reach, _)) => reach,
        }
    }

    async fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true).map_err(io)?;
        let mut link = Framed::new(stream, codec());
        let accept = accept(&mut link, &self.me, &self.secret, self.handler.authority());
        let from = timeout(HANDSHAKE, accept).await.map_err(|_| late())??;
        loop {
            let body = timeout(PONG_WITHIN * 2, read(&mut link)).await.map_err(|_| late())??;
            match body {
                Body::Ping(ping) => {
                    let pong = self.sent.encode(Body::Pong(ping));
                    link.send(pong).await.map_err(io)?;
                }
                body => self.handler.on_message(&from, body),
            }
        }
    }
}

struct Dialer<H> {
    me: Node,
    secret: Arc<[u8]>,
    addr: SocketAddr,
    handler: H,
    sent: Arc<Sent>,
}

impl<H: Handler> Dialer<H> {
    async fn run(self, mut rx: mpsc::Receiver<Body>) {
        loop {
            match connect(self.addr, &self.me, &self.secret).await {
                Ok((node, _, link)) => {
                    self.handler.on_open(&node);
                    if let Err(e) = pump(link, &mut rx, &self.sent).await {
                        log::info!("peer link to {node} closed: {e}");
                    }
                }
                Err((_, e)) => {
                    log::debug!("dialing peer at {} failed: {e}", self.addr);
                    // Messages of a broken link are lost, as on the wire.
                    while rx.try_recv().is_ok() {}
                }
            }
            sleep(REDIAL).await;
        }
    }
}

async fn connect(
    addr: SocketAddr,
    me: &Node,
    secret: &[u8],
) -> std::result::Result<(Node, u32, Link), (Reach, Error)> {
    let stream = match timeout(HANDSHAKE, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Err((Reach::Refused, io(e)));
        }
        Ok(Err(e)) => return Err((Reach::Silent, io(e))),
        Err(_) => return Err((Reach::Silent, late())),
    };
    let _ = stream.set_nodelay(true);
    let mut link = Framed::new(stream, codec());
    match timeout(HANDSHAKE, open(&mut link, me, secret)).await {
        Ok(Ok((node, level))) => Ok((node, level, link)),
        Ok(Err(e)) => Err((Reach::Silent, e)),
        Err(_) => Err((Reach::Silent, late())),
    }
}

/// Sends queued messages and pings until the link fails or a pong is late.
async fn pump(mut link: Link, rx: &mut mpsc::Receiver<Body>, sent: &Sent) -> Result<()> {
    let mut ticks = interval(PING_EVERY);
    let mut heard = Instant::now();
    loop {
        tokio::select! {
            body = rx.recv() => {
                let Some(body) = body else { return Ok(()) };
                // Messages that are already queued share one flush.
                link.feed(sent.encode(body)).await.map_err(io)?;
                while let Ok(body) = rx.try_recv() {
                    link.feed(sent.encode(body)).await.map_err(io)?;
                }
                timeout(PONG_WITHIN, flush(&mut link)).await.map_err(|_| late())??;
            }
            body = read(&mut link) => match body? {
                Body::Pong(_) => heard = Instant::now(),
                _ => return Err(Error::state("peer", "message on the sending side of a link")),
            },
            _ = ticks.tick() => {
                if heard.elapsed() > PONG_WITHIN {
                    return Err(late());
                }
                let nonce = rand::random();
                let ping = link.send(sent.encode(Body::Ping(Ping { nonce })));
                timeout(PONG_WITHIN, ping).await.map_err(|_| late())?.map_err(io)?;
            }
        }
    }
}

async fn open(link: &mut Link, me: &Node, secret: &[u8]) -> Result<(Node, u32)> {
    let mine = nonce();
    write(link, Body::Hello(Hello { node: me.to_string(), nonce: mine.to_vec() })).await?;
    let Body::Hello(hello) = read(link).await? else { return Err(unexpected()) };
    let Body::Proof(proof) = read(link).await? else { return Err(unexpected()) };
    let sides = Sides { dialer: me.as_str(), acceptor: &hello.node };
    sides.check(secret, b"acceptor", &mine, &hello.nonce, &proof.mac)?;
    let mac = sides.mac(secret, b"dialer", &mine, &hello.nonce).finalize().into_bytes().to_vec();
    write(link, Body::Proof(Proof { mac, authority: 0 })).await?;
    Ok((Node::new(&hello.node), proof.authority))
}

async fn accept(link: &mut Link, me: &Node, secret: &[u8], authority: u32) -> Result<Node> {
    let Body::Hello(hello) = read(link).await? else { return Err(unexpected()) };
    let mine = nonce();
    write(link, Body::Hello(Hello { node: me.to_string(), nonce: mine.to_vec() })).await?;
    let sides = Sides { dialer: &hello.node, acceptor: me.as_str() };
    let mac = sides.mac(secret, b"acceptor", &hello.nonce, &mine).finalize().into_bytes().to_vec();
    write(link, Body::Proof(Proof { mac, authority })).await?;
    let Body::Proof(proof) = read(link).await? else { return Err(unexpected()) };
    sides.check(secret, b"dialer", &hello.nonce, &mine, &proof.mac)?;
    Ok(Node::new(&hello.node))
}

/// The two names that enter a proof.
struct Sides<'a> {
    dialer: &'a str,
    acceptor: &'a str,
}

impl Sides<'_> {
    fn mac(&self, secret: &[u8], role: &[u8], dialer: &[u8], acceptor: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes any key length");
        for part in [role, self.dialer.as_bytes(), self.acceptor.as_bytes(), dialer, acceptor] {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }

    fn check(
        &self,
        secret: &[u8],
        role: &[u8],
        dialer: &[u8],
        acceptor: &[u8],
        proof: &[u8],
    ) -> Result<()> {
        self.mac(secret, role, dialer, acceptor)
            .verify_slice(proof)
            .map_err(|_| Error::input("peer", "the other side does not know the shared secret"))
    }
}

fn nonce() -> [u8; 16] {
    rand::random()
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX).new_codec()
}

fn encode(body: Body) -> Bytes {
    Bytes::from(Frame { body: Some(body) }.encode_to_vec())
}

async fn write(link: &mut Link, body: Body) -> Result<()> {
    link.send(encode(body)).await.map_err(io)
}

async fn flush(link: &mut Link) -> Result<()> {
    SinkExt::<Bytes>::flush(link).await.map_err(io)
}

async fn read(link: &mut Link) -> Result<Body> {
    let bytes: BytesMut =
        link.next().await.ok_or_else(|| Error::io("peer", "link closed"))?.map_err(io)?;
    let frame = Frame::decode(bytes.freeze()).map_err(|e| Error::input("peer", e))?;
    frame.body.ok_or_else(unexpected)
}

fn io(e: std::io::Error) -> Error {
    Error::io("peer", e)
}

fn late() -> Error {
    Error::io("peer", "no answer in time")
}

fn unexpected() -> Error {
    Error::input("peer", "unexpected frame")
}
