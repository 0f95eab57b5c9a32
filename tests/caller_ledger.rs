//! Tests the budget of callers' memory and connections without I/O, with the load that it decides
//! on.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sycamorefork::caller_ledger::{
    BudgetFull, BudgetLimits, CONNECTION_BYTES, ConnectionId, Ledger, REQUEST_BYTES, SMALL_BYTES,
    UNREAD_BYTES, Yield,
};
use sycamorefork::time::Ms;

const MEMORY: u64 = 16 << 20;
const LARGE: u64 = 4 << 20;
const CONNECTIONS: usize = 200;
const LIMITS: BudgetLimits =
    BudgetLimits { memory: MEMORY, large: LARGE, connections: CONNECTIONS };
/// Largest body of a caller, in bytes.
const MAX_BODY: u64 = 1 << 20;
/// Bytes by which a body grows.
const PIECE: u64 = 64 << 10;

/// A ledger whose connections do at once what they are told to, unless they are lazy.
struct Fixture {
    ledger: Ledger,
    now: Ms,
    held: Vec<(ConnectionId, u64)>,
    refused: Vec<ConnectionId>,
    closed: Vec<ConnectionId>,
    /// Whether connections ignore that they are to yield.
    lazy: bool,
}

impl Fixture {
    fn new() -> Self {
        let (held, refused, closed) = Default::default();
        Self { ledger: Ledger::new(LIMITS), now: Ms(1_000), held, refused, closed, lazy: false }
    }

    fn yields(&mut self, yielding: Vec<(ConnectionId, Yield)>) {
        if self.lazy {
            return;
        }
        for (id, how) in yielding {
            self.give_back(id);
            match how {
                Yield::Refuse => self.refused.push(id),
                Yield::Close => {
                    self.ledger.close(id);
                    self.closed.push(id);
                }
            }
        }
        assert!(self.ledger.used() <= MEMORY, "{} bytes", self.ledger.used());
        assert!(self.ledger.connections() <= CONNECTIONS);
    }

    fn give_back(&mut self, id: ConnectionId) {
        for (_, bytes) in self.held.extract_if(.., |(owner, _)| *owner == id) {
            self.ledger.release(id, bytes);
        }
        self.ledger.end(self.now, id);
    }

    fn open(&mut self, id: ConnectionId) -> Result<(), BudgetFull> {
        let yielding = self.ledger.open(self.now, id)?;
        self.yields(yielding);
        Ok(())
    }

    fn hold(&mut self, id: ConnectionId, bytes: u64) -> Result<(), BudgetFull> {
        let yielding = self.ledger.hold(self.now, id, bytes)?;
        self.held.push((id, bytes));
        self.yields(yielding);
        Ok(())
    }

    fn run(&mut self, id: ConnectionId) -> Result<(), BudgetFull> {
        let yielding = self.ledger.run(self.now, id)?;
        self.yields(yielding);
        Ok(())
    }

    /// Receives a body piece by piece, with a pause between the pieces.
    fn receive(&mut self, id: ConnectionId, body: u64, pause: Ms) -> Result<(), BudgetFull> {
        self.open(id)?;
        self.ledger.begin(self.now, id);
        for _ in 0..body / PIECE {
            self.hold(id, PIECE).inspect_err(|_| self.give_back(id))?;
            self.now = self.now + pause;
        }
        self.hold(id, body % PIECE)
    }
}

#[test]
fn ordinary_requests_are_served_beside_bodies_that_stop_short() {
    let mut f = Fixture::new();
    let mut served = 0;
    for n in 0..600 {
        // The crowd's bodies may be refused; the result is checked by the ordinary requests.
        let _ = f.receive(2 * n, MAX_BODY - 1, Ms(1));
        let ordinary = 2 * n + 1;
        let sent = f.receive(ordinary, 300, Ms(0)).and_then(|()| f.run(ordinary));
        served += usize::from(sent.is_ok());
        f.give_back(ordinary);
        f.ledger.close(ordinary);
    }
    assert_eq!(served, 600);
    assert!(f.refused.len() + f.closed.len() > 500, "the budget was never short");
}

#[test]
fn body_in_transit_outlasts_those_that_stopped() {
    let mut f = Fixture::new();
    for n in 0..4 {
        f.receive(n, MAX_BODY - 1, Ms(1)).unwrap();
        f.now = f.now + Ms(500);
    }
    f.receive(9, MAX_BODY, Ms(1)).unwrap();
    f.run(9).unwrap();
    assert_eq!((&*f.refused, &*f.closed), (&[0][..], &[][..]));
}

#[test]
fn bodies_that_run_are_kept_and_others_refused() {
    let mut f = Fixture::new();
    let mut running = 0;
    for n in 0..50 {
        running += u64::from(f.receive(n, MAX_BODY, Ms(1)).and_then(|()| f.run(n)).is_ok());
    }
    assert_eq!(running, LARGE / (MAX_BODY - SMALL_BYTES));
    assert_eq!(f.held.iter().map(|(_, bytes)| bytes).sum::<u64>(), running * MAX_BODY);
    f.receive(100, 300, Ms(0)).and_then(|()| f.run(100)).unwrap();
}

#[test]
fn only_large_body_fits_whatever_its_size() {
    let mut f = Fixture::new();
    for n in 10..10 + CONNECTIONS as u64 - 1 {
        f.open(n).unwrap();
        f.hold(n, SMALL_BYTES / 4).unwrap();
    }
    f.now = f.now + Ms(100);
    f.receive(1, MEMORY * 2, Ms(1)).unwrap();
    f.open(2).unwrap();
    f.run(1).unwrap();
    assert_eq!(f.receive(3, MAX_BODY, Ms(1)), Err(BudgetFull));
    f.give_back(1);
    f.receive(4, MAX_BODY, Ms(1)).unwrap();
}

#[test]
fn connection_that_is_idle_longest_yields_to_a_new_one() {
    let mut f = Fixture::new();
    for n in 0..CONNECTIONS as u64 {
        f.open(n).unwrap();
        f.now = f.now + Ms(10);
    }
    f.ledger.begin(f.now, 0);
    f.run(0).unwrap();
    f.open(1_000).unwrap();
    f.open(1_001).unwrap();
    assert_eq!(f.closed, [1, 2]);
}

#[test]
fn connections_that_run_requests_do_not_yield() {
    let mut f = Fixture::new();
    for n in 0..CONNECTIONS as u64 {
        f.open(n).unwrap();
        f.ledger.begin(f.now, n);
        f.run(n).unwrap();
    }
    assert_eq!(f.open(1_000), Err(BudgetFull));
    // One whose caller does not read its answer does.
    f.ledger.set_unread(f.now, 7, true).unwrap();
    f.open(1_000).unwrap();
    assert_eq!(f.closed, [7]);
}

#[test]
fn answers_that_are_not_read_yield_to_each_other() {
    let mut f = Fixture::new();
    let most = MEMORY / (CONNECTION_BYTES + REQUEST_BYTES + UNREAD_BYTES);
    for n in 0..most + 5 {
        f.receive(n, 300, Ms(0)).and_then(|()| f.run(n)).unwrap();
        f.now = f.now + Ms(1);
        let yielding = f.ledger.set_unread(f.now, n, true).unwrap();
        f.yields(yielding);
    }
    assert!((5..8).contains(&f.closed.len()), "{:?}", f.closed);
    assert!(f.closed.is_sorted() && f.closed[0] == 0, "{:?}", f.closed);
}

// It was closed before its refusal could be read, although that gave back nothing large.
#[test]
fn refused_connection_is_not_closed_for_another_large_body() {
    let mut f = Fixture::new();
    let receive = |f: &mut Fixture, id| {
        f.open(id).unwrap();
        f.ledger.begin(f.now, id);
        f.now = f.now + Ms(10);
        f.ledger.hold(f.now, id, MAX_BODY).unwrap()
    };
    let yielding: Vec<_> = (0..8).flat_map(|id| receive(&mut f, id)).collect();
    assert_eq!(yielding, [0, 1, 2, 3].map(|id| (id, Yield::Refuse)));
}

#[test]
fn request_refused_while_its_body_ended_does_not_run() {
    let mut f = Fixture::new();
    f.receive(0, MAX_BODY, Ms(1)).unwrap();
    for n in 1..8 {
        let _ = f.receive(n, MAX_BODY, Ms(1));
    }
    assert!(f.refused.contains(&0));
    assert_eq!(f.run(0), Err(BudgetFull));
}

/// A step of a connection.
#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Begin,
    Hold(u64),
    Run,
    End,
    Unread(bool),
    Close,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let bytes = u64::arbitrary(g) % MAX_BODY;
        let steps = [
            Self::Open,
            Self::Open,
            Self::Begin,
            Self::Hold(bytes),
            Self::Hold(bytes % SMALL_BYTES),
            Self::Run,
            Self::End,
            Self::Unread(true),
            Self::Unread(false),
            Self::Close,
        ];
        *g.choose(&steps).unwrap()
    }
}

/// Does one step of a connection.
fn step(f: &mut Fixture, id: ConnectionId, step: Step) -> Result<(), BudgetFull> {
    match step {
        Step::Begin => f.ledger.begin(f.now, id),
        Step::Hold(bytes) => f.hold(id, bytes)?,
        Step::Run => f.run(id)?,
        Step::End => f.give_back(id),
        Step::Unread(unread) => {
            let yielding = f.ledger.set_unread(f.now, id, unread)?;
            f.yields(yielding);
        }
        Step::Close => f.ledger.close(id),
        Step::Open => f.open(id)?,
    }
    Ok(())
}

quickcheck! {
    // Connections that yield do so later, or are closed by their callers before.
    fn charges_are_returned_however_late_connections_yield(steps: Vec<(u8, Step)>) -> bool {
        let mut f = Fixture::new();
        f.lazy = true;
        let mut next = 0;
        for (n, what) in steps.repeat(8) {
            f.now = f.now + Ms(3);
            next += u64::from(matches!(what, Step::Open));
            let id = if matches!(what, Step::Open) { next } else { u64::from(n) % (next + 1) };
            // What does not fit leaves the charges as they were, which the end shows.
            let _ = step(&mut f, id, what);
        }
        for id in 0..=next {
            f.give_back(id);
            f.ledger.close(id);
        }
        f.ledger.used() == 0 && f.ledger.connections() == 0
    }

    fn charges_stay_within_the_limits_and_are_returned(steps: Vec<(u8, Step)>) -> bool {
        let mut f = Fixture::new();
        let mut open = std::collections::BTreeSet::new();
        let mut next = 0;
        for (n, what) in steps {
            f.now = f.now + Ms(3);
            let id = open.iter().nth(usize::from(n) % open.len().max(1)).copied();
            // What does not fit leaves the charges as they were, which the end shows.
            let _ = match (what, id) {
                (Step::Open, _) => {
                    next += 1;
                    f.open(next).inspect(|()| { open.insert(next); })
                }
                (what, Some(id)) => step(&mut f, id, what),
                (_, None) => Ok(()),
            };
            open.retain(|id| !f.closed.contains(id));
        }
        let most = CONNECTION_BYTES + REQUEST_BYTES + UNREAD_BYTES;
        let bound = f.held.iter().map(|(_, b)| b).sum::<u64>() + next * most;
        let bounded = f.ledger.used() <= bound;
        for id in 1..=next {
            f.give_back(id);
            f.ledger.close(id);
        }
        bounded && f.ledger.used() == 0 && f.ledger.connections() == 0
    }
}
