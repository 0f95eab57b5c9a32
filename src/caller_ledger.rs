//! Decides without I/O which charges of callers fit, and which connections yield to them.
//!
//! A connection is charged for its buffers, for a head, bodies and answers that it holds, and
//! while its request runs for the buffers towards the endpoint. When a charge does not fit,
//! connections yield that hold memory without running a request: idle ones, those whose body has
//! not arrived, and those whose answer is not read. The one that has taken the most memory for
//! the longest time goes first, so that a body in transit outlasts one that stopped short of its
//! end; for want of a connection, the one that has waited longest. A request that has not been
//! sent is refused; other connections are closed.

use crate::ids::Map;
use crate::time::Ms;

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

/// Connections that yield, in the order in which they were chosen.
pub type Yielding = Vec<(ConnectionId, Yield)>;

impl Yield {
    fn phase(self) -> Phase {
        match self {
            Self::Refuse => Phase::Refused,
            Self::Close => Phase::Closing,
        }
    }
}

/// What a charge needs, or a connection gives back.
#[derive(Clone, Copy, Debug, Default)]
struct Need {
    /// Bytes of all kinds.
    memory: u64,
    /// Bytes of large bodies and answers among them.
    large: u64,
    connections: usize,
}

impl Need {
    fn take(&mut self, other: Self) {
        self.memory -= other.memory;
        self.large -= other.large;
        self.connections -= other.connections;
    }

    fn add(&mut self, other: Self) {
        self.memory += other.memory;
        self.large += other.large;
        self.connections += other.connections;
    }
}

/// Why a charge does not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shortage {
    Memory,
    Connections,
    /// Of the part for large bodies and answers.
    Large,
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
    fn returning(&self) -> Need {
        let large = self.large();
        match self.phase {
            Phase::Refused => Need { memory: self.counted(), large, connections: 0 },
            Phase::Closing => Need { memory: self.charge(), large, connections: 1 },
            _ => Need::default(),
        }
    }

    /// What it can still give back of what is short; `None` if nothing.
    fn share(&self, short: Shortage) -> Option<u64> {
        match short {
            Shortage::Memory => Some(self.charge()),
            Shortage::Connections => Some(1),
            Shortage::Large => {
                Some(self.charge()).filter(|_| self.large() > self.returning().large)
            }
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
    pub fn open(&mut self, now: Ms, id: ConnectionId) -> Result<Yielding, BudgetFull> {
        let yielding = self.make_room(
            now,
            Requester::New,
            Need { memory: CONNECTION_BYTES, large: 0, connections: 1 },
        )?;
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
    pub fn hold(&mut self, now: Ms, id: ConnectionId, bytes: u64) -> Result<Yielding, BudgetFull> {
        let Some(entry) = self.entries.get(&id) else { return Err(BudgetFull) };
        let after = Entry { held: entry.held + bytes, ..entry.clone() };
        let counted = after.counted() - entry.counted();
        let large = after.large() - entry.large();
        // It does not yield itself if nothing else is large.
        let alone = self.large == entry.large() && large > 0;
        let requester = if alone { Requester::Kept(id) } else { Requester::Equal(id) };
        let yielding =
            self.make_room(now, requester, Need { memory: counted, large, connections: 0 })?;
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
    ) -> Result<Yielding, BudgetFull> {
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
    pub fn run(&mut self, now: Ms, id: ConnectionId) -> Result<Yielding, BudgetFull> {
        if self.entries.get(&id).is_none_or(|e| e.phase != Phase::Receiving) {
            return Err(BudgetFull);
        }
        let yielding = self.make_room(
            now,
            Requester::Equal(id),
            Need { memory: REQUEST_BYTES, ..Need::default() },
        )?;
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
    ) -> Result<Yielding, BudgetFull> {
        self.adjust(id, |e| e.unread_since = unread.then_some(now));
        if !unread {
            return Ok(Vec::new());
        }
        let room = self.make_room(now, Requester::Equal(id), Need::default());
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

    /// Chooses the connections that yield, so that what is needed fits.
    fn make_room(
        &mut self,
        now: Ms,
        requester: Requester,
        need: Need,
    ) -> Result<Yielding, BudgetFull> {
        let mut left = Need { memory: self.used, large: self.large, connections: self.open };
        if self.shortage(left, need).is_none() {
            return Ok(Yielding::new());
        }
        for e in self.entries.values() {
            left.take(e.returning());
        }
        let mut yielding = Yielding::new();
        while let Some(short) = self.shortage(left, need) {
            let is_free = |id: ConnectionId| {
                requester != Requester::Kept(id) && yielding.iter().all(|(chosen, _)| *chosen != id)
            };
            let weight = |e: &Entry| Some(e.held_for(now)?.saturating_mul(e.share(short)?));
            let free = self.entries.iter().filter(|(id, _)| is_free(**id));
            let heaviest = free.filter_map(|(id, e)| Some((weight(e)?, *id))).max();
            let (_, id) = heaviest.ok_or(BudgetFull)?;
            if requester == Requester::Equal(id) {
                return Err(BudgetFull);
            }
            let mut after = self.entries[&id].clone();
            let before = after.returning();
            let how = match after.phase {
                Phase::Receiving if short != Shortage::Connections => Yield::Refuse,
                _ => Yield::Close,
            };
            after.phase = how.phase();
            left.add(before);
            left.take(after.returning());
            yielding.push((id, how));
        }
        for (id, how) in &yielding {
            self.adjust(*id, |e| e.phase = how.phase());
        }
        Ok(yielding)
    }

    /// What is short if `need` is added to `used`.
    fn shortage(&self, used: Need, need: Need) -> Option<Shortage> {
        let BudgetLimits { memory, large, connections } = self.limits;
        if used.memory + need.memory > memory {
            Some(Shortage::Memory)
        } else if used.connections + need.connections > connections {
            Some(Shortage::Connections)
        } else if need.large > 0 && used.large + need.large > large {
            Some(Shortage::Large)
        } else {
            None
        }
    }
}
