//! Shares the ledger of callers between their connections, and tells those that yield.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::task::AtomicWaker;

use crate::caller_ledger::{BudgetFull, BudgetLimits, ConnectionId, Ledger, Yield, Yielding};
use crate::ids::Map;
use crate::log_sink::decision;
use crate::time::{BootClock, Clock, Ms};

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
        decide: impl FnOnce(&mut Ledger, Ms, ConnectionId) -> Result<Yielding, BudgetFull>,
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

    /// Makes `body` hold the charge of the request's body until its last copy is dropped, which
    /// may be after the end of the request.
    pub(crate) fn keep(&mut self, body: Bytes) -> Bytes {
        let held = std::mem::take(&mut self.held);
        Bytes::from_owner(KeptBody { body, connection: self.connection.clone(), held })
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

struct KeptBody {
    body: Bytes,
    connection: Arc<CallerConnection>,
    held: u64,
}

impl AsRef<[u8]> for KeptBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for KeptBody {
    fn drop(&mut self) {
        self.connection.budget.lock().ledger.release(self.connection.id, self.held);
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
