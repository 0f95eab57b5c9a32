//! A small deployment: a store, runners that write their entries, nodes and a balancer.

use std::env;
use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Answer, Balancer};
use crate::node::{Machine, Node, Ports};
use crate::record::Record;
use crate::runner::{Fleet, Plan, Runner, SERVICE};
use crate::store::{Door, Store};

/// Longest time for a node to become ready.
const START_LIMIT: Duration = Duration::from_secs(15);

/// The host, the path and the key of the requests.
pub const HOST: &str = "ficu95.example";
pub const PATH: &str = "/pufi791/2f";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const TENANT: &str = "hule930";
/// The zones of the nodes, as in the small deployment `rolwerk-net`.
pub const NODE_ZONES: [&str; 5] = ["gent", "gent", "brugge", "brugge", "antwerpen"];

/// The operator's configuration of a deployment whose runners are as `plan` says.
pub fn configuration(plan: &Plan, rate: u64, burst: u64) -> String {
    let Plan { weights_mb, adapter_slots, adapter_mb, .. } = plan;
    let model = |(name, mb): &(&str, u64)| {
        format!(
            r#"{{"Name":"{name}","WeightsMb":{mb},"LoadTimeS":1.9,"Adapters":3000,"AdapterMb":{adapter_mb},
"WarmupS":0.38,"DiskLoadS":0.76}}"#
        )
    };
    let models: Vec<String> = plan.models.iter().map(model).collect();
    let models = models.join(",");
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-828m82t","Host":"{HOST}","Prefix":"/pufi791/","Type":"streaming",
"TimeoutMs":12000,"TargetLatencyMs":1000,"Priority":0,"Service":"{SERVICE}","MaxAttempts":2,"Public":false,
"Sticky":true,"Resumable":true,"GapTargetMs":400}}],
"Services":[{{"Name":"{SERVICE}","HealthPath":"/healthz","MaxConnections":370,"Protocol":"h1","Tls":false,
"Engine":{{"Slots":64,"KvCapacity":232000,"KvTokenBytes":327680,"LinkMbps":1100000.0,"Moves":true,"Backups":true,
"Stride":5,"Cap":12,"HostMb":140000.0,"DiskMb":410000.0,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,
"Models":[{models}],"WeightsMb":{weights_mb},"AdapterSlots":{adapter_slots},"LoadsPerS":3.3}}}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
"Tenants":[{{"Name":"{TENANT}","ApiKeys":["{KEY}"],"Priority":1,"Unit":"token","PlainTokens":200,
"RatePerS":{rate},"Burst":{burst}}}]}}"#
    )
}

pub struct World {
    pub record: Record,
    pub doors: Vec<Door>,
    pub nodes: Vec<Node>,
    pub balancer: Balancer,
    pub fleet: Arc<Fleet>,
    pub runners: Vec<Runner>,
    pub answers: Arc<Mutex<Vec<Answer>>>,
    folder: PathBuf,
}

impl World {
    /// Starts the stand-ins with runners that hold the given models in their zones, and prepares
    /// nodes in the zones; the first node of each zone is a seed node.
    pub fn new(
        record: &Record,
        configuration: &str,
        plan: Plan,
        runners: &[(&'static str, &[&'static str])],
        node_zones: &[&'static str],
    ) -> io::Result<Self> {
        let folder = env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::new();
        store.put("op", "config", configuration);
        let fleet = Arc::new(Fleet::new(plan, &store, record));
        let start = |(zone, models): &(&'static str, &[&'static str])| fleet.start(zone, models);
        let runners = runners.iter().map(start).collect::<io::Result<_>>()?;
        let ips: Vec<Ipv4Addr> =
            (0..node_zones.len()).map(|i| Ipv4Addr::new(127, 0, 0, 11 + i as u8)).collect();
        let ports = Ports::free(&ips);
        let is_first = |i: &usize| !node_zones[..*i].contains(&node_zones[*i]);
        let seeds: Vec<Ipv4Addr> =
            (0..ips.len()).filter(is_first).take(3).map(|i| ips[i]).collect();
        let (mut doors, mut nodes) = (Vec::new(), Vec::new());
        for (i, zone) in node_zones.iter().copied().enumerate() {
            let door = store.door()?;
            let number = node_zones[..i].iter().filter(|z| **z == zone).count() + 1;
            let machine = Machine {
                name: format!("edge-{zone}-{number}"),
                zone,
                ip: ips[i],
                ports,
                store: door.address,
                seeds: seeds.clone(),
            };
            doors.push(door);
            nodes.push(Node::new(machine, &folder));
        }
        let balancer = Balancer::default();
        let (record, answers) = (record.clone(), Arc::default());
        Ok(Self { record, doors, nodes, balancer, fleet, runners, answers, folder })
    }

    /// Starts all nodes and waits until they are ready.
    pub fn start_nodes(&mut self) -> Result<(), String> {
        for node in &mut self.nodes {
            node.start().map_err(|e| format!("{} does not start: {e}", node.machine.name))?;
        }
        for node in &self.nodes {
            let end = Instant::now() + START_LIMIT;
            while !node.is_ready() {
                if Instant::now() > end {
                    return Err(format!("{} is not ready", node.machine.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
            let machine = &node.machine;
            let ready = node.ready_address();
            self.balancer.watch(&machine.name, machine.zone, machine.front(), ready);
        }
        Ok(())
    }

    /// Waits until a time since the start of the record, in ms.
    pub fn until(&self, at: u64) {
        thread::sleep(Duration::from_millis(at.saturating_sub(self.record.now())));
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.nodes.clear();
        match env::var_os("KEEP_LOGS") {
            Some(_) => println!("logs in {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}
