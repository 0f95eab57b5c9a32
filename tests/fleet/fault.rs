//! Faults, and the steps at which they are brought about.

use super::{Ev, World};

/// What goes wrong. Faults with a duration end after the one that is injected with them.
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

/// Steps at which a fault can be brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    Admit,
    Route,
    Wait,
    Granted,
    Sent,
    Streaming,
    Ended,
    Ordered,
    Loading,
    Loaded,
    Evicting,
    Expired,
    ClaimSent,
    Claimed,
    Settling,
    Put,
    Head,
    Fetched,
    Adopted,
    Draining,
    Released,
}

impl World {
    /// Notes that a step was passed; brings the armed fault about.
    pub(super) fn pass(&mut self, step: Step, node: usize, endpoint: usize) {
        *self.steps.entry(step).or_default() += 1;
        if let Some((at, fault, ms)) = self.arm
            && at == step
        {
            self.arm = None;
            self.brought += 1;
            self.inject(fault, node, endpoint, ms);
        }
    }

    pub fn inject(&mut self, fault: Fault, node: usize, e: usize, ms: u64) {
        let (end, endpoint) = (self.now + ms, &mut self.endpoints[e]);
        let member = &mut self.members[node];
        match fault {
            Fault::Kill if member.alive => {
                self.kill(node);
                // The platform replaces the VM; its process starts anew.
                let at = (self.now + ms, self.next());
                self.events.insert(at, Ev::Fault(Fault::Kill, node, e, 0));
            }
            Fault::Kill => self.start(node),
            Fault::DisconnectTable => member.no_table = end,
            Fault::DisconnectPeers => member.no_peers = end,
            Fault::Freeze => member.frozen = end,
            Fault::SilenceEndpoint => endpoint.silent = end,
            Fault::SlowTable => self.slow = end,
            Fault::TableOutage => self.outage = end,
            Fault::ObjectsOutage => self.no_objects = end,
            Fault::LoseCommitAnswers => self.lose_answers += 2,
            Fault::LoseOrderAnswer => endpoint.lose += 1,
            Fault::RaceConfigs => {
                self.configure(false);
                self.configure(false);
            }
            Fault::FailLoad => endpoint.fail += 1,
            Fault::RestartEndpoint => self.crash(e, ms),
            Fault::CrashNextRun => self.poison = true,
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

    /// Brings a fault about later.
    pub fn schedule_fault(&mut self, delay: u64, fault: Fault, node: usize, e: usize, ms: u64) {
        let at = (self.now + delay, self.next());
        self.events.insert(at, Ev::Fault(fault, node, e, ms));
    }
}
