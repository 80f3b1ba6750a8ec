//! A stand-in for a runner, as PROTOCOL.md describes it; one process each.
//!
//! The payload of a job says how its tasks behave here: `work=MS` ends `done` after that time,
//! `lasting` works until it is stopped or its lease ends; `save=BYTES` saves checkpoints of that
//! length.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{call, read_request, write_response, Request};
use crate::json::{obj, s, Json};
use crate::record::{record, unix_ms};

const HEARTBEAT_MS: u64 = 1_500;
const MAX_LISTED_ENDS: usize = 500;
const CHECKPOINT_MS: u64 = 500;
/// How much later a hold that is left unanswered is carried out.
const LATENESS_MS: u64 = 2_000;

#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub port: u16,
    pub store: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: i64,
    pub mem_mb: i64,
    pub hold_max_ms: i64,
    pub stop_ms: u64,
    /// For how long after its start it leaves holds unanswered and carries them out late; 0 for
    /// not at all.
    pub late_holds_ms: u64,
}

struct Run {
    number: i64,
    since: Instant,
    work_ms: Option<u64>,
    save_bytes: usize,
    cpu: i64,
    mem_mb: i64,
    stopping_since: Option<Instant>,
}

impl Run {
    /// The last checkpoint; a new one is saved at each full `checkpoint_s` of work.
    fn checkpoint(&self) -> String {
        let saved = self.since.elapsed().as_millis() as u64 / CHECKPOINT_MS;
        match (self.save_bytes, saved) {
            (0, _) | (_, 0) => String::new(),
            (width, saved) => format!("{saved:0width$}"),
        }
    }
}

#[derive(Default)]
struct State {
    token: i64,
    lease_until_ms: i64,
    runs: BTreeMap<String, Run>,
    /// The highest run of each task that was stopped or has ended.
    highest: BTreeMap<String, i64>,
    finished: Vec<(i64, String, i64, &'static str, String)>,
    ends: i64,
}

struct Runner {
    settings: Settings,
    started: Instant,
    born_ms: u64,
    state: Mutex<State>,
    changed: Condvar,
    /// Odd while the runner is cut off; counts the cuts and their ends.
    cuts: AtomicU64,
}

impl Runner {
    fn clock_ms(&self) -> i64 {
        self.started.elapsed().as_millis() as i64
    }

    fn note(&self, text: &str) {
        record(&format!("runner {} {text}", self.settings.id));
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.ends += 1;
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run.number);
        state.finished.push((
            state.ends,
            task.to_owned(),
            run.number,
            how,
            run.checkpoint(),
        ));
        self.note(&format!(
            "END task={task} run={} how={how} end={}",
            run.number, state.ends
        ));
        self.changed.notify_all();
    }

    /// Ends what is due.
    fn advance(&self) {
        let mut state = self.state.lock().unwrap();
        let lapsed = !state.runs.is_empty() && self.clock_ms() > state.lease_until_ms;
        let mut ended = Vec::new();
        for (task, run) in &state.runs {
            let worked = run.since.elapsed().as_millis() as u64;
            let is_stopped = run
                .stopping_since
                .is_some_and(|at| at.elapsed().as_millis() as u64 >= self.settings.stop_ms);
            if lapsed {
                ended.push((task.clone(), "lapsed"));
            } else if is_stopped {
                ended.push((task.clone(), "stopped"));
            } else if run.work_ms.is_some_and(|work_ms| worked >= work_ms) {
                ended.push((task.clone(), "done"));
            }
        }
        for (task, how) in ended {
            self.end(&mut state, &task, how);
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        if request
            .header("Expect-Instance")
            .is_some_and(|id| id != self.settings.id)
        {
            return (421, "{}".into());
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        self.advance();
        match request.path.as_str() {
            "/-/run-start" => self.start(&body),
            "/-/run-stop" => self.stop(&body),
            "/-/hold" => self.hold(&body),
            "/-/pace" => self.pace(&body),
            _ => (404, "{}".into()),
        }
    }

    fn refused(&self, reason: &str) -> (u16, String) {
        (
            409,
            obj(vec![
                ("clock_ms", Json::Int(self.clock_ms())),
                ("reason", s(reason)),
            ])
            .to_string(),
        )
    }

    fn accepted(&self) -> (u16, String) {
        (
            200,
            obj(vec![
                ("clock_ms", Json::Int(self.clock_ms())),
                ("born", Json::Int(self.born_ms as i64)),
            ])
            .to_string(),
        )
    }

    fn is_fenced(&self, state: &mut State, body: &Json) -> bool {
        let token = body.int("fencing_token").unwrap_or(0);
        let is_fenced = token < state.token;
        state.token = state.token.max(token);
        is_fenced
    }

    fn extend_lease(&self, state: &mut State, deadline_ms: i64) {
        let limit_ms = self.clock_ms() + self.settings.hold_max_ms;
        state.lease_until_ms = state.lease_until_ms.max(deadline_ms.min(limit_ms));
    }

    fn start(&self, body: &Json) -> (u16, String) {
        let (Some(task), Some(number), Some(spec), Some(deadline_ms)) = (
            body.text("task"),
            body.int("run_id"),
            body.text("spec"),
            body.int("deadline_ms"),
        ) else {
            return (400, "{}".into());
        };
        let mut state = self.state.lock().unwrap();
        if self.is_fenced(&mut state, body) {
            return self.refused("fence");
        }
        if deadline_ms < self.clock_ms() {
            return self.refused("late");
        }
        self.extend_lease(&mut state, deadline_ms);
        if let Some(run) = state.runs.get(task) {
            return if run.number == number {
                self.accepted()
            } else {
                self.refused("old")
            };
        }
        if state
            .highest
            .get(task)
            .is_some_and(|highest| number <= *highest)
        {
            return self.refused("old");
        }
        let setting = |name: &str| {
            spec.split(' ')
                .find_map(|word| word.strip_prefix(name)?.parse::<i64>().ok())
        };
        let (cpu, mem_mb) = (setting("cpu=").unwrap_or(0), setting("mem=").unwrap_or(0));
        let used_cpu: i64 = state.runs.values().map(|run| run.cpu).sum();
        let used_mem: i64 = state.runs.values().map(|run| run.mem_mb).sum();
        if used_cpu + cpu > self.settings.cpu || used_mem + mem_mb > self.settings.mem_mb {
            return self.refused("room");
        }
        let run = Run {
            number,
            since: Instant::now(),
            work_ms: setting("work=").map(|ms| ms as u64),
            save_bytes: setting("save=").unwrap_or(0) as usize,
            cpu,
            mem_mb,
            stopping_since: None,
        };
        state.runs.insert(task.to_owned(), run);
        let lease_ms = state.lease_until_ms - self.clock_ms();
        self.note(&format!("START task={task} run={number} deadline_ms={deadline_ms} clock_ms={} lease_left_ms={lease_ms}", self.clock_ms()));
        self.accepted()
    }

    fn stop(&self, body: &Json) -> (u16, String) {
        let (Some(task), Some(number)) = (body.text("task"), body.int("run_id")) else {
            return (400, "{}".into());
        };
        let mut state = self.state.lock().unwrap();
        if self.is_fenced(&mut state, body) {
            return self.refused("fence");
        }
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(number);
        if let Some(run) = state.runs.get_mut(task).filter(|run| run.number <= number) {
            if run.stopping_since.is_none() {
                run.stopping_since = Some(Instant::now());
                self.note(&format!("STOP task={task} run={number}"));
            }
        }
        self.accepted()
    }

    fn pace(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        match self.is_fenced(&mut state, body) {
            true => self.refused("fence"),
            false => self.accepted(),
        }
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        if self.is_fenced(&mut state, body) {
            return self.refused("fence");
        }
        if let Some(deadline_ms) = body.int("deadline_ms") {
            self.extend_lease(&mut state, deadline_ms);
        }
        let ack = body.int("ack_cursor").unwrap_or(0);
        let before = state.finished.len();
        state.finished.retain(|end| end.0 > ack);
        if state.finished.len() != before {
            self.note(&format!("ACK up_to={ack}"));
        }
        let until = Instant::now()
            + Duration::from_millis(body.int("wait_ms").unwrap_or(0).clamp(0, 2_000) as u64);
        while state.finished.is_empty() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let running = state.runs.iter().map(|(task, run)| {
            let worked = run.since.elapsed().as_millis() as u64;
            let percent = run
                .work_ms
                .map_or(100, |work_ms| (worked * 100 / work_ms.max(1)).min(99));
            Json::Arr(vec![
                s(task.clone()),
                Json::Int(run.number),
                s(run.checkpoint()),
                Json::Int(percent as i64),
                Json::Int(run.cpu),
            ])
        });
        let running = running.collect();
        let finished =
            state
                .finished
                .iter()
                .take(MAX_LISTED_ENDS)
                .map(|(end, task, number, how, saved)| {
                    Json::Arr(vec![
                        Json::Int(*end),
                        s(task.clone()),
                        Json::Int(*number),
                        s(*how),
                        s(saved.clone()),
                    ])
                });
        let finished = finished.collect();
        let body = obj(vec![
            ("clock_ms", Json::Int(self.clock_ms())),
            ("born", Json::Int(self.born_ms as i64)),
            ("running", Json::Arr(running)),
            ("finished", Json::Arr(finished)),
        ]);
        (200, body.to_string())
    }

    fn beat(&self, sequence: i64) {
        let settings = &self.settings;
        let labels = settings
            .labels
            .iter()
            .map(|label| s(label.clone()))
            .collect();
        let entry = obj(vec![
            ("service", s(settings.service.clone())),
            ("address", s(format!("127.0.0.1:{}", settings.port))),
            ("zone", s(settings.zone.clone())),
            ("version", s("v1")),
            ("slots", Json::Int(8)),
            ("state", s("ready")),
            ("cold_left_ms", Json::Int(0)),
            (
                "capacity",
                obj(vec![
                    ("cpu", Json::Int(settings.cpu)),
                    ("mem_mb", Json::Int(settings.mem_mb)),
                    ("gpu", Json::Int(0)),
                ]),
            ),
            ("labels", Json::Arr(labels)),
            ("clock_ms", Json::Int(self.clock_ms())),
            ("born", Json::Int(self.born_ms as i64)),
            ("sequence", Json::Int(sequence)),
        ]);
        let path = format!("/standin/beat?id={}", settings.id);
        call(
            &settings.store,
            "POST",
            &path,
            &[],
            &entry.to_string(),
            1_000,
        );
    }

    /// Leaves a call unanswered and carries it out later.
    fn carry_out_late(self: &Arc<Self>, request: Request) {
        self.note(&format!("LATE {} {}", request.path, request.body));
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(LATENESS_MS));
            runner.answer(&request);
        });
    }

    /// Serves a connection. What arrives during a cut is neither carried out nor answered, and
    /// the connection ends with the cut.
    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let cuts = self.cuts.load(Ordering::SeqCst);
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let is_whole = || cuts % 2 == 0 && self.cuts.load(Ordering::SeqCst) == cuts;
        while let Some(request) = read_request(&mut reader) {
            if !is_whole() {
                break;
            }
            let is_late = self.clock_ms() < self.settings.late_holds_ms as i64;
            if is_late && request.path == "/-/hold" {
                self.carry_out_late(request);
                continue;
            }
            let (status, body) = self.answer(&request);
            if !is_whole() || !write_response(&mut stream, status, &body) {
                break;
            }
        }
        while !is_whole() && self.cuts.load(Ordering::SeqCst) % 2 == 1 {
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Runs a runner for good. Lines on standard input cut it off from the machines of the system
/// (`cut`) and end that (`heal`).
pub fn run(settings: Settings) {
    let listener = TcpListener::bind(("127.0.0.1", settings.port)).expect("port of the runner");
    let runner = Arc::new(Runner {
        settings,
        started: Instant::now(),
        born_ms: unix_ms(),
        state: Mutex::default(),
        changed: Condvar::new(),
        cuts: AtomicU64::new(0),
    });
    runner.note(&format!("UP born_ms={}", runner.born_ms));
    let beating = runner.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            beating.beat(sequence);
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    });
    let advancing = runner.clone();
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(5));
        advancing.advance();
    });
    let controlled = runner.clone();
    thread::spawn(move || {
        for line in std::io::stdin().lines() {
            let is_cut = controlled.cuts.load(Ordering::SeqCst) % 2 == 1;
            match line.as_deref() {
                Ok("cut") if !is_cut => controlled.note("CUT from the machines of the system"),
                Ok("heal") if is_cut => controlled.note("HEALED"),
                Ok(_) => continue,
                Err(_) => break,
            }
            controlled.cuts.fetch_add(1, Ordering::SeqCst);
        }
        // The script that started this process has ended.
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let serving = runner.clone();
        thread::spawn(move || serving.serve(stream));
    }
}
