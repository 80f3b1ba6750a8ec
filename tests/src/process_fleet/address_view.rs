//! The addresses at which one process reaches the others.

use std::net::SocketAddr;

use turmericfold_platform::StoreReply;

/// The parts of keys whose values hold an address.
const KEYS_WITH_ADDRESSES: [&str; 2] = ["servers/", "/members/"];

/// The addresses at which one process reaches the others.
#[derive(Debug, Default)]
pub(super) struct AddressView {
    /// The address that is registered, and the one at which this process reaches it.
    addresses: Vec<(String, String)>,
}

impl AddressView {
    /// Sets the address at which this process reaches a registered one.
    pub(super) fn insert(&mut self, registered: SocketAddr, reached: SocketAddr) {
        self.addresses
            .push((format!("\"{registered}\""), format!("\"{reached}\"")));
    }

    /// Replaces the registered addresses in an answer of the store.
    pub(super) fn translate(&self, mut reply: StoreReply) -> StoreReply {
        match &mut reply {
            StoreReply::Page { keys, .. } => {
                for key in keys {
                    self.replace(&key.key, &mut key.stored.value);
                }
            }
            StoreReply::Changes { changes, .. } => {
                for change in changes {
                    if let Some(value) = &mut change.value {
                        self.replace(&change.key, value);
                    }
                }
            }
            StoreReply::Refused { current } => {
                for key in current {
                    if let Some(stored) = &mut key.stored {
                        self.replace(&key.key, &mut stored.value);
                    }
                }
            }
            _ => {}
        }
        reply
    }

    fn replace(&self, key: &str, value: &mut String) {
        if !KEYS_WITH_ADDRESSES.iter().any(|part| key.contains(part)) {
            return;
        }
        for (registered, reached) in &self.addresses {
            if value.contains(registered) {
                *value = value.replace(registered, reached);
            }
        }
    }
}
