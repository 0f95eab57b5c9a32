//! Fair queue of one endpoint.
//!
//! Teams share the endpoint by virtual time counted in tokens over weight: the team with
//! the lowest virtual time goes first, and a team that was idle starts at the present
//! virtual time, so that idling earns no claim on later service. Inside a team the most
//! urgent kind goes first, while each waiting lower kind collects a fixed share of the
//! team's tokens and is served as soon as the share covers its oldest job.

use std::collections::{BTreeSet, VecDeque};

use crate::ids::{AdapterRef, AttemptId, Map, Team};
use crate::time::Ms;

/// Number of priority classes; higher kinds count as the last one.
pub const KINDS: usize = 4;

/// A waiting lower kind receives at least one token in this many of its team's tokens.
const LOWER_SHARE: u64 = 8;

/// Virtual time units per token at weight 1.
const SCALE: u64 = 1024;

/// One attempt that asks for a place on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The attempt.
    pub attempt: AttemptId,
    /// Team that is charged.
    pub team: Team,
    /// Adapter that must be loaded; `None` for the base model or a plain service.
    pub adapter: Option<AdapterRef>,
    /// Priority class, 0 is the most urgent.
    pub priority: u8,
    /// Prompt plus maximum output, in tokens.
    pub tokens: u64,
    /// Instant after which a grant is useless.
    pub deadline: Ms,
    /// Fingerprint of team, adapter and body.
    pub fingerprint: u64,
    /// Instant of arrival at the owner.
    pub arrived: Ms,
}

#[derive(Debug, Default)]
struct Lane {
    jobs: VecDeque<Job>,
    credit: u64,
}

#[derive(Debug)]
struct TeamQueue {
    team: Team,
    weight: u64,
    vtime: u64,
    jobs: usize,
    tokens: u64,
    lanes: [Lane; KINDS],
}

impl TeamQueue {
    fn new(team: Team) -> Self {
        Self { team, weight: 1, vtime: 0, jobs: 0, tokens: 0, lanes: Default::default() }
    }

    /// Position of the job to serve next: a lower kind with enough credit, else by priority.
    fn next(&self, free: &mut impl FnMut(&Job) -> bool) -> Option<(usize, usize)> {
        let mut first = None;
        for (kind, lane) in self.lanes.iter().enumerate() {
            if lane.jobs.is_empty() || (first.is_some() && lane.credit == 0) {
                continue;
            }
            let Some(at) = lane.jobs.iter().position(&mut *free) else { continue };
            if first.is_none() {
                first = Some((kind, at));
            } else if lane.credit >= lane.jobs[at].tokens {
                return Some((kind, at));
            }
        }
        first
    }

    fn take(&mut self, kind: usize, at: usize) -> Option<Job> {
        let job = self.lanes[kind].jobs.remove(at)?;
        self.jobs -= 1;
        self.tokens -= job.tokens;
        if self.lanes[kind].jobs.is_empty() {
            self.lanes[kind].credit = 0;
        }
        Some(job)
    }
}

/// Virtual-time fair queue by team, in tokens.
#[derive(Debug, Default)]
pub struct Queue {
    teams: Vec<TeamQueue>,
    index: Map<Team, usize>,
    places: Map<AttemptId, (usize, usize)>,
    deadlines: BTreeSet<(Ms, AttemptId)>,
    waiting: Map<AdapterRef, usize>,
    vtime: u64,
    tokens: u64,
    order: Vec<usize>,
}

impl Queue {
    /// An empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets a team's weight; teams have weight 1 by default.
    pub fn set_weight(&mut self, team: &Team, weight: u32) {
        let at = self.team(team);
        self.teams[at].weight = u64::from(weight.max(1));
    }

    /// Appends a job; `false` if the attempt is queued already.
    pub fn push(&mut self, _now: Ms, job: Job) -> bool {
        let at = self.team(&job.team);
        let kind = usize::from(job.priority).min(KINDS - 1);
        if self.places.insert(job.attempt, (at, kind)).is_some() {
            return false;
        }
        let team = &mut self.teams[at];
        if team.jobs == 0 {
            team.vtime = team.vtime.max(self.vtime);
        }
        team.jobs += 1;
        team.tokens += job.tokens;
        self.tokens += job.tokens;
        self.deadlines.insert((job.deadline, job.attempt));
        if let Some(adapter) = &job.adapter {
            *self.waiting.entry(adapter.clone()).or_default() += 1;
        }
        team.lanes[kind].jobs.push_back(job);
        true
    }

    /// Takes the next job that is `free` to run and charges its team.
    pub fn pop(&mut self, _now: Ms, mut free: impl FnMut(&Job) -> bool) -> Option<Job> {
        let mut order = std::mem::take(&mut self.order);
        order.clear();
        order.extend((0..self.teams.len()).filter(|t| self.teams[*t].jobs > 0));
        order.sort_by_key(|t| (self.teams[*t].vtime, *t));
        let lowest = order.first().map_or(self.vtime, |t| self.teams[*t].vtime);
        let found = order.iter().find_map(|t| Some((*t, self.teams[*t].next(&mut free)?)));
        self.order = order;
        let (at, (kind, pos)) = found?;
        // The virtual time follows the least served team with work, also while all of that
        // team's jobs wait for loads: its claim must not be lost when others go ahead.
        self.vtime = self.vtime.max(lowest);
        let job = self.detach(at, kind, pos)?;
        let team = &mut self.teams[at];
        team.vtime += job.tokens.max(1) * SCALE / team.weight;
        for lower in &mut team.lanes[kind + 1..] {
            if !lower.jobs.is_empty() {
                lower.credit = lower.credit.saturating_add(job.tokens / LOWER_SHARE);
            }
        }
        let lane = &mut team.lanes[kind];
        lane.credit = lane.credit.saturating_sub(job.tokens);
        Some(job)
    }

    /// Corrects a team's charge once the tokens used are known.
    pub fn settle(&mut self, team: &Team, charged: u64, used: u64) {
        let Some(at) = self.index.get(team) else { return };
        let team = &mut self.teams[*at];
        let (charged, used) = (charged.max(1) * SCALE, used.max(1) * SCALE);
        team.vtime = if used >= charged {
            team.vtime.saturating_add((used - charged) / team.weight)
        } else {
            team.vtime.saturating_sub((charged - used) / team.weight)
        };
    }

    /// Removes and returns the jobs whose deadline has passed.
    pub fn expire(&mut self, now: Ms) -> Vec<Job> {
        let mut expired = Vec::new();
        while let Some((deadline, attempt)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop_first();
            expired.extend(self.remove(attempt));
        }
        expired
    }

    /// Removes a queued attempt without charge.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Job> {
        let (at, kind) = *self.places.get(&attempt)?;
        let pos = self.teams[at].lanes[kind].jobs.iter().position(|j| j.attempt == attempt)?;
        self.detach(at, kind, pos)
    }

    /// Removes the newest job of the team with most queued tokens over weight, so that
    /// a flood by one team displaces only that team's jobs.
    ///
    /// It comes from the least urgent kind that holds more than its bounded share of the
    /// team's queue, because a lower kind would otherwise be shed before it is ever served.
    pub fn shed(&mut self) -> Option<Job> {
        let heaviest = |t: &&TeamQueue| (t.tokens / t.weight, t.jobs as u64);
        let team = self.teams.iter().filter(|t| t.jobs > 0).max_by_key(heaviest)?;
        let over = |l: &&Lane| l.jobs.len() * LOWER_SHARE as usize > team.jobs;
        let attempt = team.lanes.iter().rev().find(over)?.jobs.back()?.attempt;
        self.remove(attempt)
    }

    /// Removes all jobs that match, in order of team and kind.
    pub fn drain(&mut self, matches: impl Fn(&Job) -> bool) -> Vec<Job> {
        let found: Vec<_> = self.jobs().filter(|j| matches(j)).map(|j| j.attempt).collect();
        found.into_iter().filter_map(|a| self.remove(a)).collect()
    }

    /// All queued jobs, by team in order of first use, then kind, then arrival.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.teams.iter().flat_map(|t| t.lanes.iter().flat_map(|l| l.jobs.iter()))
    }

    /// Tokens that are served before a new job of this team and kind, at most.
    ///
    /// Fair queueing bounds them by the team's own backlog times the inverse of its share.
    pub fn ahead(&self, team: &Team, kind: u8) -> u64 {
        let Some(at) = self.index.get(team) else { return self.others(None, 1) };
        let own = &self.teams[*at];
        let upto = usize::from(kind).min(KINDS - 1);
        let mine = own.lanes[..=upto].iter().flat_map(|l| &l.jobs).map(|j| j.tokens).sum::<u64>();
        mine + self.others(Some(*at), mine.max(1))
    }

    /// Number of queued jobs that need the adapter.
    pub fn waiting(&self, adapter: &AdapterRef) -> usize {
        self.waiting.get(adapter).copied().unwrap_or(0)
    }

    /// Whether the attempt is queued.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.places.contains_key(&attempt)
    }

    /// Number of queued jobs.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no job is queued.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Queued tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Tokens of other teams that go ahead while a team is served `mine` tokens.
    fn others(&self, own: Option<usize>, mine: u64) -> u64 {
        let weight = own.map_or(1, |t| self.teams[t].weight);
        let others = self.teams.iter().enumerate().filter(|(t, _)| Some(*t) != own);
        others.map(|(_, t)| t.tokens.min(mine * t.weight / weight)).sum()
    }

    fn team(&mut self, team: &Team) -> usize {
        if let Some(at) = self.index.get(team) {
            return *at;
        }
        self.teams.push(TeamQueue::new(team.clone()));
        self.index.insert(team.clone(), self.teams.len() - 1);
        self.teams.len() - 1
    }

    fn detach(&mut self, at: usize, kind: usize, pos: usize) -> Option<Job> {
        let job = self.teams[at].take(kind, pos)?;
        debug_assert_eq!(self.teams[at].team, job.team);
        self.places.remove(&job.attempt);
        self.deadlines.remove(&(job.deadline, job.attempt));
        self.tokens -= job.tokens;
        if let Some(adapter) = &job.adapter
            && let Some(count) = self.waiting.get_mut(adapter)
        {
            *count -= 1;
            if *count == 0 {
                self.waiting.remove(adapter);
            }
        }
        Some(job)
    }
}
