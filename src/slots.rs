//! Adapter slots of one endpoint.
//!
//! An adapter is absent, loading, loaded or being evicted. Pins are kept per attempt and
//! end only with a reported end or when the endpoint itself states that the attempt is
//! gone. A pinned or loading adapter is never evicted: an order that would break this
//! returns an error and changes nothing.

use std::collections::BTreeSet;

use crate::error::{Error, Result};
use crate::ids::{AdapterRef, AttemptId, Map, Set};
use crate::time::Ms;

/// Half-life of the request frequency. Popularity shifts within minutes, so older requests
/// say little about the next one.
const HALF_LIFE: f64 = 300_000.0;

/// Time after a load during which the adapter is evicted only for an old demand.
const RESIDENCE: Ms = Ms(1_000);

/// Back-off after the first failed load; doubles per failure.
const BACK_OFF: Ms = Ms(500);

/// Upper bound of the back-off.
const BACK_OFF_MAX: Ms = Ms(30_000);

/// Load time assumed before the first measurement.
const LOAD_TIME: Ms = Ms(250);

/// Most absent adapters whose frequency is remembered.
const GHOSTS: usize = 1_024;

/// What an adapter's slot is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// Not on the endpoint.
    Absent,
    /// Waits for another adapter's eviction, with a load permit in hand.
    Reserved,
    /// A load order is out.
    Loading,
    /// Ready to serve.
    Loaded,
    /// An eviction order is out.
    Evicting,
    /// Absent after a failed load, until this instant.
    BackOff(Ms),
}

/// Where the next load can go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Room {
    /// A slot is free.
    Free,
    /// This adapter may be evicted.
    Evict(AdapterRef),
    /// Every adapter is pinned, loading or too valuable.
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
    since: Ms,
    pins: u32,
    rate: f64,
    touched: Ms,
    cost: Ms,
    failures: u32,
    retry: Ms,
    retiring: bool,
}

impl Slot {
    fn new(now: Ms) -> Self {
        Self {
            state: State::Absent,
            since: now,
            pins: 0,
            rate: 0.0,
            touched: now,
            cost: LOAD_TIME,
            failures: 0,
            retry: Ms(0),
            retiring: false,
        }
    }

    fn frequency(&self, now: Ms) -> f64 {
        self.rate * (-(now.since(self.touched).0 as f64) / HALF_LIFE).exp2()
    }

    fn score(&self, now: Ms) -> f64 {
        self.frequency(now) * self.cost.0 as f64
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
    unknown: Set<AttemptId>,
    evictions: Map<AdapterRef, AdapterRef>,
}

impl Slots {
    /// Empty slots of an endpoint that holds `size` adapters.
    pub fn new(size: usize) -> Self {
        Self {
            size,
            used: 0,
            loading: 0,
            table: Map::default(),
            present: BTreeSet::new(),
            pins: Map::default(),
            unknown: Set::default(),
            evictions: Map::default(),
        }
    }

    /// State of an adapter.
    pub fn state(&self, now: Ms, adapter: &AdapterRef) -> SlotState {
        let Some(slot) = self.table.get(adapter) else { return SlotState::Absent };
        match slot.state {
            State::Absent if slot.retry > now => SlotState::BackOff(slot.retry),
            State::Absent => SlotState::Absent,
            State::Reserved => SlotState::Reserved,
            State::Loading => SlotState::Loading,
            State::Loaded => SlotState::Loaded,
            State::Evicting => SlotState::Evicting,
        }
    }

    /// Whether a new job for the adapter may start: loaded and not chosen for eviction.
    pub fn ready(&self, adapter: &AdapterRef) -> bool {
        self.table.get(adapter).is_some_and(|s| s.state == State::Loaded && !s.retiring)
    }

    /// Counts a request for the adapter and returns its state.
    pub fn request(&mut self, now: Ms, adapter: &AdapterRef) -> SlotState {
        let slot = self.entry(now, adapter);
        slot.rate = slot.frequency(now) + 1.0;
        slot.touched = now;
        self.state(now, adapter)
    }

    /// Pins the adapter for an attempt.
    ///
    /// # Errors
    /// Fails if the adapter is not loaded or the attempt pins another adapter.
    pub fn pin(&mut self, now: Ms, attempt: AttemptId, adapter: &AdapterRef) -> Result<()> {
        if !self.table.get(adapter).is_some_and(|s| s.state == State::Loaded) {
            return Err(Error::state("slots", format!("pin of {adapter}, which is not loaded")));
        }
        self.hold(now, attempt, adapter)
    }

    /// Ends the pin of an attempt; `false` if there is none.
    pub fn unpin(&mut self, attempt: AttemptId) -> bool {
        let unknown = self.unknown.remove(&attempt);
        let Some(pin) = self.pins.remove(&attempt) else { return unknown };
        if let Some(slot) = self.table.get_mut(&pin.adapter) {
            slot.pins = slot.pins.saturating_sub(1);
        }
        true
    }

    /// Pins for an attempt that a former owner granted; the entry node names its adapter.
    ///
    /// # Errors
    /// Fails if the adapter is neither known to be loaded nor fits into a free slot. No
    /// eviction takes place until the attempt ends, because its adapter is in doubt.
    pub fn readopt(&mut self, now: Ms, attempt: AttemptId, adapter: &AdapterRef) -> Result<()> {
        if self.pins.contains_key(&attempt) {
            return self.hold(now, attempt, adapter);
        }
        let state = self.table.get(adapter).map_or(State::Absent, |s| s.state);
        if state == State::Absent && self.used < self.size {
            self.used += 1;
            self.turn(now, adapter, State::Loaded);
        } else if state != State::Loaded {
            self.unknown.insert(attempt);
            let reason = format!("attempt {attempt} runs on {adapter}, which is not loaded");
            return Err(Error::state("slots", reason));
        }
        self.unknown.remove(&attempt);
        self.hold(now, attempt, adapter)
    }

    /// Where a load for a demand that has waited for `waited` can go.
    ///
    /// `queued` tells whether an adapter has queued jobs; such adapters stay unless the
    /// demand is older than the residence time.
    pub fn room(&self, now: Ms, waited: Ms, queued: impl Fn(&AdapterRef) -> bool) -> Room {
        if self.used < self.size {
            return Room::Free;
        }
        if !self.unknown.is_empty() {
            return Room::None;
        }
        let patient = waited >= RESIDENCE;
        let keep = |a: &AdapterRef, s: &Slot| {
            !s.retiring && !patient && (now.since(s.since) < RESIDENCE || queued(a))
        };
        let free = self
            .table
            .iter()
            .filter(|(a, s)| s.state == State::Loaded && s.pins == 0 && !keep(a, s));
        free.min_by(|a, b| self.worth(now, *a, *b))
            .map_or(Room::None, |(a, _)| Room::Evict(a.clone()))
    }

    /// Stops new grants on the least valuable pinned adapter so that it becomes free.
    ///
    /// Called for a demand that finds every slot pinned; at most `most` adapters retire at
    /// once.
    pub fn retire(&mut self, now: Ms, most: usize) {
        let retiring = self.present().filter(|(_, s)| s.retiring).count();
        if retiring >= most || !self.unknown.is_empty() {
            return;
        }
        let old = |s: &Slot| s.state == State::Loaded && now.since(s.since) >= RESIDENCE;
        let pinned = self.present().filter(|(_, s)| old(s) && !s.retiring);
        let least = pinned.min_by(|a, b| self.worth(now, *a, *b)).map(|(a, _)| a.clone());
        if let Some(slot) = least.and_then(|a| self.table.get_mut(&a)) {
            slot.retiring = true;
        }
    }

    /// Takes back all retirements, because no demand is left for the slots.
    pub fn keep_all(&mut self) {
        for adapter in &self.present {
            if let Some(slot) = self.table.get_mut(adapter) {
                slot.retiring = false;
            }
        }
    }

    /// Marks a load order as sent.
    ///
    /// # Errors
    /// Fails if the adapter is not absent or no slot is free.
    pub fn start_load(&mut self, now: Ms, adapter: &AdapterRef) -> Result<()> {
        if self.used >= self.size {
            return Err(Error::state("slots", format!("load of {adapter} without a free slot")));
        }
        if self.entry(now, adapter).state != State::Absent {
            return Err(Error::state("slots", format!("load of {adapter}, which is not absent")));
        }
        self.used += 1;
        self.loading += 1;
        self.turn(now, adapter, State::Loading);
        Ok(())
    }

    /// Marks an eviction order as sent, whose slot is reserved for `next`.
    ///
    /// # Errors
    /// Fails if the victim is pinned, loading or not loaded, if a running attempt's adapter
    /// is unknown, or if `next` is not absent.
    pub fn start_evict(&mut self, now: Ms, victim: &AdapterRef, next: &AdapterRef) -> Result<()> {
        let slot = self.table.get(victim);
        if !slot.is_some_and(|s| s.state == State::Loaded && s.pins == 0)
            || !self.unknown.is_empty()
        {
            return Err(Error::state("slots", format!("eviction of {victim}, which is in use")));
        }
        if self.entry(now, next).state != State::Absent {
            return Err(Error::state("slots", format!("slot for {next}, which is not absent")));
        }
        self.turn(now, victim, State::Evicting);
        self.turn(now, next, State::Reserved);
        self.loading += 1;
        self.evictions.insert(victim.clone(), next.clone());
        Ok(())
    }

    /// Records the end of an eviction and returns the adapter that the slot is reserved for:
    /// `Ok` if its load may start now, `Err` if the victim stayed and the load is off.
    /// `None` means that no such eviction was ordered.
    pub fn on_evicted(
        &mut self,
        now: Ms,
        victim: &AdapterRef,
        done: bool,
    ) -> Option<std::result::Result<AdapterRef, AdapterRef>> {
        let next = self.evictions.remove(victim)?;
        let (out, heir) = match done {
            true => (State::Absent, State::Loading),
            false => (State::Loaded, State::Absent),
        };
        self.turn(now, victim, out);
        self.turn(now, &next, heir);
        self.loading -= usize::from(!done);
        Some(if done { Ok(next) } else { Err(next) })
    }

    /// Records a finished load; `false` if no load was out.
    pub fn on_loaded(&mut self, now: Ms, adapter: &AdapterRef) -> bool {
        let Some(slot) = self.table.get_mut(adapter) else { return false };
        if slot.state != State::Loading {
            return false;
        }
        slot.cost = Ms((slot.cost.0 * 3 + now.since(slot.since).0) / 4);
        slot.failures = 0;
        self.turn(now, adapter, State::Loaded);
        self.loading -= 1;
        true
    }

    /// Records a failed load and returns the instant until which the adapter backs off.
    pub fn on_failed(&mut self, now: Ms, adapter: &AdapterRef) -> Option<Ms> {
        let slot = self.table.get_mut(adapter)?;
        if slot.state != State::Loading {
            return None;
        }
        let back_off = Ms(BACK_OFF.0 << slot.failures.min(10)).min(BACK_OFF_MAX);
        slot.failures += 1;
        slot.retry = now + back_off;
        self.turn(now, adapter, State::Absent);
        self.loading -= 1;
        self.used -= 1;
        Some(now + back_off)
    }

    /// Adopts the endpoint's own statement after a restart or takeover and returns the
    /// attempts whose pins ended.
    ///
    /// A pin younger than `grace` survives although the endpoint does not run the attempt,
    /// because its request may still be on the way.
    pub fn resync(
        &mut self,
        now: Ms,
        loaded: &[AdapterRef],
        running: &[AttemptId],
        grace: Ms,
    ) -> Vec<AttemptId> {
        let present: Set<&AdapterRef> = loaded.iter().collect();
        self.evictions.clear();
        self.loading = 0;
        let gone = self.present.iter().filter(|a| !present.contains(a));
        for adapter in gone.cloned().collect::<Vec<_>>() {
            self.turn(now, &adapter, State::Absent);
        }
        for adapter in &present {
            if self.entry(now, adapter).state != State::Loaded {
                self.turn(now, adapter, State::Loaded);
            }
        }
        self.used = present.len();
        let alive: Set<&AttemptId> = running.iter().collect();
        let fresh = |p: &Pin| now.since(p.since) < grace;
        let gone = self.pins.iter().filter(|(a, p)| !alive.contains(a) && !fresh(p));
        let mut gone: Vec<_> = gone.map(|(a, _)| *a).collect();
        gone.sort_unstable();
        for attempt in &gone {
            self.unpin(*attempt);
        }
        self.unknown = running.iter().filter(|a| !self.pins.contains_key(a)).copied().collect();
        gone
    }

    /// Forgets unadopted attempts that the endpoint does not run any more.
    pub fn prune(&mut self, running: &[AttemptId]) {
        self.unknown.retain(|a| running.contains(a));
    }

    /// States that an unadopted running attempt needs no adapter.
    pub fn adopt_plain(&mut self, attempt: AttemptId) {
        self.unknown.remove(&attempt);
    }

    /// Loaded adapters, sorted.
    pub fn loaded(&self) -> Vec<AdapterRef> {
        let loaded = self.present().filter(|(_, s)| s.state == State::Loaded);
        loaded.map(|(a, _)| a.clone()).collect()
    }

    /// Loads under way, with those that wait for an eviction.
    pub fn loading(&self) -> usize {
        self.loading
    }

    /// Slots in use.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Number of pins on an adapter.
    pub fn pins(&self, adapter: &AdapterRef) -> u32 {
        self.table.get(adapter).map_or(0, |s| s.pins)
    }

    /// Adapter that an attempt pins.
    pub fn pinned(&self, attempt: AttemptId) -> Option<&AdapterRef> {
        self.pins.get(&attempt).map(|p| &p.adapter)
    }

    /// Running attempts whose adapter no entry node has named yet. While there is one, no
    /// adapter is evicted.
    pub fn unknown(&self) -> usize {
        self.unknown.len()
    }

    /// Expected time of one load, from measured ones.
    pub fn load_time(&self, adapter: &AdapterRef) -> Ms {
        self.table.get(adapter).map_or(LOAD_TIME, |s| s.cost)
    }

    /// Adapters that are not absent, sorted.
    fn present(&self) -> impl Iterator<Item = (&AdapterRef, &Slot)> {
        self.present.iter().filter_map(|a| self.table.get_key_value(a))
    }

    fn turn(&mut self, now: Ms, adapter: &AdapterRef, state: State) {
        self.entry(now, adapter).set(now, state);
        match state {
            State::Absent => self.present.remove(adapter),
            _ => self.present.insert(adapter.clone()),
        };
    }

    fn worth(
        &self,
        now: Ms,
        a: (&AdapterRef, &Slot),
        b: (&AdapterRef, &Slot),
    ) -> std::cmp::Ordering {
        let retiring = b.1.retiring.cmp(&a.1.retiring);
        retiring.then(a.1.score(now).total_cmp(&b.1.score(now))).then(a.0.cmp(b.0))
    }

    fn hold(&mut self, now: Ms, attempt: AttemptId, adapter: &AdapterRef) -> Result<()> {
        if let Some(pin) = self.pins.get(&attempt) {
            return match pin.adapter == *adapter {
                true => Ok(()),
                false => Err(Error::state(
                    "slots",
                    format!("attempt {attempt} pins {} and asks for {adapter}", pin.adapter),
                )),
            };
        }
        self.pins.insert(attempt, Pin { adapter: adapter.clone(), since: now });
        self.entry(now, adapter).pins += 1;
        Ok(())
    }

    fn entry(&mut self, now: Ms, adapter: &AdapterRef) -> &mut Slot {
        if !self.table.contains_key(adapter) {
            if self.table.len() >= GHOSTS + self.size {
                self.forget(now);
            }
            self.table.insert(adapter.clone(), Slot::new(now));
        }
        self.table.get_mut(adapter).expect("inserted above")
    }

    /// Forgets the less frequent half of the absent adapters.
    fn forget(&mut self, now: Ms) {
        let idle = |s: &Slot| s.state == State::Absent && s.pins == 0 && s.retry <= now;
        let absent = self.table.iter().filter(|(_, s)| idle(s));
        let mut absent: Vec<_> = absent.map(|(a, s)| (s.frequency(now), a.clone())).collect();
        absent.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        for (_, adapter) in &absent[..absent.len() / 2] {
            self.table.remove(adapter);
        }
    }
}
