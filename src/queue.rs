//! Weighted fair queue of one endpoint.
//!
//! Teams share the endpoint by virtual time, counted in tokens divided by weight. The team
//! with the lowest virtual time is served first. A team that was idle starts at the current
//! virtual time, so that idle time earns no credit.
//!
//! Within a team the most urgent priority class is served first. Each waiting lower class
//! accumulates a fixed share of the team's tokens as credit and is served as soon as the
//! credit covers its oldest ready job.

use std::collections::{BTreeSet, VecDeque};

use crate::ids::{AdapterRef, AttemptId, Map, Team};
use crate::time::Ms;

/// Number of priority classes; larger priority values count as the last class.
pub const PRIORITY_CLASSES: usize = 4;

/// A waiting lower class receives one token of credit per this many tokens of its team.
const LOWER_CLASS_DIVISOR: u64 = 8;

/// Virtual time units per token at weight 1.
const VTIME_PER_TOKEN: u64 = 1024;

/// An attempt that waits for a place in an endpoint's batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The attempt.
    pub attempt: AttemptId,
    /// Team that is charged for the tokens.
    pub team: Team,
    /// Required adapter; `None` for the base model or a plain service.
    pub adapter: Option<AdapterRef>,
    /// Priority class, 0 is the most urgent.
    pub priority: u8,
    /// Prompt plus maximum output, in tokens.
    pub tokens: u64,
    /// Time after which the job expires.
    pub deadline: Ms,
    /// Fingerprint of team, adapter and body.
    pub fingerprint: u64,
    /// Time of arrival at the endpoint's owner.
    pub arrived: Ms,
}

/// Jobs of one team and priority class.
#[derive(Debug, Default)]
struct Lane {
    jobs: VecDeque<Job>,
    credit_tokens: u64,
}

#[derive(Debug)]
struct TeamQueue {
    team: Team,
    weight: u64,
    vtime: u64,
    jobs: usize,
    tokens: u64,
    lanes: [Lane; PRIORITY_CLASSES],
}

impl TeamQueue {
    fn new(team: Team) -> Self {
        Self { team, weight: 1, vtime: 0, jobs: 0, tokens: 0, lanes: Default::default() }
    }

    /// Class and index of the next job: a lower class with enough credit, else the most
    /// urgent class with a ready job.
    fn next_ready(&self, ready: &mut impl FnMut(&Job) -> bool) -> Option<(usize, usize)> {
        let mut first = None;
        for (class, lane) in self.lanes.iter().enumerate() {
            if lane.jobs.is_empty() || (first.is_some() && lane.credit_tokens == 0) {
                continue;
            }
            let Some(at) = lane.jobs.iter().position(&mut *ready) else { continue };
            if first.is_none() {
                first = Some((class, at));
            } else if lane.credit_tokens >= lane.jobs[at].tokens {
                return Some((class, at));
            }
        }
        first
    }

    fn remove_at(&mut self, class: usize, at: usize) -> Option<Job> {
        let job = self.lanes[class].jobs.remove(at)?;
        self.jobs -= 1;
        self.tokens -= job.tokens;
        if self.lanes[class].jobs.is_empty() {
            self.lanes[class].credit_tokens = 0;
        }
        Some(job)
    }
}

/// Fair queue by team, in virtual time of tokens.
#[derive(Debug, Default)]
pub struct Queue {
    teams: Vec<TeamQueue>,
    index: Map<Team, usize>,
    /// Team index and class of each queued attempt.
    positions: Map<AttemptId, (usize, usize)>,
    deadlines: BTreeSet<(Ms, AttemptId)>,
    waiting_jobs: Map<AdapterRef, usize>,
    vtime: u64,
    tokens: u64,
    /// Buffer of [`Queue::pop`], kept to avoid an allocation per call.
    order: Vec<usize>,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the weight of a team; the default is 1.
    pub fn set_weight(&mut self, team: &Team, weight: u32) {
        let at = self.team_index(team);
        self.teams[at].weight = u64::from(weight.max(1));
    }

    /// Appends a job; returns `false` if the attempt is already queued.
    pub fn push(&mut self, _now: Ms, job: Job) -> bool {
        let at = self.team_index(&job.team);
        let class = usize::from(job.priority).min(PRIORITY_CLASSES - 1);
        if self.positions.insert(job.attempt, (at, class)).is_some() {
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
            *self.waiting_jobs.entry(adapter.clone()).or_default() += 1;
        }
        team.lanes[class].jobs.push_back(job);
        true
    }

    /// Removes and returns the next job for which `ready` is true, and charges its tokens to
    /// its team.
    pub fn pop(&mut self, _now: Ms, mut ready: impl FnMut(&Job) -> bool) -> Option<Job> {
        let mut order = std::mem::take(&mut self.order);
        order.clear();
        order.extend((0..self.teams.len()).filter(|t| self.teams[*t].jobs > 0));
        order.sort_by_key(|t| (self.teams[*t].vtime, *t));
        let lowest = order.first().map_or(self.vtime, |t| self.teams[*t].vtime);
        let found = order.iter().find_map(|t| Some((*t, self.teams[*t].next_ready(&mut ready)?)));
        self.order = order;
        let (at, (class, pos)) = found?;
        // The virtual time follows the team with the lowest virtual time that has jobs, even
        // if all of them wait for loads. Otherwise that team would lose its share to teams
        // that are served meanwhile.
        self.vtime = self.vtime.max(lowest);
        let job = self.remove_at(at, class, pos)?;
        let team = &mut self.teams[at];
        team.vtime += job.tokens.max(1) * VTIME_PER_TOKEN / team.weight;
        for lower in &mut team.lanes[class + 1..] {
            if !lower.jobs.is_empty() {
                lower.credit_tokens =
                    lower.credit_tokens.saturating_add(job.tokens / LOWER_CLASS_DIVISOR);
            }
        }
        let lane = &mut team.lanes[class];
        lane.credit_tokens = lane.credit_tokens.saturating_sub(job.tokens);
        Some(job)
    }

    /// Replaces a charge of `charged` tokens to a team by the `used` tokens.
    pub fn correct_charge(&mut self, team: &Team, charged: u64, used: u64) {
        let Some(at) = self.index.get(team) else { return };
        let team = &mut self.teams[*at];
        let (charged, used) = (charged.max(1) * VTIME_PER_TOKEN, used.max(1) * VTIME_PER_TOKEN);
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

    /// Removes a queued attempt without charging its team.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Job> {
        let (at, class) = *self.positions.get(&attempt)?;
        let pos = self.teams[at].lanes[class].jobs.iter().position(|j| j.attempt == attempt)?;
        self.remove_at(at, class, pos)
    }

    /// Removes and returns the newest job of the team with the most queued tokens per weight,
    /// so that a flood from one team displaces only that team's jobs.
    ///
    /// The job comes from the least urgent class that holds more than one in
    /// `LOWER_CLASS_DIVISOR` of the team's jobs. Without this limit, the jobs of a lower
    /// class would always be shed before they are served.
    pub fn shed(&mut self) -> Option<Job> {
        let heaviest = |t: &&TeamQueue| (t.tokens / t.weight, t.jobs as u64);
        let team = self.teams.iter().filter(|t| t.jobs > 0).max_by_key(heaviest)?;
        let over = |l: &&Lane| l.jobs.len() * LOWER_CLASS_DIVISOR as usize > team.jobs;
        let attempt = team.lanes.iter().rev().find(over)?.jobs.back()?.attempt;
        self.remove(attempt)
    }

    /// Removes and returns all matching jobs, in the order of [`Queue::jobs`].
    pub fn drain(&mut self, matches: impl Fn(&Job) -> bool) -> Vec<Job> {
        let found: Vec<_> = self.jobs().filter(|j| matches(j)).map(|j| j.attempt).collect();
        found.into_iter().filter_map(|a| self.remove(a)).collect()
    }

    /// Queued jobs, ordered by first use of the team, then priority class, then arrival.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.teams.iter().flat_map(|t| t.lanes.iter().flat_map(|l| l.jobs.iter()))
    }

    /// Maximum number of tokens that are served before a new job of this team and priority.
    ///
    /// Fair queueing bounds it by the team's own backlog divided by the team's share.
    pub fn tokens_ahead(&self, team: &Team, priority: u8) -> u64 {
        let Some(at) = self.index.get(team) else { return self.tokens_of_others(None, 1) };
        let own = &self.teams[*at];
        let upto = usize::from(priority).min(PRIORITY_CLASSES - 1);
        let mine = own.lanes[..=upto].iter().flat_map(|l| &l.jobs).map(|j| j.tokens).sum::<u64>();
        mine + self.tokens_of_others(Some(*at), mine.max(1))
    }

    /// Number of queued jobs that require the adapter.
    pub fn waiting_for(&self, adapter: &AdapterRef) -> usize {
        self.waiting_jobs.get(adapter).copied().unwrap_or(0)
    }

    /// Returns whether the attempt is queued.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.positions.contains_key(&attempt)
    }

    /// Number of queued jobs.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no job is queued.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Total tokens of the queued jobs.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Maximum number of tokens of other teams that are served while the team at index `own`
    /// is served `mine` tokens.
    fn tokens_of_others(&self, own: Option<usize>, mine: u64) -> u64 {
        let weight = own.map_or(1, |t| self.teams[t].weight);
        let others = self.teams.iter().enumerate().filter(|(t, _)| Some(*t) != own);
        others.map(|(_, t)| t.tokens.min(mine * t.weight / weight)).sum()
    }

    fn team_index(&mut self, team: &Team) -> usize {
        if let Some(at) = self.index.get(team) {
            return *at;
        }
        self.teams.push(TeamQueue::new(team.clone()));
        self.index.insert(team.clone(), self.teams.len() - 1);
        self.teams.len() - 1
    }

    fn remove_at(&mut self, at: usize, class: usize, pos: usize) -> Option<Job> {
        let job = self.teams[at].remove_at(class, pos)?;
        debug_assert_eq!(self.teams[at].team, job.team);
        self.positions.remove(&job.attempt);
        self.deadlines.remove(&(job.deadline, job.attempt));
        self.tokens -= job.tokens;
        if let Some(adapter) = &job.adapter
            && let Some(count) = self.waiting_jobs.get_mut(adapter)
        {
            *count -= 1;
            if *count == 0 {
                self.waiting_jobs.remove(adapter);
            }
        }
        Some(job)
    }
}
