//! A small deployment: boxes as processes, engines of a plain service, the operator, clients and the record of all.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Response, encode};
use crate::store::Store;

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt can be written"))),
        }
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} ms  {text}");
    }
}

pub fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

pub fn sleep_ms(time: u64) {
    thread::sleep(ms(time));
}

pub struct Rig {
    pub record: Record,
    pub store: Store,
    pub store_address: SocketAddr,
    pub boxes: Vec<BoxProcess>,
    pub dir: PathBuf,
    root: PathBuf,
    ports: u16,
    subnet: [u8; 2],
    next_attempt: AtomicU64,
}

pub struct BoxProcess {
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
    child: Option<Child>,
}

/// Returns the first of `count` ports that are free on every loopback address used.
fn free_ports(ip: Ipv4Addr, count: u16) -> u16 {
    let mut first = 20000 + (std::process::id() % 20000) as u16;
    loop {
        let is_free = |port| TcpListener::bind((ip, port)).is_ok();
        if (first..first + count).all(is_free) {
            return first;
        }
        first += count;
    }
}

impl Rig {
    /// Starts the store. Settings and logs of the boxes go into a temporary folder.
    pub fn new(case: &Path, root: &Path) -> Rig {
        let pid = std::process::id();
        let subnet = [64 + (pid / 250 % 60) as u8, 1 + (pid % 250) as u8];
        let dir = std::env::temp_dir().join(format!("reachtally-review-{pid}"));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let base = Ipv4Addr::new(127, subnet[0], subnet[1], 200);
        let ports = free_ports(base, 40);
        let store_address = SocketAddr::new(base.into(), ports);
        Rig {
            record: Record::new(&case.join("record.txt")),
            store: Store::start(store_address),
            store_address,
            boxes: Vec::new(),
            dir,
            root: root.to_owned(),
            ports,
            subnet,
            next_attempt: AtomicU64::new(1),
        }
    }

    pub fn ip(&self, last: u8) -> IpAddr {
        Ipv4Addr::new(127, self.subnet[0], self.subnet[1], last).into()
    }

    pub fn front(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.boxes[at].ip, self.ports + 1)
    }

    pub fn ready(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.boxes[at].ip, self.ports + 2)
    }

    /// Writes the settings of a box and starts it. `seeds` are numbers of boxes.
    pub fn add_box(&mut self, zone: &str) {
        let number = self.boxes.len();
        self.boxes.push(BoxProcess {
            name: format!("edge-{zone}-{number}"),
            zone: zone.to_owned(),
            ip: self.ip(10 + number as u8),
            child: None,
        });
    }

    pub fn start_box(&mut self, at: usize, is_first_start: bool, seeds: &[usize], store: SocketAddr) {
        let port = |offset: u16| self.ports + offset;
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{}:{}\"", self.boxes[*seed].ip, port(3)))
            .collect();
        let one = &self.boxes[at];
        let ip = one.ip;
        let settings = format!(
            r#"{{"NodeName":"{name}","Role":"entry","MachineClass":"edge","Serves":["edge","control_plane"],"Ip":"{ip}","Zone":"{zone}","Region":"plovdiv",
"Zones":{{"hall-a":"plovdiv","hall-b":"plovdiv","hall-c":"plovdiv"}},
"Listen":{{"Front":"{ip}:{front}","Ready":"{ip}:{ready}","Control":"{ip}:{control}"}},"InternalPorts":[{first},{last}],
"Seeds":[{seeds}],"Bootstrap":{is_first_start},"InTolerance":false,
"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0}},"DataDir":null,"Discovery":"platform","Entry":"vip","HeartbeatMs":1200,
"Contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"],"FaultTolerance":{{"Machines":1,"Zones":1,"Regions":0}},
"Bounds":{{"SeedLagS":3,"AddrReuseS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"DowngradeSlackMs":250,"MaxStretchMs":5000,"StrictRevoke":true,"RevokeMs":5000,"RetryBudgetRatio":0.2,"BudgetWindowS":10,"RetryBudgetSlack":200,"RecoveryS":12,"pass_ms":120,"again_s":0,"stall_ms":3000,"RequireFencing":false}},
"Platform":{{"Address":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":8,"append_ms":4.0,"part_mb_per_s":20.0,"read_mb_per_s":80.0,"record_bytes":262144,"call_bytes":2097152,"keep_s":300,"part_mb":200,"ttl_min_ms":1000}}}}"#,
            name = one.name,
            zone = one.zone,
            front = port(1),
            ready = port(2),
            control = port(3),
            first = port(4),
            last = port(9),
            seeds = seeds.join(","),
        );
        let path = self.dir.join(format!("{}.json", one.name));
        std::fs::write(&path, settings).expect("settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", one.name)))
            .expect("a log can be written");
        // As in the deploy file: target/release/reachtally-edge --metrics 9464
        let child = Command::new("target/release/reachtally-edge")
            .args(["--metrics", "9464"])
            .current_dir(&self.root)
            .env("REACHTALLY_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|err| cannot_run(&format!("the program doesn't start: {err}")));
        self.record.note(&format!("{} starts, process {}", one.name, child.id()));
        STARTED.lock().unwrap().push(child.id());
        self.boxes[at].child = Some(child);
    }

    /// Returns the names of the boxes and the ids of their processes.
    pub fn processes(&self) -> Vec<(String, u32)> {
        let running = self.boxes.iter().filter_map(|one| Some((one.name.clone(), one.child.as_ref()?.id())));
        running.collect()
    }

    /// Sends a signal to a box, by the id of its process.
    pub fn signal(&self, at: usize, signal: &str) {
        let one = &self.boxes[at];
        if let Some(child) = &one.child {
            self.record.note(&format!("{} gets SIG{signal}", one.name));
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Waits until the process of a box has ended.
    pub fn wait_box(&mut self, at: usize) {
        if let Some(mut child) = self.boxes[at].child.take() {
            let status = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
            self.record.note(&format!("{} has ended: {status:?}", self.boxes[at].name));
        }
    }

    pub fn is_ready(&self, at: usize) -> bool {
        let Ok(mut conn) = Conn::connect(self.ready(at), ms(300)) else {
            return false;
        };
        let _ = conn.stream.set_read_timeout(Some(ms(500)));
        conn.write(&encode("GET", "/readiness", &[("Host", "ready".to_owned())], b""));
        conn.response().is_some_and(|response| response.status == 200)
    }

    pub fn wait_ready(&self, at: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready(at) {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    /// Writes a configuration; returns when it was acknowledged.
    pub fn configure(&self, config: &str) -> Option<Instant> {
        let is_written = self.store.put("keyed.op", "config", config.as_bytes());
        let version = crate::store::field(config, "Version").unwrap_or_default();
        self.record.note(&format!("operator: configuration {version} is {}", if is_written { "acknowledged" } else { "refused" }));
        is_written.then(Instant::now)
    }

    /// Returns a new attempt id.
    pub fn attempt(&self) -> String {
        format!("{:016x}", 0x9c41_0000_0000_0000 + self.next_attempt.fetch_add(1, Ordering::SeqCst))
    }

    /// Sends a request over a new connection and returns the response; `None` if the connection ended without one.
    pub fn send(&self, to: SocketAddr, sent: &Sent) -> Option<Response> {
        let mut conn = Conn::connect(to, ms(1000)).ok()?;
        let _ = conn.stream.set_read_timeout(Some(ms(sent.deadline_ms)));
        let mut headers = vec![
            ("Host", "parts.example".to_owned()),
            ("X-Attempt-Id", sent.attempt.clone()),
            ("X-Deadline-Ms", sent.deadline_ms.to_string()),
        ];
        if let Some(key) = &sent.key {
            headers.push(("Authorization", format!("Bearer {key}")));
        }
        conn.write(&encode(&sent.method, &sent.path, &headers, &sent.body));
        conn.response()
    }

    /// Ends all processes that were started.
    pub fn end(&mut self) {
        for at in 0..self.boxes.len() {
            if let Some(mut child) = self.boxes[at].child.take() {
                let _ = Command::new("kill").arg("-CONT").arg(child.id().to_string()).status();
                let _ = child.kill();
                let _ = child.wait();
                STARTED.lock().unwrap().retain(|id| *id != child.id());
            }
        }
        self.record.note("all processes have ended");
    }

    /// Removes settings and logs.
    pub fn clean(&self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            println!("kept: {}", self.dir.display());
        }
    }
}

/// Returns which of these processes has the other end of a connection from `peer` to `local`.
pub fn owner(peer: SocketAddr, local: SocketAddr, processes: &[(String, u32)]) -> Option<String> {
    let encode = |address: SocketAddr| {
        let IpAddr::V4(ip) = address.ip() else {
            return String::new();
        };
        format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port())
    };
    let (peer, local) = (encode(peer), encode(local));
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let inode = table.lines().find_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        (words.len() > 9 && words[1] == peer && words[2] == local).then(|| format!("socket:[{}]", words[9]))
    })?;
    let has = |id: u32| {
        let Ok(files) = std::fs::read_dir(format!("/proc/{id}/fd")) else {
            return false;
        };
        files.flatten().any(|file| std::fs::read_link(file.path()).is_ok_and(|link| link.to_string_lossy() == inode))
    };
    processes.iter().find(|(_, id)| has(*id)).map(|(name, _)| name.clone())
}

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Sent {
    pub attempt: String,
    pub method: String,
    pub path: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    pub deadline_ms: u64,
}

/// Processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends what was started, and reports that the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case can't run: {why}");
    for id in STARTED.lock().unwrap_or_else(|err| err.into_inner()).drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
    std::process::exit(2);
}

/// Returns a configuration of a plain service with an idempotent, a non-idempotent and a public streaming route. `tenants` are names with their keys.
pub fn config(version: u64, tenants: &[(&str, &[&str])]) -> String {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            format!(r#"{{"Name":"{name}","ApiKeys":[{}],"Priority":1}}"#, keys.join(","))
        })
        .collect();
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-status","Hostname":"parts.example","PathPrefix":"/status/","RouteType":"idempotent","TimeoutMs":4000,"TargetLatencyMs":300,"Priority":2,"Service":"portal","MaxAttempts":2,"Public":false}},{{"Name":"r-lookup","Hostname":"parts.example","PathPrefix":"/lookup/","RouteType":"non_idempotent","TimeoutMs":4000,"TargetLatencyMs":300,"Priority":2,"Service":"portal","MaxAttempts":2,"Public":false}},{{"Name":"r-draft","Hostname":"parts.example","PathPrefix":"/draft/","RouteType":"streaming","TimeoutMs":20000,"TargetLatencyMs":500,"Priority":2,"Service":"portal","MaxAttempts":2,"Public":true,"StreamResume":true,"gap_aim_ms":200}}],"Services":[{{"Name":"portal","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{}]}}"#,
        tenants.join(",")
    )
}
