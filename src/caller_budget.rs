//! Bounds the memory and the connections that callers take, over all of them together.
//!
//! A connection is charged for its buffers, for a head, bodies and answers that it holds, and
//! while its request runs for the buffers towards the endpoint. When a charge does not fit,
//! connections yield that hold memory without running a request: idle ones, those whose body has
//! not arrived, and those whose answer is not read. The one that has taken the most memory for
//! the longest time goes first, so that a body in transit outlasts one that stopped short of its
//! end; for want of a connection, the one that has waited longest. A request that has not been sent is refused; other connections are closed.
//!
//! [`Ledger`] decides without I/O; [`CallerBudget`] shares it between connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::task::AtomicWaker;

use crate::ids::Map;
use crate::log_sink::decision;
use crate::time::{BootClock, Clock, Ms};

/// Charge of an open connection, in bytes: the buffers of its socket and of the parser.
pub const CONNECTION_BYTES: u64 = 32 << 10;
/// Charge of a running request, in bytes: the buffers of the connection to its endpoint.
pub const REQUEST_BYTES: u64 = 32 << 10;
/// Charge of an answer that is not read, in bytes: what waits in buffers between its endpoint and
/// its caller.
pub const UNREAD_BYTES: u64 = 128 << 10;
/// Bytes of a connection's bodies and answers that don't count as large.
pub const SMALL_BYTES: u64 = 64 << 10;
/// Bytes of a head that the charge of its connection covers.
const HEAD_BYTES: u64 = 16 << 10;

/// Limits on all callers of a node together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes that connections, bodies and answers may take.
    pub memory: u64,
    /// Part of them that bodies and answers may take beyond [`SMALL_BYTES`] each, in bytes.
    pub large: u64,
    /// Open connections.
    pub connections: usize,
}

/// A charge that does not fit, with nothing left that could yield to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetFull;

/// Identifies a connection.
pub type ConnectionId = u64;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It has no request.
    Idle,
    /// The body of its request is arriving.
    Receiving,
    /// Its request has arrived and has no complete answer.
    Running,
    /// Its request was refused to free memory.
    Refused,
    /// It is being closed to free memory.
    Closing,
    /// It has closed; a request of it still holds memory.
    Closed,
}

/// How a connection yields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Yield {
    /// Its request, which has not been sent, is to be refused.
    Refuse,
    /// It is to be closed.
    Close,
}

/// For whom room is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Requester {
    /// A new connection.
    New,
    /// A connection that yields itself if it is the heaviest.
    Equal(ConnectionId),
    /// A connection that does not yield.
    Kept(ConnectionId),
}

#[derive(Clone, Debug)]
struct Entry {
    phase: Phase,
    /// Bytes of its head, bodies and answers.
    held: u64,
    /// Most of them that count against the limits.
    most: u64,
    /// Bytes of the head, part of `held`.
    head: u64,
    /// Whether the charge for a running request is part of its charge.
    runs: bool,
    /// When it began to hold what it holds now without running a request.
    since: Ms,
    /// When its caller stopped reading; `None` if it reads.
    unread_since: Option<Ms>,
}

impl Entry {
    fn charge(&self) -> u64 {
        let open = if self.phase == Phase::Closed { 0 } else { CONNECTION_BYTES };
        let runs = if self.runs { REQUEST_BYTES } else { 0 };
        let unread = if self.unread_since.is_some() { UNREAD_BYTES } else { 0 };
        open + self.counted() + runs + unread
    }

    /// Bytes held that count: a single body that exceeds the limits fits all the same.
    fn counted(&self) -> u64 {
        self.held.min(self.most)
    }

    fn large(&self) -> u64 {
        self.counted().saturating_sub(SMALL_BYTES)
    }

    /// Time for which it has held what it holds, for a connection that can yield.
    fn held_for(&self, now: Ms) -> Option<u64> {
        let since = match (self.phase, self.unread_since) {
            (Phase::Closing | Phase::Closed, _) => return None,
            (Phase::Running, since) => since?,
            (_, Some(since)) => since.min(self.since),
            (_, None) => self.since,
        };
        Some(now.since(since).0 + 1)
    }

    /// What it gives back because it was told to yield.
    fn returning(&self) -> (u64, u64) {
        match self.phase {
            Phase::Refused => (self.counted(), self.large()),
            Phase::Closing => (self.charge(), self.large()),
            _ => (0, 0),
        }
    }
}

/// Charges of all connections.
#[derive(Debug)]
pub struct Ledger {
    limits: BudgetLimits,
    entries: Map<ConnectionId, Entry>,
    /// Sum of all charges, in bytes.
    used: u64,
    /// Sum of the large parts, in bytes.
    large: u64,
    /// Open connections.
    open: usize,
}

impl Ledger {
    /// Creates a ledger without connections.
    pub fn new(limits: BudgetLimits) -> Self {
        Self { limits, entries: Map::default(), used: 0, large: 0, open: 0 }
    }

    /// Bytes charged to all connections.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.open
    }

    /// Adds a connection and returns those that yield to it.
    ///
    /// # Errors
    /// There is no room for it; nothing yields.
    pub fn open(
        &mut self,
        now: Ms,
        id: ConnectionId,
    ) -> Result<Vec<(ConnectionId, Yield)>, BudgetFull> {
        let yielding = self.make_room(now, Requester::New, (CONNECTION_BYTES, 0, 1))?;
        let entry = Entry {
            phase: Phase::Idle,
            held: 0,
            most: SMALL_BYTES + self.limits.large,
            head: 0,
            runs: false,
            since: now,
            unread_since: None,
        };
        self.entries.insert(id, entry);
        self.used += CONNECTION_BYTES;
        self.open += 1;
        Ok(yielding)
    }

    /// Charges a connection for bytes of a body or an answer, and returns those that yield.
    ///
    /// # Errors
    /// There is no room for them.
    pub fn hold(
        &mut self,
        now: Ms,
        id: ConnectionId,
        bytes: u64,
    ) -> Result<Vec<(ConnectionId, Yield)>, BudgetFull> {
        let Some(entry) = self.entries.get(&id) else { return Err(BudgetFull) };
        let after = Entry { held: entry.held + bytes, ..entry.clone() };
        let counted = after.counted() - entry.counted();
        let large = after.large() - entry.large();
        // It does not yield itself if nothing else is large.
        let alone = self.large == entry.large() && large > 0;
        let requester = if alone { Requester::Kept(id) } else { Requester::Equal(id) };
        let yielding = self.make_room(now, requester, (counted, large, 0))?;
        self.adjust(id, |e| e.held += bytes);
        Ok(yielding)
    }

    /// Returns bytes that a connection held.
    pub fn release(&mut self, id: ConnectionId, bytes: u64) {
        self.adjust(id, |e| e.held = e.held.saturating_sub(bytes));
        self.remove_if_done(id);
    }

    /// Charges a connection without a request for bytes that it has read.
    ///
    /// # Errors
    /// There is no room for them.
    pub fn read_head(
        &mut self,
        now: Ms,
        id: ConnectionId,
        read: u64,
        bytes: u64,
    ) -> Result<Vec<(ConnectionId, Yield)>, BudgetFull> {
        let Some(entry) = self.entries.get(&id).filter(|e| e.phase == Phase::Idle) else {
            return Ok(Vec::new());
        };
        let bytes = (read + bytes).saturating_sub(HEAD_BYTES).saturating_sub(entry.head);
        if bytes == 0 {
            return Ok(Vec::new());
        }
        let yielding = self.hold(now, id, bytes)?;
        self.adjust(id, |e| e.head += bytes);
        Ok(yielding)
    }

    /// The head of a request has arrived.
    pub fn begin(&mut self, now: Ms, id: ConnectionId) {
        self.adjust(id, |e| {
            if e.phase == Phase::Idle {
                (e.phase, e.since) = (Phase::Receiving, now);
            }
        });
    }

    /// The body of the request has arrived; returns the connections that yield to it.
    ///
    /// # Errors
    /// The request was refused meanwhile, or there is no room for it.
    pub fn run(
        &mut self,
        now: Ms,
        id: ConnectionId,
    ) -> Result<Vec<(ConnectionId, Yield)>, BudgetFull> {
        if self.entries.get(&id).is_none_or(|e| e.phase != Phase::Receiving) {
            return Err(BudgetFull);
        }
        let yielding = self.make_room(now, Requester::Equal(id), (REQUEST_BYTES, 0, 0))?;
        self.adjust(id, |e| (e.phase, e.runs) = (Phase::Running, true));
        Ok(yielding)
    }

    /// The request has ended.
    pub fn end(&mut self, now: Ms, id: ConnectionId) {
        self.adjust(id, |e| {
            e.held -= std::mem::take(&mut e.head);
            e.runs = false;
            if matches!(e.phase, Phase::Receiving | Phase::Running) {
                (e.phase, e.since) = (Phase::Idle, now);
            }
        });
        self.remove_if_done(id);
    }

    /// The caller does not read, or reads again; returns the connections that yield.
    ///
    /// # Errors
    /// There is no room for what it does not read.
    pub fn set_unread(
        &mut self,
        now: Ms,
        id: ConnectionId,
        unread: bool,
    ) -> Result<Vec<(ConnectionId, Yield)>, BudgetFull> {
        self.adjust(id, |e| e.unread_since = unread.then_some(now));
        if !unread {
            return Ok(Vec::new());
        }
        let room = self.make_room(now, Requester::Equal(id), (0, 0, 0));
        room.inspect_err(|_| self.adjust(id, |e| e.unread_since = None))
    }

    /// The connection has closed. What its request holds stays charged until it is released.
    pub fn close(&mut self, id: ConnectionId) {
        if self.entries.get(&id).is_some_and(|e| e.phase != Phase::Closed) {
            self.open -= 1;
        }
        self.adjust(id, |e| {
            e.held -= std::mem::take(&mut e.head);
            (e.phase, e.unread_since) = (Phase::Closed, None);
        });
        self.remove_if_done(id);
    }

    fn adjust(&mut self, id: ConnectionId, change: impl FnOnce(&mut Entry)) {
        let Some(e) = self.entries.get_mut(&id) else { return };
        let before = (e.charge(), e.large());
        change(e);
        self.used = self.used - before.0 + e.charge();
        self.large = self.large - before.1 + e.large();
    }

    fn remove_if_done(&mut self, id: ConnectionId) {
        if self.entries.get(&id).is_some_and(|e| e.phase == Phase::Closed && e.charge() == 0) {
            self.entries.remove(&id);
        }
    }

    /// Chooses the connections that yield, so that the given bytes, large bytes and connections
    /// fit.
    fn make_room(
        &mut self,
        now: Ms,
        requester: Requester,
        (bytes, large, connections): (u64, u64, usize),
    ) -> Result<Vec<(ConnectionId, Yield)>, BudgetFull> {
        let limits = self.limits;
        let fits = |used: u64, held: u64, open: usize| {
            used + bytes <= limits.memory
                && (large == 0 || held + large <= limits.large)
                && open + connections <= limits.connections
        };
        let (mut used, mut held, mut open) = (self.used, self.large, self.open);
        if fits(used, held, open) {
            return Ok(Vec::new());
        }
        for e in self.entries.values() {
            let (bytes, large) = e.returning();
            (used, held) = (used - bytes, held - large);
            open -= usize::from(e.phase == Phase::Closing);
        }
        let mut yielding = Vec::new();
        while !fits(used, held, open) {
            let is_chosen = |id: &ConnectionId| yielding.iter().any(|(chosen, _)| chosen == id);
            let no_memory = used + bytes > limits.memory;
            let no_connection = open + connections > limits.connections;
            // Only the memory of large bodies and answers helps another large one, and each
            // connection gives back one.
            let only_large = !no_memory && !no_connection;
            let weight = |e: &Entry| {
                let share = if no_memory || only_large { e.charge() } else { 1 };
                Some(e.held_for(now)?.saturating_mul(share))
            };
            let heaviest = self
                .entries
                .iter()
                .filter(|(id, e)| !is_chosen(id) && (!only_large || e.large() > e.returning().1))
                .filter(|(id, _)| requester != Requester::Kept(**id))
                .filter_map(|(id, e)| Some((weight(e)?, *id)))
                .max();
            let Some((_, chosen)) = heaviest else { return Err(BudgetFull) };
            if requester == Requester::Equal(chosen) {
                return Err(BudgetFull);
            }
            let e = &self.entries[&chosen];
            let (returned, how) = match e.phase {
                Phase::Receiving if !no_connection => (e.counted(), Yield::Refuse),
                _ => (e.charge() - e.returning().0, Yield::Close),
            };
            held -= e.large() - e.returning().1;
            used -= returned;
            open -= usize::from(how == Yield::Close);
            yielding.push((chosen, how));
        }
        for (id, how) in &yielding {
            let phase = match how {
                Yield::Refuse => Phase::Refused,
                Yield::Close => Phase::Closing,
            };
            self.adjust(*id, |e| e.phase = phase);
        }
        Ok(yielding)
    }
}

/// Tells a connection to yield.
#[derive(Debug, Default)]
struct Signals {
    refused: AtomicBool,
    closed: AtomicBool,
    /// Task of the connection.
    task: AtomicWaker,
}

#[derive(Debug)]
struct Shared {
    ledger: Ledger,
    signals: Map<ConnectionId, Arc<Signals>>,
    /// Open connections by the address of their caller.
    callers: Map<SocketAddr, Arc<CallerConnection>>,
    next: ConnectionId,
}

impl Shared {
    fn tell(&self, yielding: &[(ConnectionId, Yield)]) {
        for (id, how) in yielding {
            let Some(signals) = self.signals.get(id) else { continue };
            match how {
                Yield::Refuse => signals.refused.store(true, Ordering::Release),
                Yield::Close => signals.closed.store(true, Ordering::Release),
            }
            signals.task.wake();
            decision!("caller_yields", "connection": id, "how": format!("{how:?}"),
                "bytes": self.ledger.used(), "connections": self.ledger.connections());
        }
    }
}

/// Memory and connections of all callers of a node; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct CallerBudget(Arc<Mutex<Shared>>);

impl CallerBudget {
    pub(crate) fn new(limits: BudgetLimits) -> Self {
        Self(Arc::new(Mutex::new(Shared {
            ledger: Ledger::new(limits),
            signals: Map::default(),
            callers: Map::default(),
            next: 0,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.0.lock().unwrap()
    }

    /// Charges for a new connection of a caller.
    ///
    /// # Errors
    /// There is no room for it.
    pub(crate) fn open(&self, caller: SocketAddr) -> Result<Arc<CallerConnection>, BudgetFull> {
        let mut shared = self.lock();
        let id = shared.next;
        shared.next += 1;
        let yielding = shared.ledger.open(BootClock.now(), id)?;
        shared.tell(&yielding);
        let signals = Arc::<Signals>::default();
        shared.signals.insert(id, signals.clone());
        let connection = Arc::new(CallerConnection { budget: self.clone(), id, signals });
        shared.callers.insert(caller, connection.clone());
        Ok(connection)
    }

    /// The open connection of a caller.
    pub(crate) fn connection(&self, caller: &SocketAddr) -> Option<Arc<CallerConnection>> {
        self.lock().callers.get(caller).cloned()
    }

    /// Bytes charged to all callers.
    pub(crate) fn used(&self) -> u64 {
        self.lock().ledger.used()
    }

    /// Number of open connections.
    pub(crate) fn connections(&self) -> usize {
        self.lock().ledger.connections()
    }
}

/// A caller's connection in the budget.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    budget: CallerBudget,
    id: ConnectionId,
    signals: Arc<Signals>,
}

impl CallerConnection {
    /// Runs a decision and tells the connections that yield by it.
    fn decide(
        &self,
        decide: impl FnOnce(
            &mut Ledger,
            Ms,
            ConnectionId,
        ) -> Result<Vec<(ConnectionId, Yield)>, BudgetFull>,
    ) -> Result<(), BudgetFull> {
        let mut shared = self.budget.lock();
        let yielding = decide(&mut shared.ledger, BootClock.now(), self.id)?;
        shared.tell(&yielding);
        Ok(())
    }

    /// The connection has closed.
    pub(crate) fn close(&self, caller: &SocketAddr) {
        let mut shared = self.budget.lock();
        shared.ledger.close(self.id);
        shared.signals.remove(&self.id);
        let own = shared.callers.get(caller).is_some_and(|c| c.id == self.id);
        let removed = own.then(|| shared.callers.remove(caller));
        drop(shared);
        drop(removed);
    }

    /// The caller does not read, or reads again.
    ///
    /// # Errors
    /// There is no room for what it does not read.
    pub(crate) fn set_unread(&self, unread: bool) -> Result<(), BudgetFull> {
        self.decide(|ledger, now, id| ledger.set_unread(now, id, unread))
    }

    /// Charges for bytes read after `read` others since the last request.
    pub(crate) fn on_read(&self, read: u64, bytes: u64) -> Result<(), BudgetFull> {
        self.decide(|ledger, now, id| ledger.read_head(now, id, read, bytes))
    }

    /// Whether the connection is to be closed; if not, its task is woken when that changes.
    pub(crate) fn poll_closed(&self, cx: &Context<'_>) -> bool {
        self.signals.task.register(cx.waker());
        self.signals.closed.load(Ordering::Acquire)
    }

    fn poll_refused(&self, cx: &Context<'_>) -> Poll<()> {
        self.signals.task.register(cx.waker());
        match self.signals.refused.load(Ordering::Acquire) {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    }
}

/// A request on a caller's connection, with the memory that it holds. It ends when it is dropped.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    connection: Arc<CallerConnection>,
    held: u64,
}

impl CallerRequest {
    /// Begins a request whose head has arrived.
    pub(crate) fn begin(connection: Arc<CallerConnection>) -> Self {
        connection.budget.lock().ledger.begin(BootClock.now(), connection.id);
        Self { connection, held: 0 }
    }

    /// Charges for further bytes.
    ///
    /// # Errors
    /// There is no room for them.
    pub(crate) fn hold(&mut self, bytes: usize) -> Result<(), BudgetFull> {
        self.connection.decide(|ledger, now, id| ledger.hold(now, id, bytes as u64))?;
        self.held += bytes as u64;
        Ok(())
    }

    /// The body has arrived, and the request may be sent.
    ///
    /// # Errors
    /// It was refused meanwhile, or there is no room for it.
    pub(crate) fn run(&self) -> Result<(), BudgetFull> {
        self.connection.decide(Ledger::run)
    }

    /// Resolves when the request is to be refused because its memory is needed.
    pub(crate) async fn refused(&self) {
        std::future::poll_fn(|cx| self.connection.poll_refused(cx)).await;
    }

    /// Returns the charge of a body that is not kept.
    pub(crate) fn release(&mut self) {
        let held = std::mem::take(&mut self.held);
        self.connection.budget.lock().ledger.release(self.connection.id, held);
    }

    /// Makes `answer` hold the request's charge until it has been written or is dropped, in
    /// place of the request's body.
    ///
    /// # Errors
    /// There is no room for it.
    pub(crate) fn answer(mut self, answer: Bytes) -> Result<Bytes, BudgetFull> {
        match (answer.len() as u64).checked_sub(self.held) {
            Some(more) => self.hold(more as usize)?,
            None => {
                let less = self.held - answer.len() as u64;
                self.connection.budget.lock().ledger.release(self.connection.id, less);
                self.held -= less;
            }
        }
        Ok(Bytes::from_owner(HeldAnswer { answer, _request: self }))
    }
}

impl Drop for CallerRequest {
    fn drop(&mut self) {
        let mut shared = self.connection.budget.lock();
        shared.ledger.release(self.connection.id, self.held);
        shared.ledger.end(BootClock.now(), self.connection.id);
    }
}

struct HeldAnswer {
    answer: Bytes,
    _request: CallerRequest,
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.answer
    }
}
