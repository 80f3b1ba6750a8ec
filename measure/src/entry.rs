//! One entry of a fleet, within this process or as a child process.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use anyhow::{Context, Result};
use rustix::process::{Pid, Signal, kill_process};
use turmericfold::Process;
use turmericfold_config::Settings;
use turmericfold_timeline::Event;

/// An entry with its settings; it may be stopped.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) settings: Settings,
    state: EntryState,
}

#[derive(Debug)]
enum EntryState {
    Stopped,
    InProcess(Process),
    ChildProcess(ChildProcess),
}

/// An entry in an operating-system process of its own, killed when dropped.
#[derive(Debug)]
struct ChildProcess {
    child: Child,
    settings: PathBuf,
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Entry {
    /// Starts an entry within this process.
    pub(crate) fn start(settings: Settings) -> Result<Self> {
        let state = EntryState::InProcess(Process::start(settings.clone())?);
        Ok(Self { settings, state })
    }

    /// Starts an entry as a child process that runs the current executable, which must
    /// have the command `entry`.
    pub(crate) fn start_child_process(settings: Settings) -> Result<Self> {
        let name = format!("{}-{}.json", settings.process.name, std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, serde_json::to_string(&settings)?)?;
        let child = Command::new(std::env::current_exe()?)
            .arg("entry")
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .context("the child process of the entry can't be spawned")?;
        let state = EntryState::ChildProcess(ChildProcess {
            child,
            settings: path,
        });
        Ok(Self { settings, state })
    }

    /// Returns the entry process if it runs within this process.
    pub(crate) fn process(&self) -> Option<&Process> {
        match &self.state {
            EntryState::InProcess(process) => Some(process),
            EntryState::Stopped | EntryState::ChildProcess(_) => None,
        }
    }

    /// Restarts the entry within this process.
    pub(crate) fn restart(&mut self) -> Result<()> {
        self.state = EntryState::Stopped;
        self.state = EntryState::InProcess(Process::start(self.settings.clone())?);
        Ok(())
    }

    /// Ends the entry abruptly, as a failure of its instance does, and returns its events.
    ///
    /// Events of a child process are not available.
    pub(crate) fn kill(&mut self) -> Vec<Event> {
        match std::mem::replace(&mut self.state, EntryState::Stopped) {
            EntryState::InProcess(process) => {
                let events = process.recorder().events();
                tokio::task::block_in_place(|| process.kill());
                events
            }
            EntryState::ChildProcess(_) | EntryState::Stopped => Vec::new(),
        }
    }

    /// Stops the entry and returns its events.
    ///
    /// The stop is graceful within this process. A child process is killed, and its
    /// events are not available.
    pub(crate) fn stop(&mut self) -> Vec<Event> {
        match std::mem::replace(&mut self.state, EntryState::Stopped) {
            EntryState::InProcess(process) => {
                let recorder = process.recorder().clone();
                tokio::task::block_in_place(|| process.stop());
                recorder.events()
            }
            EntryState::ChildProcess(_) | EntryState::Stopped => Vec::new(),
        }
    }

    /// Pauses or resumes a child process; has no effect on other entries.
    ///
    /// Fails if the signal can't be sent.
    pub(crate) fn set_paused(&self, paused: bool) -> Result<()> {
        let EntryState::ChildProcess(process) = &self.state else {
            return Ok(());
        };
        let pid = i32::try_from(process.child.id())
            .ok()
            .and_then(Pid::from_raw)
            .context("the child process of the entry has no valid process identifier")?;
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        kill_process(pid, signal)?;
        Ok(())
    }
}
