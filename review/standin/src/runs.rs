//! What the runners ran, from the record.

use std::collections::BTreeSet;
use std::fs;

/// A run of a task on a runner, from its start to its end, in Unix milliseconds.
#[derive(Debug, Clone)]
pub struct Interval {
    pub runner: String,
    pub run: String,
    pub from: u64,
    pub until: Option<u64>,
}

fn read_record() -> String {
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
    fs::read_to_string(path).unwrap_or_default()
}

/// Returns all tasks that have run.
pub fn tasks() -> BTreeSet<String> {
    let text = read_record();
    let words = text
        .split_whitespace()
        .filter_map(|word| word.strip_prefix("task="));
    words.map(str::to_owned).collect()
}

/// Returns the runs of a task. A killed runner runs nothing any more.
pub fn runs_of(task: &str) -> Vec<Interval> {
    let text = read_record();
    let mut runs: Vec<Interval> = Vec::new();
    for line in text.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let [at, "runner", runner, what, rest @ ..] = words.as_slice() else {
            let [at, "script", "KILLED", "runner", runner] = words.as_slice() else {
                continue;
            };
            for run in runs
                .iter_mut()
                .filter(|run| run.runner == *runner && run.until.is_none())
            {
                run.until = at.parse().ok();
            }
            continue;
        };
        if !rest.contains(&format!("task={task}").as_str()) {
            continue;
        }
        let number = rest
            .iter()
            .find_map(|word| word.strip_prefix("run="))
            .unwrap_or_default();
        let at: u64 = at.parse().unwrap_or(0);
        match *what {
            "START" => runs.push(Interval {
                runner: (*runner).to_owned(),
                run: number.to_owned(),
                from: at,
                until: None,
            }),
            "END" => {
                let known = runs
                    .iter_mut()
                    .rev()
                    .find(|run| run.runner == *runner && run.run == number);
                if let Some(run) = known {
                    run.until = Some(at);
                }
            }
            _ => {}
        }
    }
    runs
}

/// Returns two runs of a task at the same time, if there are any.
pub fn overlap(runs: &[Interval]) -> Option<String> {
    for (index, first) in runs.iter().enumerate() {
        for second in &runs[index + 1..] {
            let until = first
                .until
                .unwrap_or(u64::MAX)
                .min(second.until.unwrap_or(u64::MAX));
            let from = first.from.max(second.from);
            if from < until {
                let ms = until.saturating_sub(from);
                return Some(format!(
                    "runs {} on {} and {} on {} at the same time for {ms} ms",
                    first.run, first.runner, second.run, second.runner
                ));
            }
        }
    }
    None
}
