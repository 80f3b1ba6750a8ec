//! Reduces the faults of a soak to those that a broken promise needs.

use std::mem::{Discriminant, discriminant};

use super::Soak;
use crate::fleet_world::Violation;

/// The faults that a broken promise needs.
#[derive(Debug)]
pub struct Reduction {
    /// The numbers of the faults that remain, by the order in which they were drawn.
    pub numbers: Vec<usize>,
    /// What is broken under these faults alone.
    pub violations: Vec<Violation>,
}

/// Leaves out one fault after the other while a promise of the same kind as the first broken one
/// stays broken. Returns nothing if none is broken.
pub fn reduce<Draw>(draw: Draw) -> Option<Reduction>
where
    Draw: Fn() -> Soak,
{
    let mut numbers: Vec<usize> = (0..draw().groups().len()).collect();
    let mut violations = draw().run();
    let kind = discriminant(violations.first()?);
    let mut tried = 0;
    while tried < numbers.len() {
        let mut fewer = numbers.clone();
        fewer.remove(tried);
        let remaining = draw().with_groups(&fewer).run();
        if !has_kind(&remaining, kind) {
            tried += 1;
            continue;
        }
        numbers = fewer;
        violations = remaining;
        tried = 0;
    }
    Some(Reduction {
        numbers,
        violations,
    })
}

fn has_kind(violations: &[Violation], kind: Discriminant<Violation>) -> bool {
    violations
        .iter()
        .any(|violation| discriminant(violation) == kind)
}
