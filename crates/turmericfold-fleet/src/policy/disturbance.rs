//! How much fillers of one image raise the tails of tasks of another.
//!
//! Answers the load of batch work beside tasks with a latency target: which
//! fillers may go fast where is learned within seconds from rough figures.

use std::collections::BTreeMap;

use ecow::EcoString;
use serde::{Deserialize, Serialize};

/// The effect assumed of a pair that was not observed yet, in milliseconds for a
/// filler that uses the whole worker, as a multiple of the latency target.
const UNKNOWN_EFFECT_PER_TARGET: f64 = 4.0;

/// The share of an error that one observation corrects.
const LEARNING_RATE: f64 = 0.25;

/// The input of the tail that does not come from fillers, as a share of a worker;
/// small, so that most of an error goes to the fillers.
const BASE_INPUT: f64 = 0.25;

/// The power of the inputs below which an observation says little of the fillers.
const LEAST_POWER: f64 = 0.02;

/// The observations after which an estimate is no longer mostly its first guess.
const SETTLED_OBSERVATIONS: f64 = 8.0;

/// The most observations that count, so that changes are followed.
const MOST_OBSERVATIONS: f64 = 60.0;

/// What is known of one pair of images.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PairEffect {
    /// By how much the tail rises, in milliseconds, for a whole worker of fillers.
    pub effect_ms: f64,
    /// How many observations stand behind it.
    pub observations: f64,
}

/// An estimate as processes pass it on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EffectRow {
    /// The image of the tasks with a latency target.
    pub serving: EcoString,
    /// The image of the fillers.
    pub filler: EcoString,
    /// What is known.
    pub effect: PairEffect,
}

/// The processor time that fillers of one image used on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct FillerUse {
    /// The image.
    pub image: EcoString,
    /// The share of the worker, from 0 to 1.
    pub share: f64,
}

/// The tail of one task with a latency target, and what ran beside it.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'look> {
    /// The image of the task.
    pub serving: &'look EcoString,
    /// Its latency target, in milliseconds.
    pub target_ms: f64,
    /// Its tail, in milliseconds.
    pub tail_ms: f64,
    /// The fillers beside it.
    pub fillers: &'look [FillerUse],
}

#[derive(Debug, Clone, Default)]
struct Serving {
    base_ms: f64,
    by_filler: BTreeMap<EcoString, PairEffect>,
}

/// Learns how much fillers of one image raise the tails of tasks of another.
///
/// The tail is taken as a base and the sum of (effect x share of the worker); each
/// error is spread over its inputs (normalised least mean squares).
#[derive(Debug, Clone, Default)]
pub struct Disturbance {
    serving: BTreeMap<EcoString, Serving>,
}

impl Disturbance {
    /// Takes an observation.
    pub fn observe(&mut self, observation: Observation<'_>) {
        let unknown_ms = observation.target_ms * UNKNOWN_EFFECT_PER_TARGET;
        let serving = self.serving.entry(observation.serving.clone()).or_default();
        let power = BASE_INPUT * BASE_INPUT
            + observation
                .fillers
                .iter()
                .map(|filler| filler.share * filler.share)
                .sum::<f64>();
        let mut predicted_ms = serving.base_ms;
        for filler in observation.fillers {
            let effect = serving
                .by_filler
                .entry(filler.image.clone())
                .or_insert(PairEffect {
                    effect_ms: unknown_ms,
                    observations: 0.0,
                });
            predicted_ms += effect.effect_ms * filler.share;
        }
        let error_ms = (observation.tail_ms - predicted_ms)
            .clamp(-observation.target_ms, observation.target_ms);
        let step = LEARNING_RATE * error_ms / power.max(LEAST_POWER);
        let base_ms = serving.base_ms + step * BASE_INPUT * BASE_INPUT;
        serving.base_ms = base_ms.clamp(0.0, observation.target_ms);
        for filler in observation.fillers {
            if let Some(effect) = serving.by_filler.get_mut(&filler.image) {
                let weight = filler.share * filler.share / power;
                effect.effect_ms = (effect.effect_ms + step * filler.share).max(0.0);
                effect.observations = (effect.observations + weight).min(MOST_OBSERVATIONS);
            }
        }
    }

    /// Returns by how much a whole worker of fillers raises the tail, in milliseconds.
    pub fn effect_ms(&self, serving: &EcoString, filler: &EcoString, target_ms: f64) -> f64 {
        let unknown_ms = target_ms * UNKNOWN_EFFECT_PER_TARGET;
        let known = self
            .serving
            .get(serving)
            .and_then(|serving| serving.by_filler.get(filler));
        let Some(effect) = known else {
            return unknown_ms;
        };
        let trust = (effect.observations / SETTLED_OBSERVATIONS).min(1.0);
        effect.effect_ms * trust + unknown_ms * (1.0 - trust)
    }

    /// Returns all estimates, to be passed on.
    pub fn rows(&self) -> Vec<EffectRow> {
        let rows = self.serving.iter().flat_map(|(image, serving)| {
            serving.by_filler.iter().map(|(filler, effect)| EffectRow {
                serving: image.clone(),
                filler: filler.clone(),
                effect: *effect,
            })
        });
        rows.collect()
    }

    /// Takes the estimates of a peer where more observations stand behind them.
    pub fn merge(&mut self, rows: &[EffectRow]) {
        for row in rows {
            let serving = self.serving.entry(row.serving.clone()).or_default();
            let own = serving.by_filler.entry(row.filler.clone()).or_default();
            if own.observations < row.effect.observations {
                *own = row.effect;
            }
        }
    }
}
