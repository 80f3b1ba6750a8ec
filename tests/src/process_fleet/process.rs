//! An entry process of the fleet.

use std::fs::{File, OpenOptions};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// The port of an entry process for callers.
const FRONT_PORT: u16 = 8_161;

/// The port of an entry process for readiness probes.
const READY_PORT: u16 = 8_167;

/// The port of an entry process for peers.
pub(super) const PEER_PORT: u16 = 7_720;

/// The settings of all processes that differ neither by process nor by fleet.
const COMMON_SETTINGS: &str = "\
role=entry
machine_class=edge
serves=edge
region=region
bootstrap=true
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=260
bounds.grace_s=6
bounds.hold_max_ms=10000
bounds.stop_timeout_ms=200
bounds.status_s=120
platform.ttl_min_ms=1000
";

/// An entry process of the fleet.
#[derive(Debug)]
pub(super) struct EntryProcess {
    name: String,
    program: PathBuf,
    folder: PathBuf,
    ip: IpAddr,
    child: Option<Child>,
}

impl EntryProcess {
    /// Creates a process that is not started; its settings and log are files in `folder`.
    pub(super) fn new(name: String, program: &Path, folder: &Path, ip: IpAddr) -> Self {
        Self {
            name,
            program: program.to_owned(),
            folder: folder.to_owned(),
            ip,
            child: None,
        }
    }

    /// Returns the name of the process.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address for callers.
    pub(super) fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    /// Returns the address for readiness probes.
    pub(super) fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    /// Returns the address for peers.
    pub(super) fn peer(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEER_PORT)
    }

    /// Writes the settings of the process.
    pub(super) fn write_settings(&self, zone: &str, store: SocketAddr) {
        let Self { name, ip, .. } = self;
        let (front, ready) = (self.front(), self.ready());
        let settings = format!(
            "node_name={name}\nip={ip}\nzone={zone}\nlisten_addrs.front={front}\n\
             listen_addrs.ready={ready}\nport_range={PEER_PORT},{PEER_PORT}\n\
             platform.address={store}\n{COMMON_SETTINGS}"
        );
        std::fs::write(self.settings_path(), settings).unwrap();
    }

    /// Starts the process.
    pub(super) fn start(&mut self) {
        let log = self.open_log();
        let errors = log.try_clone().unwrap();
        let child = Command::new(&self.program)
            .arg("enter")
            .env("TURMERICFOLD_CONFIG", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Returns whether the process has been started and not ended by [`Self::kill`].
    pub(super) fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal to the process, if it is started.
    pub(super) fn send(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // The process may have ended by itself.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Returns whether the process has ended by itself.
    pub(super) fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        !matches!(child.try_wait(), Ok(None))
    }

    /// Ends the process and waits for its end.
    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.conf", self.name))
    }

    fn open_log(&self) -> File {
        let path = self.folder.join(format!("{}.log", self.name));
        let log = OpenOptions::new().create(true).append(true).open(path);
        log.unwrap()
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
