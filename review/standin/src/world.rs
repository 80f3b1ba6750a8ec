//! Starts a small deployment: the store, runners, and the system's own processes.

use std::fs;
use std::io::Write;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::{obj, s, Json};
use crate::record::record;
use crate::runner::Settings;
use crate::store::Store;
use crate::store_path::StorePath;

/// Why a case could not be run.
pub struct CantRun(pub String);

pub struct Daemon {
    pub name: String,
    pub front: String,
    ready: String,
    settings: PathBuf,
    child: Option<Child>,
    /// The path from the process to the store.
    pub store_path: StorePath,
}

pub struct RunnerProcess {
    pub settings: Settings,
    child: Option<Child>,
}

impl RunnerProcess {
    pub fn tell(&mut self, word: &str) {
        if let Some(input) = self.child.as_mut().and_then(|child| child.stdin.as_mut()) {
            let _ = writeln!(input, "{word}");
            let _ = input.flush();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            record(&format!("script KILLED runner {}", self.settings.id));
        }
    }

    pub fn start(&mut self) -> Result<(), CantRun> {
        let program = std::env::current_exe().map_err(|error| CantRun(error.to_string()))?;
        let settings = &self.settings;
        let child = Command::new(program)
            .arg("runner")
            .args([
                &settings.id,
                &settings.port.to_string(),
                &settings.store,
                &settings.service,
                &settings.zone,
            ])
            .args([
                &settings.labels.join(","),
                &settings.cpu.to_string(),
                &settings.mem_mb.to_string(),
            ])
            .args([
                &settings.hold_max_ms.to_string(),
                &settings.stop_ms.to_string(),
                &settings.late_holds_ms.to_string(),
            ])
            .stdin(Stdio::piped())
            .spawn()
            .map_err(|error| CantRun(format!("runner: {error}")))?;
        self.child = Some(child);
        Ok(())
    }
}

pub struct World {
    pub store: Store,
    store_address: String,
    pub daemons: Vec<Daemon>,
    pub runners: Vec<RunnerProcess>,
    folder: PathBuf,
    taken: Vec<TcpListener>,
}

/// The figures of a small deployment.
pub const HOLD_MAX_MS: i64 = 10_000;
pub const STOP_TIMEOUT_MS: u64 = 200;
const GRACE_MS: u64 = 6_000;

impl World {
    pub fn new() -> Result<Self, CantRun> {
        let listener =
            TcpListener::bind("127.0.0.1:0").map_err(|error| CantRun(error.to_string()))?;
        let store_address = listener
            .local_addr()
            .map_err(|error| CantRun(error.to_string()))?
            .to_string();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| CantRun(error.to_string()))?;
        let store = Store::start(listener);
        let (daemons, runners, taken) = (Vec::new(), Vec::new(), Vec::new());
        Ok(Self {
            store,
            store_address,
            daemons,
            runners,
            folder,
            taken,
        })
    }

    fn free_port(&mut self) -> Result<u16, CantRun> {
        let listener =
            TcpListener::bind("127.0.0.1:0").map_err(|error| CantRun(error.to_string()))?;
        let port = listener
            .local_addr()
            .map_err(|error| CantRun(error.to_string()))?
            .port();
        // Held until all ports are chosen, so that no port is chosen twice.
        self.taken.push(listener);
        Ok(port)
    }

    pub fn add_runner(
        &mut self,
        service: &str,
        labels: &[&str],
        cpu: i64,
        mem_mb: i64,
    ) -> Result<usize, CantRun> {
        let number = self.runners.len();
        let settings = Settings {
            id: format!("i-{number:04}"),
            port: self.free_port()?,
            store: self.store_address.clone(),
            service: service.to_owned(),
            zone: format!("zone-{}", number % 3),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            cpu,
            mem_mb,
            hold_max_ms: HOLD_MAX_MS,
            stop_ms: STOP_TIMEOUT_MS / 2,
            late_holds_ms: 0,
        };
        self.runners.push(RunnerProcess {
            settings,
            child: None,
        });
        Ok(number)
    }

    pub fn add_daemons(&mut self, count: usize) -> Result<(), CantRun> {
        for number in 0..count {
            let ports = [
                self.free_port()?,
                self.free_port()?,
                self.free_port()?,
                self.free_port()?,
            ];
            let [front, ready, control, peer] = ports;
            let store_path = StorePath::open(&self.store_address)?;
            let name = format!("edge-zone-{}-{}", number % 3, number / 3 + 1);
            let text = format!(
                "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge\nip=127.0.0.1\nzone=zone-{zone}\nregion=region\n\
                 zones.zone-0=region\nzones.zone-1=region\nzones.zone-2=region\n\
                 listen_addrs.front=127.0.0.1:{front}\nlisten_addrs.ready=127.0.0.1:{ready}\nlisten_addrs.control=127.0.0.1:{control}\n\
                 port_range={peer},{peer}\nbootstrap=true\nfault_counted=false\n\
                 limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
                 discovery=platform\nentry=vip\nheartbeat_ms=1500\n\
                 contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n\
                 bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\nbounds.grace_s=6\nbounds.config_apply_ms=2000\n\
                 bounds.hold_max_ms={HOLD_MAX_MS}\nbounds.stop_timeout_ms={STOP_TIMEOUT_MS}\nbounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\n\
                 bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.checkpoint_s=0.5\nbounds.restore_ms=600\n\
                 bounds.fencing_enforced=false\nbounds.lease_ms=3000\norders=invocation\n\
                 platform.address={store}\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n\
                 platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n",
                zone = number % 3,
                store = store_path.address,
            );
            let settings = self.folder.join(format!("{name}.conf"));
            fs::write(&settings, text).map_err(|error| CantRun(error.to_string()))?;
            let (front, ready) = (format!("127.0.0.1:{front}"), format!("127.0.0.1:{ready}"));
            self.daemons.push(Daemon {
                name,
                front,
                ready,
                settings,
                child: None,
                store_path,
            });
        }
        Ok(())
    }

    /// Starts everything and waits until all of the system's processes are ready.
    pub fn start(&mut self) -> Result<(), CantRun> {
        self.taken.clear();
        for runner in &mut self.runners {
            runner.start()?;
        }
        for number in 0..self.daemons.len() {
            self.start_daemon(number)?;
        }
        self.wait_until_ready()
    }

    pub fn start_daemon(&mut self, number: usize) -> Result<(), CantRun> {
        let daemon = &mut self.daemons[number];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", daemon.name)))
            .map_err(|error| CantRun(error.to_string()))?;
        let copy = log
            .try_clone()
            .map_err(|error| CantRun(error.to_string()))?;
        // The command of deploy/system.toml.
        let child = Command::new("target/release/turmericfold")
            .arg("enter")
            .env("TURMERICFOLD_CONFIG", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .spawn()
            .map_err(|error| CantRun(format!("target/release/turmericfold: {error}")))?;
        // The script ends the processes that are left if this program is ended itself.
        if let Ok(path) = std::env::var("PIDS") {
            let opened = fs::OpenOptions::new().create(true).append(true).open(path);
            let written = opened.and_then(|mut file| writeln!(file, "{}", child.id()));
            written.map_err(|error| CantRun(error.to_string()))?;
        }
        daemon.child = Some(child);
        Ok(())
    }

    /// Stops a process with SIGTERM, waits for its end, and starts it again.
    pub fn restart_daemon(&mut self, number: usize) -> Result<(), CantRun> {
        let daemon = &mut self.daemons[number];
        if let Some(mut child) = daemon.child.take() {
            record(&format!("script SIGTERM to {}", daemon.name));
            let _ = Command::new("kill")
                .args(["-TERM", &child.id().to_string()])
                .status();
            let until = Instant::now() + Duration::from_millis(GRACE_MS);
            while matches!(child.try_wait(), Ok(None)) && Instant::now() < until {
                thread::sleep(Duration::from_millis(20));
            }
            let _ = child.kill();
            let _ = child.wait();
            record(&format!(
                "script {} has ended; starting it again",
                daemon.name
            ));
        }
        self.start_daemon(number)
    }

    /// Waits until all of the system's processes are ready.
    pub fn wait_until_ready(&self) -> Result<(), CantRun> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let is_ready = |daemon: &Daemon| {
                matches!(
                    call(
                        &daemon.ready,
                        "GET",
                        "/-/readyz",
                        &[("Host", "ready")],
                        "",
                        500
                    ),
                    Some((200, _))
                )
            };
            if self.daemons.iter().all(is_ready) {
                record("script all processes are ready");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(CantRun("the system was not ready within 20 s".into()))
    }

    /// Makes a client's call to one of the system's processes, and records it.
    pub fn ask(
        &self,
        daemon: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let front = &self.daemons[daemon].front;
        let shown = body.chars().take(160).collect::<String>();
        record(&format!(
            "client {method} {path} to {} {shown}",
            self.daemons[daemon].name
        ));
        let answer = call(
            front,
            method,
            path,
            &[("Host", "case.example"), ("Deadline-Ms", "3000")],
            body,
            3_000,
        );
        record(&format!("client {method} {path} <- {answer:?}"));
        answer
    }

    /// Hands a job in at the processes in turn until it is accepted, as a client does.
    pub fn submit(&self, prefix: &str, id: &str, body: &str) -> Result<(), CantRun> {
        for attempt in 0..10 {
            let answer = self.ask(
                attempt % self.daemons.len(),
                "POST",
                &format!("{prefix}{id}"),
                body,
            );
            if matches!(answer, Some((200, _))) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(300));
        }
        Err(CantRun(format!("job {id} was not accepted")))
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let daemons = self
            .daemons
            .iter_mut()
            .filter_map(|daemon| daemon.child.as_mut());
        let runners = self
            .runners
            .iter_mut()
            .filter_map(|runner| runner.child.as_mut());
        for child in daemons.chain(runners) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if let Ok(kept) = std::env::var("KEEP_LOGS") {
            let _ = fs::create_dir_all(&kept);
            for entry in fs::read_dir(&self.folder).into_iter().flatten().flatten() {
                let _ = fs::copy(entry.path(), PathBuf::from(&kept).join(entry.file_name()));
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A queue of a configuration: its route's name, prefix and service.
pub struct Queue<'a>(pub &'a str, pub &'a str, pub &'a str);

pub fn configuration(version: i64, queues: &[Queue<'_>], services: &[&str]) -> String {
    let routes = queues.iter().map(|Queue(name, prefix, service)| {
        obj(vec![
            ("name", s(*name)),
            ("host", s("case.example")),
            ("prefix", s(*prefix)),
            ("kind", s("non_idempotent")),
            ("timeout_ms", Json::Int(3_000)),
            ("target_duration_ms", Json::Int(1_000)),
            ("priority", Json::Int(0)),
            ("service", s(*service)),
            ("max_attempts", Json::Int(4)),
            ("slack_factor", Json::Float(1.5)),
        ])
    });
    let services = services.iter().map(|service| {
        obj(vec![
            ("name", s(*service)),
            ("health_path", s("/healthz")),
            ("max_conns", Json::Int(64)),
            ("protocol", s("h1")),
            ("tls", Json::Bool(false)),
            ("admission_check", Json::Bool(true)),
            ("standby", Json::Bool(false)),
        ])
    });
    let limits = obj(vec![
        ("max_header_bytes", Json::Int(16_384)),
        ("max_body_bytes", Json::Int(262_144)),
        ("header_timeout_ms", Json::Int(3_000)),
        ("idle_timeout_ms", Json::Int(15_000)),
    ]);
    let configuration = obj(vec![
        ("version", Json::Int(version)),
        ("routes", Json::Arr(routes.collect())),
        ("services", Json::Arr(services.collect())),
        ("limits", limits),
    ]);
    configuration.to_string()
}
