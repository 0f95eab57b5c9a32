//! Processes of the project's own program, started as the deploy file says.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http::Connection;

/// Time limit of a readiness check.
const CHECK_LIMIT: Duration = Duration::from_millis(800);

/// Ports that are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    inner: u16,
}

impl Ports {
    /// Finds ports that are free at all addresses.
    pub fn free(ips: &[Ipv4Addr]) -> Self {
        let is_free = |port: u16| {
            ips.iter().all(|ip| {
                TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
            })
        };
        let first = 20_000 + (std::process::id() % 9_000) as u16;
        let mut found = (first..32_000).chain(20_000..first).filter(|port| is_free(*port));
        let mut next = || found.next().expect("a free port");
        Self { front: next(), ready: next(), control: next(), inner: next() }
    }
}

/// What the settings of a node say.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    pub ports: Ports,
    pub store: SocketAddr,
    pub seeds: Vec<Ipv4Addr>,
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        SocketAddrV4::new(self.ip, self.ports.front).into()
    }

    /// The settings file, as the platform renders it from the template of the deploy file. The
    /// bounds are those of the small deployment `rolwerk-net`.
    fn settings(&self) -> String {
        let Self { name, zone, ip, ports, store, seeds } = self;
        let Ports { front, ready, control, inner } = ports;
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}:{control}\"")).collect();
        let seeds = seeds.join(",");
        format!(
            r#"{{"NodeName":"{name}","Role":"node","MachineClass":"edge","Serves":["edge","controller"],
"Ip":"{ip}","Zone":"{zone}","Region":"vlaanderen",
"Zones":{{"gent":"vlaanderen","brugge":"vlaanderen","antwerpen":"vlaanderen"}},
"Listen":{{"Frontend":"{ip}:{front}","Ready":"{ip}:{ready}","ControlPlane":"{ip}:{control}"}},
"InternalPorts":[{inner},{inner}],"SeedNodes":[{seeds}],"Bootstrap":true,"FaultCounted":false,
"Limits":{{"CpuShare":0.38,"CpuCores":1,"MemoryMb":390,"MaxFds":6150,"LinkMbps":1500.0,"DiskMb":0}},
"DataDir":null,"Discovery":"platform","Entry":"vip","HeartbeatMs":1200,
"Contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","platform"],
"FaultTolerance":{{"MachineLosses":2,"Zones":0,"RegionLosses":0}},
"Bounds":{{"SeedLagS":3,"ReuseDelayS":2,"StableMs":3000,"AckTimeoutMs":4000,"CatchUpS":4,"DrainMs":2000,
"GraceS":8,"LossSlackMs":200,"ConfigDeadlineMs":2000,"DowngradeSlackMs":250,"StretchMaxMs":5000,
"RevokePartitioned":false,"RevokeMs":5000,"RetryBudgetRatio":0.2,"RetryWindowS":10,"RetrySlack":58,
"QuotaWindowS":8,"QuotaOvershoot":0.1,"QuotaTolerance":110000,"RecoveryS":12,"PassMs":120,"RetryAfterS":0,
"FencingEnforced":false,"LeaseMs":3000,"ThawSlackMs":300,"CeilingWindowS":5,"CeilingOvershoot":1.1,
"version_ms":5000}},
"Platform":{{"Address":"{store}","form":"table","WritesPerS":400,"ReadsPerS":2000,"TxMs":5.0,
"PartitionWritesS":200,"RowBytes":65536,"Across":false,"HistoryS":20,"BlobBytes":8388608,"BlobMs":25.0,
"BlobMbS":80.0}}}}"#
        )
    }
}

/// A node whose process can be killed and started again. It is killed when dropped.
pub struct Node {
    pub machine: Machine,
    folder: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// A node that keeps its settings file and its log in `folder`.
    pub fn new(machine: Machine, folder: &std::path::Path) -> Self {
        Self { machine, folder: folder.to_owned(), child: None }
    }

    pub fn start(&mut self) -> io::Result<()> {
        let name = &self.machine.name;
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, self.machine.settings())?;
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new("target/release/sycamorefork");
        command.arg("edge").arg("--settings").arg(&settings).env_clear();
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Ends the process as SIGKILL does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        is_ready(SocketAddrV4::new(self.machine.ip, self.machine.ports.ready).into())
    }

    pub fn ready_address(&self) -> SocketAddr {
        SocketAddrV4::new(self.machine.ip, self.machine.ports.ready).into()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Whether a readiness check at an address gets a 200.
pub fn is_ready(address: SocketAddr) -> bool {
    use std::io::Write;
    let check = || -> io::Result<bool> {
        let mut connection = Connection::open(address, CHECK_LIMIT)?;
        connection.stream.set_read_timeout(Some(CHECK_LIMIT))?;
        connection.stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")?;
        Ok(connection.read(true)?.is_some_and(|answer| answer.status() == 200))
    };
    check().unwrap_or(false)
}
