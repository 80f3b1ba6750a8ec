//! Interference: how much fillers of one image slow down tasks of another.
//!
//! Batch work runs as fillers beside tasks with a latency target. The model learns
//! within seconds, from coarse measurements, which fillers may run at a high pace beside
//! which tasks.
//!
//! The *slack* of a task is its latency target divided by its tail latency. As in a
//! queue, the tail latency grows with 1 / (1 - load), so the slack falls linearly with
//! the load that fillers add. An *effect* is the slack that a task loses when fillers
//! of one image use a whole worker.

use std::collections::BTreeMap;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::ProcessId;

/// The effect assumed for a pair of images without observations: between the effect of
/// images that hardly interfere and that of images that interfere strongly.
const DEFAULT_EFFECT: f64 = 3.0;

/// The weight of the default effect, in squared shares of a worker: equal to about ten
/// observations of a filler that uses a fifteenth of a worker.
const DEFAULT_EFFECT_WEIGHT: f64 = 0.05;

/// The factor for the weight of a peer's estimates; below 1 as its workers run other
/// tasks.
const PEER_WEIGHT_FACTOR: f64 = 0.5;

/// The factor for earlier observations at every new one, so that the estimates follow a
/// change within a few hundred observations.
const RETENTION_FACTOR: f64 = 0.997;

/// An estimated effect, as processes exchange it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EffectEstimate {
    /// The image of the tasks with a latency target.
    pub serving: EcoString,
    /// The image of the fillers.
    pub filler: EcoString,
    /// The slack that a task loses when the fillers use a whole worker.
    pub effect: f64,
    /// The weight of the observations behind it, in squared shares of a worker.
    pub weight: f64,
}

/// The processor time that fillers of one image used on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct FillerUse {
    /// The image of the fillers.
    pub image: EcoString,
    /// The share of the worker, from 0 to 1; as a change of use it may be negative.
    pub share: f64,
}

/// A least-squares fit of the slack that tasks of one image lose, over changes in the use
/// of fillers.
#[derive(Debug, Clone, Default)]
struct ImageModel {
    /// Sums of products of the changes of two fillers' shares, for each pair of fillers.
    products: Vec<Vec<f64>>,
    /// Sums of products of the change of a filler's share and the lost slack, by filler.
    loss_products: Vec<f64>,
    /// The estimated effects, by filler.
    effects: Vec<f64>,
    /// The combined estimates of peers, by filler.
    peers: BTreeMap<usize, PeerEstimate>,
}

/// The combined estimate of peers for one pair of images.
#[derive(Debug, Clone, Copy, Default)]
struct PeerEstimate {
    effect: f64,
    weight: f64,
}

impl ImageModel {
    fn grow(&mut self, filler_count: usize) {
        for row in &mut self.products {
            row.resize(filler_count, 0.0);
        }
        self.products.resize(filler_count, vec![0.0; filler_count]);
        self.loss_products.resize(filler_count, 0.0);
        self.effects.resize(filler_count, DEFAULT_EFFECT);
    }

    fn observe(&mut self, lost_slack: f64, changes: &[f64]) {
        for (row, change) in self.products.iter_mut().zip(changes) {
            for (sum, other) in row.iter_mut().zip(changes) {
                *sum = *sum * RETENTION_FACTOR + change * other;
            }
        }
        for (sum, change) in self.loss_products.iter_mut().zip(changes) {
            *sum = *sum * RETENTION_FACTOR + change * lost_slack;
        }
        self.solve();
    }

    /// Improves the estimates by one Gauss-Seidel pass; an estimate is never below zero.
    fn solve(&mut self) {
        for filler in 0..self.effects.len() {
            let peer = self.peers.get(&filler).copied().unwrap_or_default();
            let peer_weight = peer.weight * PEER_WEIGHT_FACTOR;
            let row = &self.products[filler];
            let others: f64 = (0..self.effects.len())
                .filter(|other| *other != filler)
                .map(|other| row[other] * self.effects[other])
                .sum();
            let weighted_effect = self.loss_products[filler] - others
                + DEFAULT_EFFECT_WEIGHT * DEFAULT_EFFECT
                + peer_weight * peer.effect;
            let weight = row[filler] + DEFAULT_EFFECT_WEIGHT + peer_weight;
            self.effects[filler] = (weighted_effect / weight).max(0.0);
        }
    }
}

/// A learned model of how much fillers of one image slow down tasks of another.
#[derive(Debug, Clone, Default)]
pub struct InterferenceModel {
    /// The images of fillers; an index into them stands for a filler in the models.
    fillers: Vec<EcoString>,
    models: BTreeMap<EcoString, ImageModel>,
    peer_estimates: BTreeMap<ProcessId, Vec<EffectEstimate>>,
    /// Whether estimates of a peer have arrived since the last merge.
    has_new_estimates: bool,
}

impl InterferenceModel {
    /// Records that a task of the image `serving` lost `lost_slack` while the use of the
    /// fillers beside it changed by `changes`.
    pub fn observe(&mut self, serving: &EcoString, lost_slack: f64, changes: &[FillerUse]) {
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
        let model = self.models.entry(serving.clone()).or_default();
        model.grow(inputs.len());
        model.observe(lost_slack, &inputs);
    }

    /// Returns the slack that a task loses when the fillers use a whole worker.
    pub fn effect(&self, serving: &EcoString, filler: &EcoString) -> f64 {
        let index = self.fillers.iter().position(|image| image == filler);
        let model = self.models.get(serving);
        let known = model
            .zip(index)
            .and_then(|(model, index)| model.effects.get(index));
        known.copied().unwrap_or(DEFAULT_EFFECT)
    }

    /// Returns the slack that a task loses to all fillers together.
    pub fn slack_loss(&self, serving: &EcoString, uses: &[FillerUse]) -> f64 {
        let loss = |filler: &FillerUse| self.effect(serving, &filler.image) * filler.share;
        uses.iter().map(loss).sum()
    }

    /// Returns the estimates that rest on observations of this process, for its peers.
    pub fn estimates(&self) -> Vec<EffectEstimate> {
        let estimates = self.models.iter().flat_map(|(serving, model)| {
            let known = self.fillers.iter().zip(&model.effects).enumerate();
            known.map(move |(index, (filler, effect))| EffectEstimate {
                serving: serving.clone(),
                filler: filler.clone(),
                effect: *effect,
                weight: model.products[index][index],
            })
        });
        estimates.filter(|estimate| estimate.weight > 0.0).collect()
    }

    /// Replaces the estimates of a peer, unless `estimates` is empty; they are used after the
    /// next merge.
    pub fn record_peer(&mut self, peer: &ProcessId, estimates: &[EffectEstimate]) {
        if !estimates.is_empty() {
            self.peer_estimates.insert(peer.clone(), estimates.to_vec());
            self.has_new_estimates = true;
        }
    }

    /// Merges the estimates of the peers for which `is_present`, if any has changed, and
    /// forgets those of the others.
    pub fn merge_peers<IsPresent>(&mut self, is_present: IsPresent)
    where
        IsPresent: Fn(&ProcessId) -> bool,
    {
        if !std::mem::take(&mut self.has_new_estimates) {
            return;
        }
        self.peer_estimates.retain(|peer, _| is_present(peer));
        let mut merged: BTreeMap<EcoString, BTreeMap<usize, PeerEstimate>> = BTreeMap::new();
        let peer_estimates = std::mem::take(&mut self.peer_estimates);
        for estimate in peer_estimates.values().flatten() {
            let index = self.index_of(&estimate.filler);
            let combined = merged.entry(estimate.serving.clone()).or_default();
            let combined = combined.entry(index).or_default();
            let weight = combined.weight + estimate.weight;
            combined.effect += (estimate.effect - combined.effect) * estimate.weight
                / weight.max(f64::MIN_POSITIVE);
            combined.weight = weight;
        }
        self.peer_estimates = peer_estimates;
        for (serving, peers) in merged {
            let model = self.models.entry(serving).or_default();
            model.grow(self.fillers.len());
            model.peers = peers;
            model.solve();
        }
    }

    /// Returns the index of a filler's image; adds the image if it is new.
    fn index_of(&mut self, filler: &EcoString) -> usize {
        let known = self.fillers.iter().position(|image| image == filler);
        known.unwrap_or_else(|| {
            self.fillers.push(filler.clone());
            self.fillers.len() - 1
        })
    }
}
