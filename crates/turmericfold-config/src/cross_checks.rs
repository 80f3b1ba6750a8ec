//! Checks that involve several fields.

use std::net::SocketAddr;

use ecow::eco_format;

use crate::Fault;
use crate::validate::join_path;
use crate::yaml::Node;

/// Adds the faults that involve several fields of a settings file.
pub(crate) fn check_settings(root: &Node, faults: &mut Vec<Fault>) {
    let Some(listen) = root.get("listen") else {
        return;
    };
    let mut addresses: Vec<(&str, SocketAddr)> = Vec::new();
    for name in ["callers", "peers", "operators"] {
        let Some(node) = listen.get(name) else {
            continue;
        };
        let Some(address) = node.text().and_then(|text| text.parse().ok()) else {
            continue;
        };
        if let Some((other, _)) = addresses.iter().find(|(_, other)| overlap(other, &address)) {
            let problem = eco_format!("the same address as listen.{other}");
            let fault = Fault::new(&node.mark, &join_path("listen", name), problem);
            faults.push(
                fault
                    .with_seen(node.to_fault_text())
                    .with_hint("give each listener its own port"),
            );
        }
        addresses.push((name, address));
    }
}

/// Returns whether two listeners can't both be bound.
fn overlap(one: &SocketAddr, other: &SocketAddr) -> bool {
    one.port() == other.port()
        && (one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified())
}

/// The whole fleet, in thousandths.
const WHOLE_PERMILLE: u64 = 1_000;

/// Adds the faults that involve several fields of a configuration.
pub(crate) fn check_configuration(root: &Node, faults: &mut Vec<Fault>) {
    let profiles = root.get("profiles");
    check_profile_names(root, profiles, faults);
    let Some(profiles) = profiles else {
        return;
    };
    let mut guaranteed = 0;
    for entry in profiles.entries() {
        let path = join_path("profiles", &entry.key);
        guaranteed += check_share(&entry.value, &path, faults);
        check_interruption(&entry.value, &path, faults);
    }
    if guaranteed > WHOLE_PERMILLE {
        let problem = eco_format!("`guaranteed_permille` of all profiles adds up to {guaranteed}");
        let fault = Fault::new(&profiles.mark, "profiles", problem);
        faults.push(
            fault
                .with_allowed(eco_format!(
                    "at most {WHOLE_PERMILLE} in all profiles together"
                ))
                .with_hint("lower `guaranteed_permille` of some profiles"),
        );
    }
}

fn check_profile_names(root: &Node, profiles: Option<&Node>, faults: &mut Vec<Fault>) {
    let known: Vec<&str> = profiles
        .map(Node::entries)
        .unwrap_or_default()
        .iter()
        .map(|entry| entry.key.as_str())
        .collect();
    let services = root.get("services").map(Node::entries).unwrap_or_default();
    for service in services {
        let Some(node) = service.value.get("profile") else {
            continue;
        };
        let Some(name) = node.text().filter(|name| !known.contains(name)) else {
            continue;
        };
        let path = join_path(&join_path("services", &service.key), "profile");
        let fault = Fault::new(&node.mark, &path, eco_format!("unknown profile `{name}`"))
            .with_allowed(known.join(", "))
            .with_suggestion(name, known.iter().copied());
        faults.push(fault);
    }
}

/// Checks the share of one profile and returns its guaranteed part, in
/// thousandths.
fn check_share(profile: &Node, path: &str, faults: &mut Vec<Fault>) -> u64 {
    let Some(share) = profile.get("room") else {
        return 0;
    };
    let guaranteed = number(share, "guaranteed_permille");
    let ceiling = number(share, "ceiling_permille");
    if let (Some(guaranteed), Some(ceiling)) = (guaranteed, ceiling)
        && guaranteed > ceiling
    {
        let path = join_path(path, "room");
        let problem = eco_format!(
            "`guaranteed_permille` is {guaranteed}, above `ceiling_permille` {ceiling}"
        );
        faults.push(
            Fault::new(&share.mark, &path, problem)
                .with_hint("raise the ceiling or lower the guarantee"),
        );
    }
    guaranteed.unwrap_or(0).min(WHOLE_PERMILLE)
}

fn check_interruption(profile: &Node, path: &str, faults: &mut Vec<Fault>) {
    let Some(node) = profile.get("interruption") else {
        return;
    };
    let evictable = node.get("evictable").and_then(Node::text) == Some("true");
    let evictions = number(node, "max_evictions").unwrap_or(0);
    let path = join_path(path, "interruption");
    if !evictable && evictions > 0 {
        let problem = eco_format!("`max_evictions` is {evictions}, but `evictable` is not true");
        faults.push(Fault::new(&node.mark, &path, problem).with_hint("add `evictable: true`"));
    }
    if evictable && evictions == 0 {
        let problem = "`evictable` is true, but `max_evictions` is zero or missing";
        faults.push(
            Fault::new(&node.mark, &path, problem).with_hint("add `max_evictions`, at least 1"),
        );
    }
}

/// Returns the field `name` of a mapping if it is a whole number.
fn number(node: &Node, name: &str) -> Option<u64> {
    node.get(name)?.text()?.parse().ok()
}
