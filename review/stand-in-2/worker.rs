//! A stand-in of a runner.
//!
//! The text of a task tells how long it takes (`ms=`; 0 if it lasts) and what it needs (`cpu=`).

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request, ok, serve};
use crate::json::{Json, quote};
use crate::record::{Record, RunEvent};
use crate::store::Store;

pub const HEARTBEAT_MS: u64 = 1_500;
pub const HOLD_MAX_MS: u64 = 6_000;
const STOP_MS: u64 = 50;
const LISTED_ENDS: usize = 500;

/// How a worker treats a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Treatment {
    /// It carries the call out and answers.
    Normal,
    /// It does not answer, and carries the call out later, in milliseconds.
    Late(u64),
    /// The call is lost.
    Lost,
}

type Treat = Box<dyn Fn(&str, &Json) -> Treatment + Send + Sync>;

struct Run {
    number: u64,
    began: Instant,
    duration: Option<Duration>,
    cpu: u64,
    stop_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// One life of the worker.
struct Life {
    number: u64,
    born_ms: u64,
    began: Instant,
    token: u64,
    lease_until: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_end: u64,
    highest: BTreeMap<String, u64>,
}

impl Life {
    fn new(number: u64) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            number,
            born_ms: unix.as_millis() as u64,
            began: Instant::now(),
            token: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            highest: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

struct State {
    life: Option<Life>,
    lives: u64,
    draining: bool,
    sequence: u64,
}

struct Inner {
    id: String,
    address: String,
    service: String,
    zone: String,
    cpu: u64,
    store: Store,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
    treat: Mutex<Treat>,
}

/// A stand-in of a runner; clones share it.
#[derive(Clone)]
pub struct Worker {
    inner: Arc<Inner>,
}

fn number_in(spec: &str, key: &str) -> Option<u64> {
    let mut parts = spec.split(';');
    parts.find_map(|part| part.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
}

impl Worker {
    /// Starts a worker on a free port, which registers itself.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        cpu: u64,
        store: &Store,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let state = State {
            life: Some(Life::new(1)),
            lives: 1,
            draining: false,
            sequence: 0,
        };
        let inner = Inner {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            cpu,
            store: store.clone(),
            record: record.clone(),
            state: Mutex::new(state),
            changed: Condvar::new(),
            treat: Mutex::new(Box::new(|_, _| Treatment::Normal)),
        };
        let worker = Self {
            inner: Arc::new(inner),
        };
        let server = worker.clone();
        serve(listener, move |request| server.handle(&request));
        worker.register();
        let clock = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                clock.advance();
            }
        });
        let heart = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
                heart.register();
            }
        });
        worker
    }

    pub fn id(&self) -> &str {
        &self.inner.id
    }

    /// Sets how the worker treats the calls from now on.
    pub fn treat(&self, treat: impl Fn(&str, &Json) -> Treatment + Send + Sync + 'static) {
        *self.inner.treat.lock().expect("the treatment") = Box::new(treat);
    }

    /// Reports that the worker drains.
    pub fn drain(&self) {
        self.inner.state.lock().expect("the state").draining = true;
        self.register();
        let line = format!(
            "worker {}: the store has its report that it drains",
            self.id()
        );
        self.inner.record.line(line);
    }

    /// Ends the present life; calls get no answer until the next one.
    pub fn crash(&self) {
        let mut state = self.inner.state.lock().expect("the state");
        if let Some(life) = state.life.take() {
            for (task, run) in &life.runs {
                self.log(&life, task, run.number, Some("lost in a crash"), false);
            }
            self.inner
                .record
                .line(format!("worker {}: crashes", self.id()));
        }
        self.inner.changed.notify_all();
    }

    /// Begins a new life under the same id.
    pub fn restart(&self) {
        let mut state = self.inner.state.lock().expect("the state");
        state.lives += 1;
        let life = Life::new(state.lives);
        self.inner.record.line(format!(
            "worker {}: starts again, born {}",
            self.id(),
            life.born_ms
        ));
        state.life = Some(life);
    }

    /// Writes the registration, as each heartbeat does.
    pub fn register(&self) {
        let entry = {
            let mut state = self.inner.state.lock().expect("the state");
            state.sequence += 1;
            let Some(life) = state.life.as_ref() else {
                return;
            };
            let (name, left) = match state.draining {
                true => ("draining", ",\"remaining_ms\":8000"),
                false => ("ready", ""),
            };
            format!(
                "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"{name}\"{left},\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":65536,\"gpu\":0}},\"labels\":[\"a\",\"r1\"],\"clock_ms\":{},\"sequence\":{},\"born\":{}}}",
                quote(&self.inner.service),
                quote(&self.inner.address),
                quote(&self.inner.zone),
                self.inner.cpu,
                life.clock_ms(),
                state.sequence,
                life.born_ms,
            )
        };
        self.inner
            .store
            .put(&format!("servers/{}", self.inner.id), &entry);
    }

    fn log(&self, life: &Life, task: &str, run: u64, end: Option<&str>, is_late: bool) {
        self.inner.record.run(RunEvent {
            at_ms: self.inner.record.now_ms(),
            worker: self.inner.id.clone(),
            life: life.number,
            task: task.to_owned(),
            run,
            spec: String::new(),
            checkpoint: String::new(),
            end: end.map(str::to_owned),
            is_late,
        });
    }

    /// Ends the runs whose time has come.
    fn advance(&self) {
        let mut state = self.inner.state.lock().expect("the state");
        let Some(life) = state.life.as_mut() else {
            return;
        };
        let has_lapsed = life.clock_ms() > life.lease_until;
        let how = |run: &Run| {
            if run.stop_at.is_some_and(|at| at <= Instant::now()) {
                Some("stopped")
            } else if run
                .duration
                .is_some_and(|duration| run.began.elapsed() >= duration)
            {
                Some("done")
            } else {
                has_lapsed.then_some("lapsed")
            }
        };
        let ended: Vec<(String, u64, &str)> = life
            .runs
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), run.number, how(run)?)))
            .collect();
        for (task, number, how) in &ended {
            life.runs.remove(task);
            life.last_end += 1;
            life.ends.push(End {
                number: life.last_end,
                task: task.clone(),
                run: *number,
                how,
            });
            let highest = life.highest.entry(task.clone()).or_default();
            *highest = (*highest).max(*number);
        }
        if !ended.is_empty() {
            let life = state.life.as_ref().expect("the present life");
            for (task, number, how) in &ended {
                self.log(life, task, *number, Some(how), false);
            }
            self.inner.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".into());
        };
        if self.inner.state.lock().expect("the state").life.is_none() {
            return Reply::Silent;
        }
        let expected = request.headers.get("expect-instance");
        if expected.is_some_and(|id| *id != self.inner.id) {
            return Reply::Answer(421, "{}".into());
        }
        let treatment = (self.inner.treat.lock().expect("the treatment"))(&request.path, &body);
        match treatment {
            Treatment::Normal => self.carry_out(&request.path, &body, false),
            Treatment::Lost => Reply::Silent,
            Treatment::Late(delay_ms) => {
                self.inner.record.line(format!(
                    "worker {}: {} {body} gets no answer, and is carried out {delay_ms} ms later",
                    self.id(),
                    request.path
                ));
                let (worker, path) = (self.clone(), request.path.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(delay_ms));
                    if let Reply::Answer(status, _) = worker.carry_out(&path, &body, true) {
                        worker.inner.record.line(format!(
                            "worker {}: late {path} {body}: {status}",
                            worker.id()
                        ));
                    }
                });
                Reply::Silent
            }
        }
    }

    fn carry_out(&self, path: &str, body: &Json, is_late: bool) -> Reply {
        let mut state = self.inner.state.lock().expect("the state");
        let Some(life) = state.life.as_mut() else {
            return Reply::Silent;
        };
        let clock = life.clock_ms();
        let token = body.u64("fencing_token").unwrap_or(0);
        let refusal = |reason: &str| {
            Reply::Answer(
                409,
                format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"),
            )
        };
        if token < life.token {
            return refusal("fence");
        }
        life.token = token;
        let deadline = body
            .u64("deadline_ms")
            .unwrap_or(0)
            .min(clock + HOLD_MAX_MS);
        let task = body.text("task").unwrap_or_default().to_owned();
        let number = body.u64("run_id").unwrap_or(0);
        let done = ok(format!("{{\"clock_ms\":{clock}}}"));
        match path {
            "/-/run-start" => {
                if deadline <= clock {
                    return refusal("late");
                }
                life.lease_until = life.lease_until.max(deadline);
                if life.runs.get(&task).is_some_and(|run| run.number == number) {
                    return done;
                }
                if life
                    .highest
                    .get(&task)
                    .is_some_and(|highest| number <= *highest)
                {
                    return refusal("old");
                }
                let spec = body.text("spec").unwrap_or_default();
                let cpu = number_in(spec, "cpu").unwrap_or(1_000);
                let used: u64 = life.runs.values().map(|run| run.cpu).sum();
                if used + cpu > self.inner.cpu {
                    return refusal("room");
                }
                let duration = number_in(spec, "ms").unwrap_or(500);
                let duration = (duration > 0).then(|| Duration::from_millis(duration));
                let began = Instant::now();
                life.runs.insert(
                    task.clone(),
                    Run {
                        number,
                        began,
                        duration,
                        cpu,
                        stop_at: None,
                    },
                );
                let life = state.life.as_ref().expect("the present life");
                self.log(life, &task, number, None, is_late);
                done
            }
            "/-/run-stop" => {
                match life.runs.get_mut(&task) {
                    Some(run) if run.number <= number => {
                        let at = Instant::now() + Duration::from_millis(STOP_MS);
                        run.stop_at.get_or_insert(at);
                    }
                    _ => {
                        let highest = life.highest.entry(task).or_default();
                        *highest = (*highest).max(number);
                    }
                }
                done
            }
            "/-/pace" => done,
            "/-/hold" => {
                life.lease_until = life.lease_until.max(deadline);
                let cursor = body.u64("ack_cursor").unwrap_or(0);
                for end in life.ends.iter().filter(|end| end.number <= cursor) {
                    self.inner
                        .record
                        .noted(&self.inner.id, life.number, &end.task, end.run);
                }
                life.ends.retain(|end| end.number > cursor);
                let lives = life.number;
                let ends = Instant::now() + Duration::from_millis(body.u64("wait_ms").unwrap_or(0));
                loop {
                    let Some(life) = state.life.as_ref().filter(|life| life.number == lives) else {
                        return Reply::Silent;
                    };
                    let now = Instant::now();
                    if is_late || !life.ends.is_empty() || now >= ends {
                        return ok(listing(life));
                    }
                    state = self
                        .inner
                        .changed
                        .wait_timeout(state, ends - now)
                        .expect("the state")
                        .0;
                }
            }
            _ => Reply::Answer(404, "{}".into()),
        }
    }
}

fn listing(life: &Life) -> String {
    let running = life.runs.iter().map(|(task, run)| {
        let percent = match run.duration {
            Some(duration) => run.began.elapsed().as_millis() * 100 / duration.as_millis().max(1),
            None => 100,
        };
        format!(
            "[{},{},\"\",{},{}]",
            quote(task),
            run.number,
            percent.min(99),
            run.cpu
        )
    });
    let running: Vec<String> = running.collect();
    let ends = life.ends.iter().take(LISTED_ENDS);
    let ends = ends.map(|end| {
        format!(
            "[{},{},{},\"{}\",\"\"]",
            end.number,
            quote(&end.task),
            end.run,
            end.how
        )
    });
    let ends: Vec<String> = ends.collect();
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        life.clock_ms(),
        life.born_ms,
        running.join(","),
        ends.join(",")
    )
}
