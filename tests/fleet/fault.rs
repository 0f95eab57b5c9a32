//! Faults, and the steps of the system at which they can be injected.

use super::{Event, World};

/// A fault. Faults with a duration end that time after their injection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    Kill,
    DisconnectTable,
    DisconnectPeers,
    Freeze,
    SilenceEndpoint,
    SlowTable,
    TableOutage,
    ObjectsOutage,
    LoseCommitAnswers,
    LoseOrderAnswer,
    RaceConfigs,
    FailLoad,
    RestartEndpoint,
    CrashNextRun,
    WithdrawKey,
    MarkLeaving,
}

/// Steps of the system at which a fault can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    RequestStarted,
    Routed,
    PermitRequested,
    PermitGranted,
    AttemptSent,
    Streaming,
    RunEnded,
    LoadOrdered,
    LoadStarted,
    LoadEnded,
    EvictOrdered,
    EvictionSent,
    ClaimSent,
    Claimed,
    Settling,
    ConfigStored,
    HeadUpdated,
    ConfigFetched,
    ConfigApplied,
    Draining,
    Released,
}

impl World {
    /// Counts a step and injects the armed fault if it is for this step.
    pub(super) fn reach_step(&mut self, step: Step, node: usize, endpoint: usize) {
        *self.step_counts.entry(step).or_default() += 1;
        if let Some((at, fault, ms)) = self.armed_fault
            && at == step
        {
            self.armed_fault = None;
            self.faults_injected += 1;
            self.inject(fault, node, endpoint, ms);
        }
    }

    pub fn inject(&mut self, fault: Fault, node: usize, e: usize, ms: u64) {
        let (end, endpoint) = (self.now + ms, &mut self.endpoints[e]);
        let member = &mut self.members[node];
        match fault {
            Fault::Kill if member.alive => {
                self.kill(node);
                // The platform replaces the VM, and a new process starts.
                let at = (self.now + ms, self.next_seq());
                self.events.insert(at, Event::Fault(Fault::Kill, node, e, 0));
            }
            Fault::Kill => self.start(node),
            Fault::DisconnectTable => member.no_table = end,
            Fault::DisconnectPeers => member.no_peers = end,
            Fault::Freeze => member.frozen_until = end,
            Fault::SilenceEndpoint => endpoint.silent_until = end,
            Fault::SlowTable => self.slow_until = end,
            Fault::TableOutage => self.outage_until = end,
            Fault::ObjectsOutage => self.no_objects = end,
            Fault::LoseCommitAnswers => self.lose_answers += 2,
            Fault::LoseOrderAnswer => endpoint.lost_answers += 1,
            Fault::RaceConfigs => {
                self.configure(false);
                self.configure(false);
            }
            Fault::FailLoad => endpoint.failing_loads += 1,
            Fault::RestartEndpoint => self.restart_endpoint(e, ms),
            Fault::CrashNextRun => self.crash_next = true,
            Fault::WithdrawKey => self.configure(true),
            Fault::MarkLeaving => {
                let name = endpoint.name.clone();
                endpoint.left_at.get_or_insert(self.now);
                if let Some(vm) = self.vms.iter_mut().find(|v| v.name == name.as_str()) {
                    vm.leaving = true;
                }
            }
        }
    }

    /// Schedules a fault after a delay.
    pub fn schedule_fault(&mut self, delay: u64, fault: Fault, node: usize, e: usize, ms: u64) {
        let at = (self.now + delay, self.next_seq());
        self.events.insert(at, Event::Fault(fault, node, e, ms));
    }
}
