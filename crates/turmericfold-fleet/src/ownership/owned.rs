//! The owner of a unit, and the changes of the units that this process owns.

use turmericfold_platform::StoreVersion;

use crate::{Owner, Unit};

/// The owner of a unit with the epoch of its ownership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Owned {
    /// The owner.
    pub(crate) owner: Owner,
    /// The version at which the owner was stored, from which fencing tokens are built.
    ///
    /// It increases with every change of the owner.
    pub(crate) epoch: StoreVersion,
}

/// A change of the units that this process owns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OwnershipChange {
    /// This process now owns the unit, under the given ownership.
    Acquired { unit: Unit, owned: Owned },
    /// This process no longer owns the unit.
    Lost { unit: Unit },
}
