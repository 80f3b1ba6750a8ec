//! How much fillers of one image disturb tasks of another.
//!
//! Answers the load of batch work beside tasks with a latency target: which
//! fillers may go fast where is learned within seconds from rough figures.
//!
//! A task's *slack* is its latency target over its tail. As with a queue, the tail
//! grows with 1 / (1 - load), so the slack falls linearly with the load that
//! fillers add. An *effect* is the slack that a whole worker of fillers takes.

use std::collections::BTreeMap;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::ProcessId;

/// The effect assumed of a pair that was not observed yet: between that of images
/// that hardly disturb and of those that do.
const UNKNOWN_EFFECT: f64 = 3.0;

/// The weight of the assumption, in squared shares of a worker: some ten
/// observations of a filler that uses a fifteenth of it.
const UNKNOWN_WEIGHT: f64 = 0.05;

/// What of a peer's weight counts here, as its workers have other tasks.
const PEER_TRUST: f64 = 0.5;

/// What is kept of earlier observations at every new one, so that changes are
/// followed within some hundreds.
const MEMORY: f64 = 0.997;

/// An estimate as processes pass it on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EffectEstimate {
    /// The image of the tasks with a latency target.
    pub serving: EcoString,
    /// The image of the fillers.
    pub filler: EcoString,
    /// The effect.
    pub effect: f64,
    /// The weight of the observations behind it, in squared shares of a worker.
    pub weight: f64,
}

/// The processor time that fillers of one image used on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct FillerUse {
    /// The image.
    pub image: EcoString,
    /// The share of the worker; a change of it may be negative.
    pub share: f64,
}

/// What is known of the tasks of one image: least squares over changes of slack.
#[derive(Debug, Clone, Default)]
struct Model {
    /// Sums of products of the changes of two fillers' shares.
    products: Vec<Vec<f64>>,
    /// Sums of products of the changes of a filler's share and of the lost slack.
    losses: Vec<f64>,
    /// The estimates.
    effects: Vec<f64>,
    /// What peers know, by filler.
    peers: BTreeMap<usize, PeerView>,
}

/// What peers know of one pair.
#[derive(Debug, Clone, Copy, Default)]
struct PeerView {
    effect: f64,
    weight: f64,
}

impl Model {
    fn grow(&mut self, fillers: usize) {
        for row in &mut self.products {
            row.resize(fillers, 0.0);
        }
        self.products.resize(fillers, vec![0.0; fillers]);
        self.losses.resize(fillers, 0.0);
        self.effects.resize(fillers, UNKNOWN_EFFECT);
    }

    fn observe(&mut self, lost: f64, changes: &[f64]) {
        for (row, change) in self.products.iter_mut().zip(changes) {
            for (sum, other) in row.iter_mut().zip(changes) {
                *sum = *sum * MEMORY + change * other;
            }
        }
        for (sum, change) in self.losses.iter_mut().zip(changes) {
            *sum = *sum * MEMORY + change * lost;
        }
        self.solve();
    }

    /// Improves the estimates by one pass; they never fall below zero.
    fn solve(&mut self) {
        for filler in 0..self.effects.len() {
            let peer = self.peers.get(&filler).copied().unwrap_or_default();
            let peer_weight = peer.weight * PEER_TRUST;
            let row = &self.products[filler];
            let others: f64 = (0..self.effects.len())
                .filter(|other| *other != filler)
                .map(|other| row[other] * self.effects[other])
                .sum();
            let known = self.losses[filler] - others
                + UNKNOWN_WEIGHT * UNKNOWN_EFFECT
                + peer_weight * peer.effect;
            let weight = row[filler] + UNKNOWN_WEIGHT + peer_weight;
            self.effects[filler] = (known / weight).max(0.0);
        }
    }
}

/// Learns how much fillers of one image disturb tasks of another.
#[derive(Debug, Clone, Default)]
pub struct InterferenceModel {
    fillers: Vec<EcoString>,
    serving: BTreeMap<EcoString, Model>,
    peers: BTreeMap<ProcessId, Vec<EffectEstimate>>,
}

impl InterferenceModel {
    /// Takes in that a task of an image lost `lost` slack while the use of the
    /// fillers beside it changed by `changes`.
    pub fn observe(&mut self, serving: &EcoString, lost: f64, changes: &[FillerUse]) {
        for change in changes {
            self.index_of(&change.image);
        }
        let inputs: Vec<f64> = self
            .fillers
            .iter()
            .map(|image| {
                let known = changes.iter().find(|change| change.image == *image);
                known.map_or(0.0, |change| change.share)
            })
            .collect();
        let model = self.serving.entry(serving.clone()).or_default();
        model.grow(inputs.len());
        model.observe(lost, &inputs);
    }

    /// Returns the slack that a whole worker of fillers takes.
    pub fn effect(&self, serving: &EcoString, filler: &EcoString) -> f64 {
        let index = self.fillers.iter().position(|image| image == filler);
        let model = self.serving.get(serving);
        let known = model
            .zip(index)
            .and_then(|(model, index)| model.effects.get(index));
        known.copied().unwrap_or(UNKNOWN_EFFECT)
    }

    /// Returns the slack that fillers take together.
    pub fn slack_loss(&self, serving: &EcoString, uses: &[FillerUse]) -> f64 {
        let taken = |filler: &FillerUse| self.effect(serving, &filler.image) * filler.share;
        uses.iter().map(taken).sum()
    }

    /// Returns what was observed here, to be passed on.
    pub fn estimates(&self) -> Vec<EffectEstimate> {
        let rows = self.serving.iter().flat_map(|(serving, model)| {
            let known = self.fillers.iter().zip(&model.effects).enumerate();
            known.map(move |(index, (filler, effect))| EffectEstimate {
                serving: serving.clone(),
                filler: filler.clone(),
                effect: *effect,
                weight: model.products[index][index],
            })
        });
        rows.filter(|row| row.weight > 0.0).collect()
    }

    /// Takes what a peer has observed.
    pub fn merge(&mut self, peer: &ProcessId, rows: &[EffectEstimate]) {
        if rows.is_empty() {
            return;
        }
        self.peers.insert(peer.clone(), rows.to_vec());
        let mut views: BTreeMap<EcoString, BTreeMap<usize, PeerView>> = BTreeMap::new();
        for row in self.peers.clone().into_values().flatten() {
            let index = self.index_of(&row.filler);
            let view = views.entry(row.serving).or_default();
            let view = view.entry(index).or_default();
            let weight = view.weight + row.weight;
            view.effect += (row.effect - view.effect) * row.weight / weight.max(f64::MIN_POSITIVE);
            view.weight = weight;
        }
        for (serving, view) in views {
            let model = self.serving.entry(serving).or_default();
            model.grow(self.fillers.len());
            model.peers = view;
            model.solve();
        }
    }

    fn index_of(&mut self, filler: &EcoString) -> usize {
        let known = self.fillers.iter().position(|image| image == filler);
        known.unwrap_or_else(|| {
            self.fillers.push(filler.clone());
            self.fillers.len() - 1
        })
    }
}
