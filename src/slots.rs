//! Adapter slots of one endpoint.
//!
//! An adapter is absent, reserved, loading, loaded or being evicted. A pin belongs to an
//! attempt and ends only when the end of the attempt is reported or the endpoint no longer
//! lists the attempt as running. A pinned or loading adapter is never evicted: an order that
//! would violate this returns an error and changes nothing.

use std::collections::BTreeSet;

use crate::error::{Error, Result};
use crate::ids::{AdapterRef, AttemptId, Map, Set};
use crate::time::Ms;

/// Half-life of the request frequency, in milliseconds. Popularity shifts within minutes, so
/// older requests predict little.
const FREQUENCY_HALF_LIFE_MS: f64 = 300_000.0;

/// Time after a load during which the adapter is evicted only for a demand that has waited at
/// least as long.
const MIN_RESIDENCE: Ms = Ms(1_000);

/// Back-off after the first failed load; doubles with each further failure.
const FIRST_BACK_OFF: Ms = Ms(500);

/// Maximum back-off after failed loads.
const MAX_BACK_OFF: Ms = Ms(30_000);

/// Load time that is assumed before the first load of an adapter.
const DEFAULT_LOAD_TIME: Ms = Ms(250);

/// Maximum number of absent adapters whose request frequency is kept.
const MAX_ABSENT_TRACKED: usize = 1_024;

/// State of an adapter on the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// Not on the endpoint.
    Absent,
    /// Waits for the eviction of another adapter and holds a load permit.
    Reserved,
    /// A load order was sent.
    Loading,
    /// Ready to serve.
    Loaded,
    /// An eviction order was sent.
    Evicting,
    /// Absent after a failed load; must not be loaded before this time.
    BackOff(Ms),
}

/// Slot for the next load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotChoice {
    /// A slot is free.
    Free,
    /// The slot of this adapter, which may be evicted.
    Evict(AdapterRef),
    /// Every adapter is pinned, not fully loaded, or protected by its residence time or
    /// queued jobs.
    None,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Absent,
    Reserved,
    Loading,
    Loaded,
    Evicting,
}

#[derive(Debug)]
struct Slot {
    state: State,
    /// Time of the last state change.
    since: Ms,
    pins: u32,
    /// Decayed number of requests, as of `last_request`.
    requests: f64,
    last_request: Ms,
    /// Moving average of the load time.
    load_time: Ms,
    /// Failed loads since the last successful one.
    failures: u32,
    /// End of the back-off.
    retry_at: Ms,
    /// Whether new jobs are withheld so that the adapter becomes unpinned.
    retiring: bool,
}

impl Slot {
    fn new(now: Ms) -> Self {
        Self {
            state: State::Absent,
            since: now,
            pins: 0,
            requests: 0.0,
            last_request: now,
            load_time: DEFAULT_LOAD_TIME,
            failures: 0,
            retry_at: Ms(0),
            retiring: false,
        }
    }

    fn frequency(&self, now: Ms) -> f64 {
        self.requests * (-(now.since(self.last_request).0 as f64) / FREQUENCY_HALF_LIFE_MS).exp2()
    }

    /// Expected cost of evicting the adapter: request frequency times load time.
    fn score(&self, now: Ms) -> f64 {
        self.frequency(now) * self.load_time.0 as f64
    }

    fn set(&mut self, now: Ms, state: State) {
        self.state = state;
        self.since = now;
        self.retiring = false;
    }
}

#[derive(Debug)]
struct Pin {
    adapter: AdapterRef,
    since: Ms,
}

/// Slots, pins and loads of one endpoint.
#[derive(Debug)]
pub struct Slots {
    size: usize,
    used: usize,
    loading: usize,
    table: Map<AdapterRef, Slot>,
    present: BTreeSet<AdapterRef>,
    pins: Map<AttemptId, Pin>,
    unadopted: Set<AttemptId>,
    /// Evicted adapter to the adapter that its slot is reserved for.
    evictions: Map<AdapterRef, AdapterRef>,
}

impl Slots {
    /// Creates the empty slots of an endpoint that holds up to `size` adapters.
    pub fn new(size: usize) -> Self {
        Self {
            size,
            used: 0,
            loading: 0,
            table: Map::default(),
            present: BTreeSet::new(),
            pins: Map::default(),
            unadopted: Set::default(),
            evictions: Map::default(),
        }
    }

    /// Returns the state of an adapter.
    pub fn state(&self, now: Ms, adapter: &AdapterRef) -> SlotState {
        let Some(slot) = self.table.get(adapter) else { return SlotState::Absent };
        match slot.state {
            State::Absent if slot.retry_at > now => SlotState::BackOff(slot.retry_at),
            State::Absent => SlotState::Absent,
            State::Reserved => SlotState::Reserved,
            State::Loading => SlotState::Loading,
            State::Loaded => SlotState::Loaded,
            State::Evicting => SlotState::Evicting,
        }
    }

    /// Returns whether a new job for the adapter may start: it is loaded and not retiring.
    pub fn ready(&self, adapter: &AdapterRef) -> bool {
        self.table.get(adapter).is_some_and(|s| s.state == State::Loaded && !s.retiring)
    }

    /// Counts a request for the adapter and returns the adapter's state.
    pub fn request(&mut self, now: Ms, adapter: &AdapterRef) -> SlotState {
        let slot = self.entry(now, adapter);
        slot.requests = slot.frequency(now) + 1.0;
        slot.last_request = now;
        self.state(now, adapter)
    }

    /// Pins the adapter for an attempt.
    ///
    /// # Errors
    /// Fails if the adapter is not loaded or the attempt has pinned another adapter.
    pub fn pin(&mut self, now: Ms, attempt: AttemptId, adapter: &AdapterRef) -> Result<()> {
        if !self.table.get(adapter).is_some_and(|s| s.state == State::Loaded) {
            return Err(Error::state("slots", format!("cannot pin {adapter}: not loaded")));
        }
        self.insert_pin(now, attempt, adapter)
    }

    /// Removes the pin of an attempt, or the attempt from the unadopted ones; returns `false`
    /// if there is neither.
    pub fn unpin(&mut self, attempt: AttemptId) -> bool {
        let was_unadopted = self.unadopted.remove(&attempt);
        let Some(pin) = self.pins.remove(&attempt) else { return was_unadopted };
        if let Some(slot) = self.table.get_mut(&pin.adapter) {
            slot.pins = slot.pins.saturating_sub(1);
        }
        true
    }

    /// Pins the adapter for an attempt that a former owner granted, as reported by the entry
    /// node.
    ///
    /// # Errors
    /// Fails if the adapter is not loaded and cannot be assumed to be in a free slot. No
    /// adapter is evicted until the attempt ends, because it is not known which one the
    /// attempt uses.
    pub fn adopt_pinned(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        adapter: &AdapterRef,
    ) -> Result<()> {
        if self.pins.contains_key(&attempt) {
            return self.insert_pin(now, attempt, adapter);
        }
        let state = self.table.get(adapter).map_or(State::Absent, |s| s.state);
        if state == State::Absent && self.used < self.size {
            self.used += 1;
            self.set_state(now, adapter, State::Loaded);
        } else if state != State::Loaded {
            self.unadopted.insert(attempt);
            let reason = format!("attempt {attempt} uses {adapter}, which is not loaded");
            return Err(Error::state("slots", reason));
        }
        self.unadopted.remove(&attempt);
        self.insert_pin(now, attempt, adapter)
    }

    /// Chooses the slot for a load demand that has waited for `waited`.
    ///
    /// `queued` returns whether an adapter has queued jobs. Such an adapter is evicted only
    /// if it is retiring or the demand is at least as old as the minimum residence time.
    pub fn choose_slot(
        &self,
        now: Ms,
        waited: Ms,
        queued: impl Fn(&AdapterRef) -> bool,
    ) -> SlotChoice {
        if self.used < self.size {
            return SlotChoice::Free;
        }
        if !self.unadopted.is_empty() {
            return SlotChoice::None;
        }
        let ignore_residence = waited >= MIN_RESIDENCE;
        let keep = |a: &AdapterRef, s: &Slot| {
            !s.retiring && !ignore_residence && (now.since(s.since) < MIN_RESIDENCE || queued(a))
        };
        let evictable = self
            .table
            .iter()
            .filter(|(a, s)| s.state == State::Loaded && s.pins == 0 && !keep(a, s));
        evictable
            .min_by(|a, b| self.compare_score(now, *a, *b))
            .map_or(SlotChoice::None, |(a, _)| SlotChoice::Evict(a.clone()))
    }

    /// Retires the adapter with the lowest score: it gets no new jobs, so that it becomes
    /// unpinned.
    ///
    /// To be called when a demand finds no slot. At most `limit` adapters retire at the same
    /// time.
    pub fn retire(&mut self, now: Ms, limit: usize) {
        let retiring = self.present().filter(|(_, s)| s.retiring).count();
        if retiring >= limit || !self.unadopted.is_empty() {
            return;
        }
        let resident = |s: &Slot| s.state == State::Loaded && now.since(s.since) >= MIN_RESIDENCE;
        let candidates = self.present().filter(|(_, s)| resident(s) && !s.retiring);
        let least =
            candidates.min_by(|a, b| self.compare_score(now, *a, *b)).map(|(a, _)| a.clone());
        if let Some(slot) = least.and_then(|a| self.table.get_mut(&a)) {
            slot.retiring = true;
        }
    }

    /// Cancels all retirements; to be called when no demand is left.
    pub fn cancel_retirements(&mut self) {
        for adapter in &self.present {
            if let Some(slot) = self.table.get_mut(adapter) {
                slot.retiring = false;
            }
        }
    }

    /// Records that a load order is sent.
    ///
    /// # Errors
    /// Fails if no slot is free or the adapter is not absent.
    pub fn start_load(&mut self, now: Ms, adapter: &AdapterRef) -> Result<()> {
        if self.used >= self.size {
            return Err(Error::state("slots", format!("cannot load {adapter}: no free slot")));
        }
        if self.entry(now, adapter).state != State::Absent {
            return Err(Error::state("slots", format!("cannot load {adapter}: not absent")));
        }
        self.used += 1;
        self.loading += 1;
        self.set_state(now, adapter, State::Loading);
        Ok(())
    }

    /// Records that an eviction order is sent, and reserves the slot for `next`.
    ///
    /// # Errors
    /// Fails if `victim` is not loaded or is pinned, if the adapter of a running attempt is
    /// unknown, or if `next` is not absent.
    pub fn start_evict(&mut self, now: Ms, victim: &AdapterRef, next: &AdapterRef) -> Result<()> {
        let slot = self.table.get(victim);
        if !slot.is_some_and(|s| s.state == State::Loaded && s.pins == 0)
            || !self.unadopted.is_empty()
        {
            return Err(Error::state(
                "slots",
                format!("cannot evict {victim}: in use or not loaded"),
            ));
        }
        if self.entry(now, next).state != State::Absent {
            return Err(Error::state(
                "slots",
                format!("cannot reserve a slot for {next}: not absent"),
            ));
        }
        self.set_state(now, victim, State::Evicting);
        self.set_state(now, next, State::Reserved);
        self.loading += 1;
        self.evictions.insert(victim.clone(), next.clone());
        Ok(())
    }

    /// Records the result of an eviction and returns the adapter that the slot was reserved
    /// for: `Ok` if its load may start now, `Err` if the victim was not evicted and the load
    /// is cancelled. Returns `None` if no such eviction was ordered.
    pub fn on_evicted(
        &mut self,
        now: Ms,
        victim: &AdapterRef,
        done: bool,
    ) -> Option<std::result::Result<AdapterRef, AdapterRef>> {
        let next = self.evictions.remove(victim)?;
        let (victim_state, next_state) = match done {
            true => (State::Absent, State::Loading),
            false => (State::Loaded, State::Absent),
        };
        self.set_state(now, victim, victim_state);
        self.set_state(now, &next, next_state);
        self.loading -= usize::from(!done);
        Some(if done { Ok(next) } else { Err(next) })
    }

    /// Records a completed load; returns `false` if no load of the adapter was ordered.
    pub fn on_loaded(&mut self, now: Ms, adapter: &AdapterRef) -> bool {
        let Some(slot) = self.table.get_mut(adapter) else { return false };
        if slot.state != State::Loading {
            return false;
        }
        slot.load_time = Ms((slot.load_time.0 * 3 + now.since(slot.since).0) / 4);
        slot.failures = 0;
        self.set_state(now, adapter, State::Loaded);
        self.loading -= 1;
        true
    }

    /// Records a failed load and returns the end of the back-off, or `None` if no load of the
    /// adapter was ordered.
    pub fn on_failed(&mut self, now: Ms, adapter: &AdapterRef) -> Option<Ms> {
        let slot = self.table.get_mut(adapter)?;
        if slot.state != State::Loading {
            return None;
        }
        let back_off = Ms(FIRST_BACK_OFF.0 << slot.failures.min(10)).min(MAX_BACK_OFF);
        slot.failures += 1;
        slot.retry_at = now + back_off;
        self.set_state(now, adapter, State::Absent);
        self.loading -= 1;
        self.used -= 1;
        Some(now + back_off)
    }

    /// Replaces the state by the one that the endpoint reports after a restart or takeover,
    /// and returns the attempts whose pins ended.
    ///
    /// A pin younger than `grace` is kept although the endpoint does not list the attempt,
    /// because its request may still be in transit.
    pub fn resync(
        &mut self,
        now: Ms,
        loaded: &[AdapterRef],
        running: &[AttemptId],
        grace: Ms,
    ) -> Vec<AttemptId> {
        let reported: Set<&AdapterRef> = loaded.iter().collect();
        self.evictions.clear();
        self.loading = 0;
        let gone = self.present.iter().filter(|a| !reported.contains(a));
        for adapter in gone.cloned().collect::<Vec<_>>() {
            self.set_state(now, &adapter, State::Absent);
        }
        for adapter in &reported {
            if self.entry(now, adapter).state != State::Loaded {
                self.set_state(now, adapter, State::Loaded);
            }
        }
        self.used = reported.len();
        let alive: Set<&AttemptId> = running.iter().collect();
        let fresh = |p: &Pin| now.since(p.since) < grace;
        let gone = self.pins.iter().filter(|(a, p)| !alive.contains(a) && !fresh(p));
        let mut gone: Vec<_> = gone.map(|(a, _)| *a).collect();
        gone.sort_unstable();
        for attempt in &gone {
            self.unpin(*attempt);
        }
        self.unadopted = running.iter().filter(|a| !self.pins.contains_key(a)).copied().collect();
        gone
    }

    /// Removes unadopted attempts that are not in `running`.
    pub fn prune(&mut self, running: &[AttemptId]) {
        self.unadopted.retain(|a| running.contains(a));
    }

    /// Adopts a running attempt that needs no adapter.
    pub fn adopt_unpinned(&mut self, attempt: AttemptId) {
        self.unadopted.remove(&attempt);
    }

    /// Loaded adapters, in ascending order.
    pub fn loaded(&self) -> Vec<AdapterRef> {
        let loaded = self.present().filter(|(_, s)| s.state == State::Loaded);
        loaded.map(|(a, _)| a.clone()).collect()
    }

    /// Number of loads in progress, including those that wait for an eviction.
    pub fn loading(&self) -> usize {
        self.loading
    }

    /// Number of slots in use.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Number of pins on an adapter.
    pub fn pins(&self, adapter: &AdapterRef) -> u32 {
        self.table.get(adapter).map_or(0, |s| s.pins)
    }

    /// Adapter that an attempt has pinned.
    pub fn pinned(&self, attempt: AttemptId) -> Option<&AdapterRef> {
        self.pins.get(&attempt).map(|p| &p.adapter)
    }

    /// Number of running attempts whose adapter is unknown, because no entry node has
    /// reported it yet. No adapter is evicted while there are any.
    pub fn unadopted(&self) -> usize {
        self.unadopted.len()
    }

    /// Expected load time of an adapter, averaged over its previous loads.
    pub fn load_time(&self, adapter: &AdapterRef) -> Ms {
        self.table.get(adapter).map_or(DEFAULT_LOAD_TIME, |s| s.load_time)
    }

    /// Adapters that are not absent, in ascending order.
    fn present(&self) -> impl Iterator<Item = (&AdapterRef, &Slot)> {
        self.present.iter().filter_map(|a| self.table.get_key_value(a))
    }

    fn set_state(&mut self, now: Ms, adapter: &AdapterRef, state: State) {
        self.entry(now, adapter).set(now, state);
        match state {
            State::Absent => self.present.remove(adapter),
            _ => self.present.insert(adapter.clone()),
        };
    }

    /// Orders candidates for eviction: retiring adapters first, then by ascending score.
    fn compare_score(
        &self,
        now: Ms,
        a: (&AdapterRef, &Slot),
        b: (&AdapterRef, &Slot),
    ) -> std::cmp::Ordering {
        let retiring = b.1.retiring.cmp(&a.1.retiring);
        retiring.then(a.1.score(now).total_cmp(&b.1.score(now))).then(a.0.cmp(b.0))
    }

    fn insert_pin(&mut self, now: Ms, attempt: AttemptId, adapter: &AdapterRef) -> Result<()> {
        if let Some(pin) = self.pins.get(&attempt) {
            return match pin.adapter == *adapter {
                true => Ok(()),
                false => Err(Error::state(
                    "slots",
                    format!("attempt {attempt} already pins {}, not {adapter}", pin.adapter),
                )),
            };
        }
        self.pins.insert(attempt, Pin { adapter: adapter.clone(), since: now });
        self.entry(now, adapter).pins += 1;
        Ok(())
    }

    fn entry(&mut self, now: Ms, adapter: &AdapterRef) -> &mut Slot {
        if !self.table.contains_key(adapter) {
            if self.table.len() >= MAX_ABSENT_TRACKED + self.size {
                self.drop_rare_absent(now);
            }
            self.table.insert(adapter.clone(), Slot::new(now));
        }
        self.table.get_mut(adapter).expect("inserted above")
    }

    /// Removes the half of the absent adapters with the lowest request frequency.
    fn drop_rare_absent(&mut self, now: Ms) {
        let idle = |s: &Slot| s.state == State::Absent && s.pins == 0 && s.retry_at <= now;
        let absent = self.table.iter().filter(|(_, s)| idle(s));
        let mut absent: Vec<_> = absent.map(|(a, s)| (s.frequency(now), a.clone())).collect();
        absent.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        for (_, adapter) in &absent[..absent.len() / 2] {
            self.table.remove(adapter);
        }
    }
}
