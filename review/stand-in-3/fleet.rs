//! The project's own processes, started with the command of the deploy file.

use std::fs::OpenOptions;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::runner::HOLD_MAX_MS;

/// The command of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/turmericfold";

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// An entry process.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Entry {
    /// Starts the process `number`, with its settings and its log in `folder`.
    pub fn start(
        number: usize,
        store: SocketAddr,
        folder: &Path,
        output: Option<Stdio>,
    ) -> std::io::Result<Self> {
        let name = format!("edge-{number}");
        let ip = own_ip(number);
        let [front, ready, control, peer] = free_addresses(ip)?;
        let zone = ZONES[number % ZONES.len()];
        let peer_port = peer.port();
        let text = format!(
            "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge\nip={ip}\nzone={zone}\nregion=region\n\
             listen_addrs.front={front}\nlisten_addrs.ready={ready}\nlisten_addrs.control={control}\n\
             port_range={peer_port},{peer_port}\nseeds=\nbootstrap=true\nfault_counted=true\nlimits.cpu_share=0.25\n\
             limits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
             discovery=platform\nentry=vip\nheartbeat_ms=1500\n\
             contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n\
             bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\nbounds.grace_s=6\nbounds.config_apply_ms=2000\n\
             bounds.recovery_s=12\nbounds.hold_max_ms={HOLD_MAX_MS}\nbounds.stop_timeout_ms=400\nbounds.gang_timeout_ms=3000\n\
             bounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n\
             bounds.lease_ms=3000\norders=invocation\nplatform.address={store}\nplatform.form=kv\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
        );
        let settings = folder.join(format!("{name}.conf"));
        std::fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log, output)?;
        Ok(Self {
            name,
            front,
            ready,
            settings,
            log,
            child,
        })
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.child = spawn(&self.settings, &self.log, None)?;
        Ok(())
    }

    /// Returns the resident memory of the process, in MB; 0 if it has ended.
    pub fn memory_mb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1_024
    }

    pub fn child(&mut self) -> &mut Child {
        &mut self.child
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Starts the program, with its log in a file unless there is an `output`.
fn spawn(settings: &Path, log: &Path, output: Option<Stdio>) -> std::io::Result<Child> {
    let output = match output {
        Some(output) => output,
        None => OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?
            .into(),
    };
    Command::new(PROGRAM)
        .arg("enter")
        .env_clear()
        .env("TURMERICFOLD_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(Stdio::null())
        .spawn()
}

/// Returns the loopback address of the machine `number`, which no script that runs beside this one has.
fn own_ip(number: usize) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 64, low, 10 + number as u8)
}

/// Returns free ports at an address.
fn free_addresses(ip: Ipv4Addr) -> std::io::Result<[SocketAddr; 4]> {
    let bind = || TcpListener::bind((ip, 0));
    let held = [bind()?, bind()?, bind()?, bind()?];
    let mut addresses = [SocketAddr::from((ip, 0)); 4];
    for (address, listener) in addresses.iter_mut().zip(&held) {
        *address = listener.local_addr()?;
    }
    Ok(addresses)
}
