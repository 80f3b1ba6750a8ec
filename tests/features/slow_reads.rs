//! Reads of large values of the store over a slow link.

use std::time::Duration;

use rstest::rstest;
use tokio::task::JoinSet;
use turmericfold_adapter::{HttpPool, SiteStore};
use turmericfold_platform::{Effect, LeaseId, Store, StoreCall, StoreReply, Transaction};
use turmericfold_tests::site_store::SiteStoreStandIn;
use turmericfold_tests::slow_link::SlowLink;

/// The key of the value.
const KEY: &str = "op/config";

/// The size of a value that takes about 2.7 s on the slow link, in bytes.
const VALUE_BYTES: usize = 500_000;

/// The rate of the slow link, in bytes per millisecond: 2 Mbit/s.
const LINK_BYTES_PER_MS: u64 = 250;

/// The time after which a read in progress has received a part of the value, in
/// milliseconds.
const PARTIAL_READ_MS: u64 = 600;

/// The longest time until a read without progress fails, in milliseconds.
const MAX_SILENCE_MS: u64 = 1_500;

/// The number of reads, more than connections to one address.
const READS: usize = 20;

/// The longest time until a call that concerns a lease is answered, in milliseconds.
const MAX_LEASE_CALL_MS: u64 = 300;

/// Returns a store that holds the value, and a slow link to it.
async fn slow_store() -> (SiteStoreStandIn, SlowLink) {
    let standin = SiteStoreStandIn::start().await;
    let direct = SiteStore::new(HttpPool::new(), standin.address().into());
    let mut transaction = Transaction::default();
    transaction.write_value(KEY.into(), "x".repeat(VALUE_BYTES), None);
    let written = direct.call(StoreCall::Transact(transaction)).await;
    written.expect("the store accepts the value");
    let link = SlowLink::start(standin.address().into(), LINK_BYTES_PER_MS).await;
    (standin, link)
}

fn read() -> StoreCall {
    StoreCall::Range {
        prefix: KEY.into(),
        after: None,
        limit: 500,
    }
}

/// Guards against reads that start again for ever, as the value takes longer than a timeout.
#[tokio::test(start_paused = true)]
async fn large_value_arrives() {
    let (standin, link) = slow_store().await;
    let store = SiteStore::new(HttpPool::new(), link.address().into());
    let reply = store.call(read()).await;
    let StoreReply::Page { keys, .. } = reply.expect("the read is complete") else {
        panic!("not a page");
    };
    assert_eq!(keys[0].stored.value.len(), VALUE_BYTES);
    link.stop().await;
    standin.stop().await;
}

/// Guards against a read that waits for ever for the rest of a value.
#[tokio::test(start_paused = true)]
async fn stalled_read_fails() {
    let (standin, link) = slow_store().await;
    let store = SiteStore::new(HttpPool::new(), link.address().into());
    let stall = async {
        tokio::time::sleep(Duration::from_millis(PARTIAL_READ_MS)).await;
        link.stall();
    };
    let limit = Duration::from_millis(PARTIAL_READ_MS + MAX_SILENCE_MS);
    let call = tokio::time::timeout(limit, store.call(read()));
    let (reply, ()) = tokio::join!(call, stall);
    let error = reply.expect("the read fails in time").unwrap_err();
    assert_eq!(error.effect, Effect::Unknown);
    link.stop().await;
    standin.stop().await;
}

fn grant() -> StoreCall {
    StoreCall::GrantLease { ttl_ms: 2_000 }
}

fn renew(lease: LeaseId) -> StoreCall {
    StoreCall::RenewLease { lease }
}

fn register(lease: LeaseId) -> StoreCall {
    let mut transaction = Transaction::default();
    transaction.write_value("members/edge-1".into(), "{}".into(), Some(lease));
    StoreCall::Transact(transaction)
}

/// Guards against a registration that expires while slow reads hold all connections.
#[rstest]
#[case::grant(|_| grant())]
#[case::renewal(renew)]
#[case::registration(register)]
#[tokio::test(start_paused = true)]
async fn leases_pass_reads(#[case] lease_call: fn(LeaseId) -> StoreCall) {
    let (standin, link) = slow_store().await;
    let store = SiteStore::new(HttpPool::new(), link.address().into());
    let granted = store.call(grant()).await;
    let Ok(StoreReply::Lease { lease }) = granted else {
        panic!("{granted:?}");
    };
    let mut reads = JoinSet::new();
    for _ in 0..READS {
        let store = store.clone();
        reads.spawn(async move { store.call(read()).await });
    }
    tokio::time::sleep(Duration::from_millis(PARTIAL_READ_MS)).await;
    let limit = Duration::from_millis(MAX_LEASE_CALL_MS);
    let reply = tokio::time::timeout(limit, store.call(lease_call(lease))).await;
    let reply = reply.expect("the call is answered at once").unwrap();
    assert!(
        matches!(
            reply,
            StoreReply::Lease { .. } | StoreReply::Committed { .. }
        ),
        "{reply:?}"
    );
    let first_ended = reads.join_next().await.unwrap().unwrap();
    let error = first_ended.expect_err("a connection was free");
    assert_eq!(error.effect, Effect::None);
    reads.shutdown().await;
    link.stop().await;
    standin.stop().await;
}
