//! Tests of the whole system, one file per feature.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed step must fail its test"
)]

mod batch_life;
mod batch_limits;
mod broken_rules;
mod busy_processes;
mod caller_interface;
mod cancellation;
mod clock_steps;
mod configuration_pull;
mod configuration_series;
mod control_figures;
mod crowded_workers;
mod cut_domains;
mod documents;
mod endpoint_faults;
mod endpoint_health;
mod faulty_files;
mod filler_placement;
mod fleet_jobs;
mod fleet_ownership;
mod fleet_policy;
mod fleet_takeover;
mod floods;
mod forwarding;
mod full_fleets;
mod gangs;
mod graceful_shutdown;
mod interrupted_tasks;
mod job_urgency;
mod journal_ring;
mod large_fleets;
mod large_messages;
mod lasting_waits;
mod late_completions;
mod late_owners;
mod late_reports;
mod late_watches;
mod long_lists;
mod lost_registrations;
mod lost_renewals;
mod lost_stops;
mod odd_answers;
mod odd_entries;
mod odd_jobs;
mod odd_lists;
mod ownership_fuzz;
mod ownership_searches;
mod peer_ports;
mod placement_passes;
mod promises;
mod rebalancing;
mod recurring_jobs;
mod replaced_workers;
mod restarted_workers;
mod retries;
mod rollout_changes;
mod room_waits;
mod scheduling;
mod silent_store;
mod silent_takeovers;
mod silent_workers;
mod site_adapter;
mod slow_polls;
mod slow_reads;
mod slow_starts;
mod start_doubts;
mod successors;
mod unheard_handovers;
mod unheard_workers;
mod waiting_counts;
mod whole_path;
mod world_fuzz;
