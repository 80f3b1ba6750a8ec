//! The project's processes, and the clients that call them.

use std::fs::{self, File};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;
use crate::worker::{HEARTBEAT_MS, HOLD_MAX_MS};

/// The word after the program in `deploy/system.toml`.
const PROGRAM: &str = "target/release/turmericfold";

const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn set_started(pid: u32, is_running: bool) {
    let mut started = STARTED.lock().expect("the list of processes");
    started.retain(|known| *known != pid);
    if is_running {
        started.push(pid);
    }
}

/// Ends all processes that were started and have not been waited for.
pub fn end_all() {
    for pid in STARTED.lock().expect("the list of processes").drain(..) {
        // SAFETY: the process is a child of this one that has not been waited for.
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

/// One process of the system, on a machine of its own.
pub struct Entry {
    pub name: String,
    pub front: String,
    ready: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// All processes of the system; they end when it is dropped.
pub struct Fleet {
    pub entries: Vec<Entry>,
    root: PathBuf,
    folder: PathBuf,
    record: Record,
}

/// Returns free ports that differ.
fn free_ports<const COUNT: usize>() -> [u16; COUNT] {
    let listeners = [(); COUNT].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address").port())
}

impl Fleet {
    /// Starts `count` processes in three zones.
    pub fn start(root: &Path, folder: &Path, count: usize, store: &str, record: &Record) -> Self {
        fs::create_dir_all(folder).expect("a temporary folder");
        let mut fleet = Self {
            entries: Vec::new(),
            root: root.to_owned(),
            folder: folder.to_owned(),
            record: record.clone(),
        };
        for index in 0..count {
            let entry = fleet.write_settings(index, store);
            fleet.entries.push(entry);
            fleet.start_entry(index);
        }
        fleet
    }

    fn write_settings(&self, index: usize, store: &str) -> Entry {
        let name = format!("edge-{}", index + 1);
        let zone = ["z1", "z2", "z3"][index % 3];
        let [front, ready, control, peer] = free_ports::<4>();
        let address = |port: u16| format!("127.0.0.1:{port}");
        let text = format!(
            "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge\nip=127.0.0.1\nzone={zone}\nregion=r\nzones.z1=r\nzones.z2=r\nzones.z3=r\nlisten_addrs.front={}\nlisten_addrs.ready={}\nlisten_addrs.control={}\nport_range={peer},{peer}\nseeds=\nbootstrap=true\nfault_counted=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms={HEARTBEAT_MS}\ncontracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\nbounds.grace_s=6\nbounds.config_apply_ms=2000\nbounds.hold_max_ms={HOLD_MAX_MS}\nbounds.stop_timeout_ms=400\nbounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.finish_s=14\nbounds.status_s=120\norders=invocation\nplatform.address={store}\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n",
            address(front),
            address(ready),
            address(control),
        );
        let settings = self.folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings can be written");
        Entry {
            log: self.folder.join(format!("{name}.log")),
            name,
            front: address(front),
            ready: address(ready),
            settings,
            child: None,
        }
    }

    /// Starts the process of a machine, with its output appended to its log.
    pub fn start_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&entry.log)
            .expect("a log");
        let mut command = Command::new(self.root.join(PROGRAM));
        command
            .arg("enter")
            .env_clear()
            .env("TURMERICFOLD_CONFIG", &entry.settings);
        command.env("PATH", std::env::var_os("PATH").unwrap_or_default());
        command.current_dir(&self.root).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log")).stderr(log);
        match command.spawn() {
            Ok(child) => {
                set_started(child.id(), true);
                entry.child = Some(child);
            }
            Err(error) => {
                eprintln!("{PROGRAM} can't be started: {error}");
                std::process::exit(2);
            }
        }
        self.record.line(format!("{} is started", entry.name));
    }

    /// Waits until all processes say that they are ready; returns false if they don't in time.
    pub fn wait_ready(&self, limit_ms: u64) -> bool {
        let ends = Instant::now() + Duration::from_millis(limit_ms);
        let is_ready = |entry: &Entry| {
            let answer = call(&entry.ready, "GET", "/-/readyz", "x", "", 500);
            answer.is_some_and(|(status, _)| status == 200)
        };
        while !self.entries.iter().all(is_ready) {
            if Instant::now() > ends {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        true
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            if let Some(child) = &mut entry.child {
                set_started(child.id(), false);
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
