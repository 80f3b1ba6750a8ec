//! A runner: it starts, stops and lists tasks, and holds them under one lease.
//!
//! The text of a job tells what a task of it needs: `MILLISECONDS/MILLICORES`, with `/serves` for a task that
//! lasts and has a target, and `/fills` for one that takes what others leave.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request, serve};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

/// The longest lease that a runner grants.
pub const HOLD_MAX_MS: u64 = 6_000;

const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The time that a stop takes.
const STOP_MS: u64 = 50;

/// The tail of the response times of a task with a target.
const TAIL_MS: u64 = 5;

/// The time for which a call without an answer is left open.
const SILENCE: Duration = Duration::from_millis(2_500);

/// The reading of the clock of a runner when a case begins: it has been up for a while.
const FIRST_CLOCK_MS: u64 = 600_000;

/// The most ends in one list.
const LISTED_ENDS: usize = 500;

pub struct Kind {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub millicores: u64,
}

#[derive(Clone)]
struct Run {
    task: String,
    number: u64,
    /// What counts against the capacity.
    millicores: u64,
    /// What it uses, as measured.
    used_millicores: u64,
    serves: bool,
    work_ms: u64,
    started_at: Instant,
    stops_at: Option<Instant>,
}

struct State {
    token: u64,
    deadline_ms: u64,
    runs: Vec<Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    ended: BTreeMap<String, u64>,
    /// The tasks that have ended `done`.
    done: BTreeSet<String>,
}

/// A life of the runner.
#[derive(Clone, Copy)]
struct Life {
    born_ms: u64,
    /// The reading of its clock at `began_at`.
    first_clock_ms: u64,
    began_at: Instant,
}

impl Life {
    fn new(first_clock_ms: u64) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born_ms = born.map_or(0, |at| at.as_millis() as u64) - first_clock_ms;
        Self {
            born_ms,
            first_clock_ms,
            began_at: Instant::now(),
        }
    }
}

struct Shared {
    kind: Kind,
    life: Mutex<Life>,
    /// Until when no call reaches the runner, and it reaches nobody.
    cut_until: Mutex<Option<Instant>>,
    /// How late the next starts of a job are carried out, which get no answer.
    late_starts: Mutex<Option<LateStarts>>,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
}

/// The start calls of a job that get no answer and are carried out late.
struct LateStarts {
    job: String,
    delay: Duration,
    ends_at: Instant,
    /// Whether one has been left without an answer.
    has_begun: bool,
}

impl State {
    fn new() -> Self {
        Self {
            token: 0,
            deadline_ms: 0,
            runs: Vec::new(),
            finished: Vec::new(),
            last_end: 0,
            ended: BTreeMap::new(),
            done: BTreeSet::new(),
        }
    }
}

#[derive(Clone)]
pub struct Runner {
    shared: Arc<Shared>,
}

impl Runner {
    pub fn start(kind: Kind, store: &Store, record: &Arc<Record>) -> Self {
        let shared = Arc::new(Shared {
            kind,
            life: Mutex::new(Life::new(FIRST_CLOCK_MS)),
            cut_until: Mutex::new(None),
            late_starts: Mutex::new(None),
            record: Arc::clone(record),
            state: Mutex::new(State::new()),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&shared);
        let address = serve(move |request| Shared::answer(&served, request));
        let worked = Arc::clone(&shared);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                worked.work();
            }
        });
        let registered = Arc::clone(&shared);
        let store = store.clone();
        std::thread::spawn(move || {
            for sequence in 1.. {
                let key = format!("servers/{}", registered.kind.id);
                if !registered.is_cut() {
                    store.put(&key, &registered.entry(address, sequence));
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        Self { shared }
    }

    /// Returns the number of the tasks of a job that have ended `done` here.
    pub fn done(&self, job: &str) -> usize {
        let state = self.shared.lock();
        state
            .done
            .iter()
            .filter(|task| task.starts_with(job))
            .count()
    }

    pub fn service(&self) -> &str {
        &self.shared.kind.service
    }

    pub fn id(&self) -> &str {
        &self.shared.kind.id
    }

    /// Returns the tasks of a job that run here, with the numbers of their runs.
    pub fn runs(&self, job: &str) -> Vec<(String, u64)> {
        let state = self.shared.lock();
        let of_job = state.runs.iter().filter(|run| run.task.starts_with(job));
        of_job.map(|run| (run.task.clone(), run.number)).collect()
    }

    /// Leaves the starts of a job without an answer for a while, and carries each out `delay` later.
    pub fn carry_out_late(&self, job: &str, delay: Duration, lasting: Duration) {
        let late = LateStarts {
            job: job.to_owned(),
            delay,
            ends_at: Instant::now() + lasting,
            has_begun: false,
        };
        *lock(&self.shared.late_starts) = Some(late);
    }

    /// Returns whether a start has been left without an answer.
    pub fn has_late_start(&self) -> bool {
        lock(&self.shared.late_starts)
            .as_ref()
            .is_some_and(|late| late.has_begun)
    }

    /// Answers all starts from now on.
    pub fn answer_starts(&self) {
        *lock(&self.shared.late_starts) = None;
    }

    /// Crashes and starts again at once under the same id, cut off from all machines and the store for a while.
    pub fn crash_behind_cut(&self, cut: Duration) {
        *lock(&self.shared.cut_until) = Some(Instant::now() + cut);
        let mut state = self.shared.lock();
        *state = State::new();
        *lock(&self.shared.life) = Life::new(0);
        let id = &self.shared.kind.id;
        self.shared.record.line(&format!(
            "{id}: crashes, starts again and is cut off for {} ms",
            cut.as_millis()
        ));
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

impl State {
    fn used(&self) -> u64 {
        self.runs.iter().map(|run| run.millicores).sum()
    }

    fn end(&mut self, run: &Run, how: &'static str) {
        self.runs
            .retain(|it| (&it.task, it.number) != (&run.task, run.number));
        self.last_end += 1;
        self.finished
            .push((self.last_end, run.task.clone(), run.number, how));
        self.note_ended(&run.task, run.number);
        if how == "done" {
            self.done.insert(run.task.clone());
        }
    }

    fn note_ended(&mut self, task: &str, number: u64) {
        let highest = self.ended.entry(task.to_owned()).or_default();
        *highest = (*highest).max(number);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn clock_ms(&self) -> u64 {
        let life = *lock(&self.life);
        life.first_clock_ms + life.began_at.elapsed().as_millis() as u64
    }

    fn born_ms(&self) -> u64 {
        lock(&self.life).born_ms
    }

    fn is_cut(&self) -> bool {
        lock(&self.cut_until).is_some_and(|until| Instant::now() < until)
    }

    /// Returns how late a call is carried out that gets no answer, if it is one.
    fn late_by(&self, request: &Request, body: &Json) -> Option<Duration> {
        let mut late = lock(&self.late_starts);
        let late = late.as_mut()?;
        let task = body.text("task")?;
        let is_late = request.path() == "/-/run-start"
            && task.starts_with(&late.job)
            && Instant::now() < late.ends_at;
        late.has_begun |= is_late;
        is_late.then_some(late.delay)
    }

    fn entry(&self, address: SocketAddr, sequence: u64) -> String {
        let Kind {
            service,
            zone,
            millicores,
            ..
        } = &self.kind;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{millicores},\"mem_mb\":64000,\"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\"born\":{},\"clock_ms\":{},\"sequence\":{sequence}}}",
            self.born_ms(),
            self.clock_ms()
        )
    }

    /// Ends the runs whose work is done, that are stopped, or whose lease has expired.
    fn work(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let has_lapsed = self.clock_ms() >= state.deadline_ms;
        for run in state.runs.clone() {
            let is_done = now.duration_since(run.started_at).as_millis() as u64 >= run.work_ms;
            let is_stopped = run.stops_at.is_some_and(|at| at <= now);
            let how = match (has_lapsed, is_stopped, is_done) {
                (true, _, _) => "lapsed",
                (_, true, _) => "stopped",
                (_, _, true) => "done",
                _ => continue,
            };
            state.end(&run, how);
            self.record.line(&format!(
                "{}: {} run {} has ended: {how}",
                self.kind.id, run.task, run.number
            ));
        }
        self.changed.notify_all();
    }

    fn answer(shared: &Arc<Self>, request: &Request) -> Reply {
        if shared.is_cut() {
            std::thread::sleep(SILENCE);
            return None;
        }
        let expected = request.header("expect-instance");
        if expected.is_some_and(|id| id != shared.kind.id) {
            return Some((421, "{}".to_owned()));
        }
        let Some(body) = Json::parse(&request.body) else {
            return Some((400, "{}".to_owned()));
        };
        if let Some(delay) = shared.late_by(request, &body) {
            let (task, number) = (body.text("task")?, body.number("run_id")?);
            shared.record.line(&format!(
                "{}: start of {task} run {number} gets no answer",
                shared.kind.id
            ));
            let shared = Arc::clone(shared);
            let path = request.path().to_owned();
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                let reply = shared.carry_out(&path, &body);
                let id = &shared.kind.id;
                shared.record.line(&format!(
                    "{id}: late start of {task} run {number} carried out: {reply:?}"
                ));
            });
            std::thread::sleep(SILENCE);
            return None;
        }
        let reply = shared.carry_out(request.path(), &body);
        if shared.is_cut() {
            std::thread::sleep(SILENCE);
            return None;
        }
        reply
    }

    fn carry_out(&self, path: &str, body: &Json) -> Reply {
        let token = body.number("fencing_token").unwrap_or(0);
        let mut state = self.lock();
        if token < state.token {
            return self.refuse("fence");
        }
        state.token = token;
        match path {
            "/-/run-start" => self.start_run(&mut state, body),
            "/-/run-stop" => self.stop_run(&mut state, body),
            "/-/pace" => self.accept(),
            "/-/hold" => self.hold(state, body),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn accept(&self) -> Reply {
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{}}}",
            self.clock_ms(),
            self.born_ms()
        );
        Some((200, body))
    }

    fn refuse(&self, reason: &str) -> Reply {
        let clock_ms = self.clock_ms();
        Some((
            409,
            format!(
                "{{\"clock_ms\":{clock_ms},\"born\":{},\"reason\":\"{reason}\"}}",
                self.born_ms()
            ),
        ))
    }

    fn extend_lease(&self, state: &mut State, body: &Json) {
        if let Some(deadline_ms) = body.number("deadline_ms") {
            let longest_ms = self.clock_ms() + HOLD_MAX_MS;
            state.deadline_ms = state.deadline_ms.max(deadline_ms.min(longest_ms));
        }
    }

    fn start_run(&self, state: &mut State, body: &Json) -> Reply {
        let (task, number) = (body.text("task")?, body.number("run_id")?);
        let spec = body.text("spec")?;
        let mut parts = spec.split('/');
        let (work_ms, used_millicores) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
        let kind = parts.next().unwrap_or_default();
        let millicores = if kind == "fills" { 0 } else { used_millicores };
        let serves = kind == "serves";
        let is_there = |run: &Run| run.task == task && run.number == number;
        if state.runs.iter().any(is_there) {
            self.extend_lease(state, body);
            return self.accept();
        }
        if state
            .ended
            .get(&task)
            .is_some_and(|highest| number <= *highest)
        {
            self.extend_lease(state, body);
            return self.refuse("old");
        }
        if body.number("deadline_ms")? <= self.clock_ms() {
            return self.refuse("late");
        }
        self.extend_lease(state, body);
        if state.used() + millicores > self.kind.millicores {
            return self.refuse("room");
        }
        self.record
            .line(&format!("{}: {task} run {number} starts", self.kind.id));
        let started_at = Instant::now();
        state.runs.push(Run {
            task,
            number,
            millicores,
            used_millicores,
            serves,
            work_ms,
            started_at,
            stops_at: None,
        });
        self.accept()
    }

    fn stop_run(&self, state: &mut State, body: &Json) -> Reply {
        let (task, number) = (body.text("task")?, body.number("run_id")?);
        let running = state
            .runs
            .iter_mut()
            .find(|run| run.task == task && run.number == number);
        if let Some(run) = running {
            let stops_at = Instant::now() + Duration::from_millis(STOP_MS);
            run.stops_at.get_or_insert(stops_at);
        } else {
            state.note_ended(&task, number);
        }
        self.accept()
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Reply {
        let acknowledged = body.number("ack_cursor").unwrap_or(0);
        state.finished.retain(|(end, _, _, _)| *end > acknowledged);
        self.extend_lease(&mut state, body);
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
        let ends_at = Instant::now() + wait;
        while state.finished.is_empty() {
            let left = ends_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(|error| error.into_inner())
                .0;
        }
        let running: Vec<String> = state.runs.iter().map(|run| self.running_row(run)).collect();
        let finished = state.finished.iter().take(LISTED_ENDS);
        let finished: Vec<String> = finished
            .map(|(end, task, number, how)| {
                format!("[{end},{},{number},\"{how}\",\"\"]", quote(task))
            })
            .collect();
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock_ms(),
            self.born_ms(),
            running.join(","),
            finished.join(",")
        );
        Some((200, body))
    }

    fn running_row(&self, run: &Run) -> String {
        let ran_ms = run.started_at.elapsed().as_millis() as u64;
        let (percent, measured) = match run.serves {
            true => (100, TAIL_MS),
            false => (
                (ran_ms * 100 / run.work_ms.max(1)).min(99),
                run.used_millicores,
            ),
        };
        format!(
            "[{},{},\"\",{percent},{measured}]",
            quote(&run.task),
            run.number
        )
    }
}
