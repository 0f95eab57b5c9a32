//! Faults, and the steps of the system at which they can be injected.

use super::{Event, World};

/// A fault. Faults with a duration end that time after their injection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    Kill,
    CutTable,
    CutPeers,
    Freeze,
    Silent,
    SlowTable,
    Outage,
    ObjectsDown,
    LostAnswer,
    LostOrder,
    Race,
    FailLoad,
    Cold,
    Poison,
    Withdraw,
    Leave,
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
            Fault::CutTable => member.no_table = end,
            Fault::CutPeers => member.no_peers = end,
            Fault::Freeze => member.frozen_until = end,
            Fault::Silent => endpoint.silent_until = end,
            Fault::SlowTable => self.slow_until = end,
            Fault::Outage => self.outage_until = end,
            Fault::ObjectsDown => self.no_objects = end,
            Fault::LostAnswer => self.lose_answers += 2,
            Fault::LostOrder => endpoint.lost_answers += 1,
            Fault::Race => {
                self.configure(false);
                self.configure(false);
            }
            Fault::FailLoad => endpoint.failing_loads += 1,
            Fault::Cold => self.restart_endpoint(e, ms),
            Fault::Poison => self.crash_next = true,
            Fault::Withdraw => self.configure(true),
            Fault::Leave => {
                let name = endpoint.name.clone();
                endpoint.left.get_or_insert(self.now);
                if let Some(vm) = self.vms.iter_mut().find(|v| v.name == name.as_str()) {
                    vm.leaving = true;
                }
            }
        }
    }

    /// Schedules a fault after a delay.
    pub fn later(&mut self, delay: u64, fault: Fault, node: usize, e: usize, ms: u64) {
        let at = (self.now + delay, self.next_seq());
        self.events.insert(at, Event::Fault(fault, node, e, ms));
    }
}
