//! What the cases share: the record, the processes of the boxes, the operator's configurations, and plain engines.

use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer};
use crate::store::Store;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
}

/// Signals by their numbers on Linux.
pub const SIGTERM: i32 = 15;
/// Freezes a process.
pub const SIGSTOP: i32 = 19;
/// Lets a frozen process run again.
pub const SIGCONT: i32 = 18;
const SIGINT: i32 = 2;
const SIGKILL: i32 = 9;

/// Processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Whether this process was told to stop.
static IS_STOPPED: AtomicBool = AtomicBool::new(false);

extern "C" fn stop(_: i32) {
    IS_STOPPED.store(true, Ordering::SeqCst);
}

/// Lets SIGTERM and SIGINT end the processes that were started, and then this one.
pub fn end_all_when_stopped() {
    for number in [SIGTERM, SIGINT] {
        // SAFETY: the handler only stores a flag.
        unsafe { signal(number, stop) };
    }
    thread::spawn(|| {
        while !IS_STOPPED.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
        end_all();
        std::process::exit(2);
    });
}

/// Ends all processes that were started and have not been waited for.
pub fn end_all() {
    let started = STARTED.lock().unwrap_or_else(|held| held.into_inner());
    for process in started.iter() {
        // SAFETY: the call has no memory effects; the process is a child that has not been waited for.
        unsafe { kill(*process as i32, SIGKILL) };
    }
}

/// Starts a process.
pub fn start(command: &mut Command) -> Child {
    let child = command.spawn().expect("the program is built");
    STARTED
        .lock()
        .expect("no thread panics with it")
        .push(child.id());
    child
}

/// Waits for the end of a process.
pub fn wait(mut child: Child) {
    let _ = child.wait();
    STARTED
        .lock()
        .expect("no thread panics with it")
        .retain(|process| *process != child.id());
}

/// Host name of all routes.
pub const HOST: &str = "front.example";
/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
/// Key that every configuration holds.
pub const KEY: &str = "key-that-stays";
/// Time between two heartbeats of an engine.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// The record of a run, written to a file as it goes.
pub struct Journal {
    start: Instant,
    file: Mutex<File>,
}

impl Journal {
    /// Begins the record.
    pub fn create(path: &Path) -> Arc<Journal> {
        let file = Mutex::new(File::create(path).expect("the record is writable"));
        Arc::new(Journal {
            start: Instant::now(),
            file,
        })
    }

    /// Adds a line with the time since the start.
    pub fn note(&self, line: &str) {
        self.note_at(Instant::now(), line);
    }

    /// Adds a line on what happened at `at`.
    pub fn note_at(&self, at: Instant, line: &str) {
        let at = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics with it");
        writeln!(file, "{at:9.3} s  {line}").expect("the record is writable");
    }
}

/// Returns a loopback address of this run; runs at the same time use different ones.
pub fn address(number: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(
        127,
        64 + (process / 200 % 64) as u8,
        1 + (process % 200) as u8,
        number,
    )
}

/// Returns a port that is free at an address.
pub fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a port is free");
    listener.local_addr().expect("it is bound").port()
}

/// Returns Unix time in ms.
pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_millis()
}

/// Returns the id of a new attempt.
pub fn attempt_id() -> String {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// An entry box: a process of the project's program.
pub struct EntryBox {
    /// Name of the machine.
    pub name: String,
    /// Address for clients.
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    text: String,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    starts: AtomicU64,
    /// Whether the platform passes new connections to it.
    is_in: AtomicBool,
}

/// The boxes of a deployment.
pub struct Boxes {
    /// The boxes.
    pub all: Vec<EntryBox>,
    dir: PathBuf,
}

impl Boxes {
    /// Writes the settings of `count` boxes, in all zones in turn, and starts them. The first three are seeds.
    pub fn start(store: &Store, count: u8) -> Arc<Boxes> {
        let dir = std::env::temp_dir().join(format!("reachtally-review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("the temporary folder is writable");
        let probe = address(1);
        let (control, internal) = (free_port(probe), free_port(probe));
        let seeds: Vec<String> = (1..=3)
            .map(|number| format!("\"{}:{control}\"", address(number)))
            .collect();
        let build = |number: u8| {
            let ip = address(number);
            let (front, ready) = (free_port(ip), free_port(ip));
            let (name, zone) = (
                format!("edge-{number}"),
                ZONES[(number as usize - 1) % ZONES.len()],
            );
            let text = format!(
                r#"{{"NodeName":"{name}","Role":"entry","MachineClass":"edge","Serves":["edge","control_plane"],"Ip":"{ip}","Zone":"{zone}","Region":"here",
"Zones":{{"hall-a":"here","hall-b":"here","hall-c":"here"}},
"Listen":{{"Front":"{ip}:{front}","Ready":"{ip}:{ready}","Control":"{ip}:{control}"}},
"InternalPorts":[{internal},{}],"Seeds":[{}],"Bootstrap":BOOTSTRAP,"InTolerance":false,
"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0}},"DataDir":null,
"Discovery":"platform","Entry":"vip","HeartbeatMs":1200,"FaultTolerance":{{"Machines":1,"Zones":1,"Regions":0}},
"Bounds":{{"SeedLagS":3,"AddrReuseS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,
"DowngradeSlackMs":250,"MaxStretchMs":5000,"StrictRevoke":true,"RevokeMs":5000,"RetryBudgetRatio":0.2,"BudgetWindowS":10,"RetryBudgetSlack":200,
"RecoveryS":12,"pass_ms":120,"again_s":0,"stall_ms":3000,"RequireFencing":false}},
"Platform":{{"Address":"{}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":8,"append_ms":4.0,"ttl_min_ms":1000}}}}"#,
                internal + 3,
                seeds.join(","),
                store.address
            );
            EntryBox {
                front: SocketAddr::new(IpAddr::V4(ip), front),
                ready: SocketAddr::new(IpAddr::V4(ip), ready),
                settings: dir.join(format!("{name}.json")),
                log: dir.join(format!("{name}.log")),
                name,
                text,
                child: Mutex::default(),
                starts: AtomicU64::new(0),
                is_in: AtomicBool::new(false),
            }
        };
        let boxes = Arc::new(Boxes {
            all: (1..=count).map(build).collect(),
            dir: dir.clone(),
        });
        boxes.all.iter().for_each(EntryBox::spawn);
        for number in 0..boxes.all.len() {
            let boxes = boxes.clone();
            thread::spawn(move || boxes.all[number].watch());
        }
        boxes
    }

    /// Waits until the platform passes connections to all boxes; returns whether it does in time.
    pub fn wait_until_in(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while !self.all.iter().all(EntryBox::is_in) {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }
}

impl Boxes {
    /// Returns the processor time that each box has used so far, in seconds.
    pub fn processor_times(&self) -> Vec<f64> {
        let of_box = |entry_box: &EntryBox| {
            let child = entry_box.child.lock().expect("no thread panics with it");
            let id = child.as_ref().map_or(0, Child::id);
            let line = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
            // After the name in brackets; user and system time are fields 14 and 15, in hundredths.
            let fields = line.rsplit(')').next().unwrap_or_default();
            let times = fields.split_whitespace().skip(11).take(2);
            let times = times.filter_map(|time| time.parse::<f64>().ok());
            times.sum::<f64>() / 100.0
        };
        self.all.iter().map(of_box).collect()
    }

    /// Ends all processes, and removes the temporary folder unless `REVIEW_KEEP` is set.
    pub fn stop(&self) {
        for entry_box in &self.all {
            if let Some(mut child) = entry_box
                .child
                .lock()
                .expect("no thread panics with it")
                .take()
            {
                let _ = child.kill();
                wait(child);
            }
        }
        match std::env::var_os("REVIEW_KEEP") {
            Some(_) => println!("logs: {}", self.dir.display()),
            None => drop(fs::remove_dir_all(&self.dir)),
        }
    }
}

impl EntryBox {
    /// Starts the process with the command of the deploy file.
    pub fn spawn(&self) {
        let is_first = self.starts.fetch_add(1, Ordering::SeqCst) == 0;
        let text = self
            .text
            .replace("BOOTSTRAP", if is_first { "true" } else { "false" });
        fs::write(&self.settings, text).expect("the temporary folder is writable");
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the temporary folder is writable");
        let child = start(
            Command::new("target/release/reachtally-edge")
                .args(["--metrics", "9464"])
                .env("REACHTALLY_CONFIG", &self.settings)
                .stdin(Stdio::null())
                .stderr(log.try_clone().expect("the file is open"))
                .stdout(log),
        );
        *self.child.lock().expect("no thread panics with it") = Some(child);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, number: i32) {
        if let Some(child) = &*self.child.lock().expect("no thread panics with it") {
            // SAFETY: the call has no memory effects; the process is a child that has not been waited for.
            unsafe { kill(child.id() as i32, number) };
        }
    }

    /// Waits until the process has ended, at most `limit`; kills it then, as the platform does after the grace period.
    pub fn wait_for_exit(&self, limit: Duration) {
        let end = Instant::now() + limit;
        let mut slot = self.child.lock().expect("no thread panics with it");
        let Some(mut child) = slot.take() else { return };
        drop(slot);
        while matches!(child.try_wait(), Ok(None)) {
            if Instant::now() > end {
                let _ = child.kill();
            }
            thread::sleep(Duration::from_millis(10));
        }
        wait(child);
    }

    /// Whether the platform passes new connections to this box.
    pub fn is_in(&self) -> bool {
        self.is_in.load(Ordering::SeqCst)
    }

    /// Asks for readiness every second, as the platform does: two misses take the box out, one 200 puts it in.
    fn watch(&self) {
        let mut misses = 0;
        loop {
            let request = format!(
                "GET /readiness HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
                self.ready
            );
            let answer = http::call(self.ready, request.as_bytes(), Duration::from_millis(900));
            misses = match answer {
                Some(Answer { status: 200, .. }) => 0,
                _ => misses + 1,
            };
            match misses {
                0 => self.is_in.store(true, Ordering::SeqCst),
                1 => {}
                _ => self.is_in.store(false, Ordering::SeqCst),
            }
            thread::sleep(Duration::from_secs(1));
        }
    }
}

/// Returns a configuration: routes of each type to the service `app`, and two tenants, the second of which holds `keys`.
pub fn config(version: u64, keys: &[&str], stream_timeout_ms: u64) -> String {
    let route = |name: &str, kind: &str, more: &str| {
        format!(
            r#"{{"Name":"{name}","Hostname":"{HOST}","PathPrefix":"/{name}/","RouteType":"{kind}","Service":"app","Priority":1,"Public":false,"Sticky":false,{more}}}"#
        )
    };
    let whole = r#""TimeoutMs":4000,"TargetLatencyMs":500,"MaxAttempts":"#;
    let routes = [
        route("safe", "idempotent", &format!("{whole}2")),
        route("once", "non_idempotent", &format!("{whole}1")),
        route(
            "chat",
            "streaming",
            &format!(
                r#""TimeoutMs":{stream_timeout_ms},"TargetLatencyMs":500,"MaxAttempts":2,"StreamResume":true,"gap_aim_ms":200"#
            ),
        ),
        route(
            "talk",
            "streaming",
            &format!(r#"{whole}1,"StreamResume":false,"gap_aim_ms":200"#),
        ),
    ];
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[{{"Name":"app","HealthPath":"/health","MaxConnections":1000,"Protocol":"h1","Tls":false}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
"Tenants":[{{"Name":"first","ApiKeys":["{KEY}"],"Priority":1}},{{"Name":"second","ApiKeys":[{}],"Priority":1}}]}}"#,
        routes.join(","),
        keys.join(",")
    )
}

/// Returns the entry of an engine of the service `app`.
pub fn entry(address: SocketAddr, zone: &str, born: u128, number: u64) -> String {
    format!(
        r#"{{"Service":"app","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":16,"State":"ready","ColdRemainingMs":0,"Sequence":{number},"born":{born}}}"#
    )
}

/// Returns a request with a new connection.
pub fn request(method: &str, path: &str, id: &str, key: &str, deadline_ms: u64) -> Vec<u8> {
    let length = if method == "POST" {
        "Content-Length: 5\r\n"
    } else {
        ""
    };
    let body = if method == "POST" { "hello" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{length}\r\n{body}"
    )
    .into_bytes()
}
