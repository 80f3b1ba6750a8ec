//! The adapter works with a stand-in that uses the users' formats.

use std::path::Path;

use rstest::rstest;
use turmericfold_adapter::{
    HttpPool, SiteSettings, SiteStore, decode_configuration, decode_worker,
};
use turmericfold_platform::{Effect, Store, StoreCall, StoreReply, StoreVersion, Transaction};
use turmericfold_tests::site_store::{SiteFault, SiteStoreStandIn};
use turmericfold_types::Resources;

const SETTINGS: &str = "node_name=edge-1\nip=10.1.0.13\nzone=west\nnew_field=1\n\
    listen_addrs.front=10.1.0.13:8161\nlisten_addrs.ready=10.1.0.13:8167\n\
    port_range=7720,7735\nlimits.cpu_share=0.25\nlimits.cores=1\n\
    platform.address=10.200.1.7:8169\nbounds.grace_s=6\nbounds.hold_max_ms=6000\n";

fn parse(text: &str) -> Result<SiteSettings, String> {
    SiteSettings::parse(Path::new("boot.conf"), text).map_err(|fault| fault.to_string())
}

#[test]
fn settings_are_read() {
    let settings = parse(SETTINGS).unwrap();
    assert_eq!(settings.instance, "edge-1");
    assert_eq!(settings.peer_address, "10.1.0.13:7720");
    assert_eq!(settings.cpu_millicores, 250);
    assert_eq!(settings.stop_grace_ms, 6_000);
    assert_eq!(settings.worker_lease_max_ms, 6_000);
    assert_eq!(settings.job_retention_ms, 120_000);
}

#[rstest]
#[case(
    "zone=west\n",
    "",
    "boot.conf: zone is missing; add a line zone=(the failure domain of the instance)"
)]
#[case(
    "limits.cpu_share=0.25",
    "limits.cpu_share=much",
    "boot.conf:8: limits.cpu_share: expected a share of a core, such as 0.25, found \"much\""
)]
#[case(
    "new_field=1",
    "new_field",
    "boot.conf:4: expected key=value, found \"new_field\""
)]
#[case(
    "port_range=7720,7735",
    "port_range=x,y",
    "boot.conf:7: port_range: expected two ports as FIRST,LAST, found \"x\""
)]
fn faulty_settings_are_named(#[case] from: &str, #[case] to: &str, #[case] fault: &str) {
    assert_eq!(parse(&SETTINGS.replace(from, to)).unwrap_err(), fault);
}

#[test]
fn longest_prefix_wins() {
    let text = r#"{"version":7,"routes":[
        {"name":"a","host":"h","prefix":"/x/","service":"s","max_attempts":3,"slack_factor":1.5},
        {"name":"b","host":"h","prefix":"/x/y/","service":"s","priority":2}],
        "services":[{"name":"s","admission_check":true}],"limits":{"max_body_bytes":99}}"#;
    let configuration = decode_configuration(text).unwrap();
    assert_eq!(configuration.version, 7);
    assert_eq!(configuration.route("h", "/x/y/1").unwrap().queue.0, "b");
    assert_eq!(configuration.route("h", "/x/1").unwrap().queue.0, "a");
    assert!(configuration.route("other", "/x/1").is_none());
    assert_eq!(configuration.limits.body_bytes, 99);
}

#[test]
fn worker_is_decoded() {
    let text = r#"{"service":"s","address":"10.0.0.1:80","zone":"west","version":"v1","slots":8,
        "state":"draining","remaining_ms":900,"capacity":{"cpu":16000,"mem_mb":2,"gpu":0},
        "labels":["a","r1"],"sequence":4}"#;
    let worker = decode_worker("servers/i-1", text).unwrap();
    assert_eq!(worker.id.as_str(), "i-1");
    assert!(worker.draining);
    assert_eq!(worker.remaining_ms, Some(900));
    assert_eq!(worker.capacity, Resources::new(16_000, 2 << 20));
    assert_eq!(worker.rack().unwrap(), "r1");
}

#[rstest]
#[case("not json")]
#[case(r#"{"service":"s"}"#)]
#[case(r#"{"service":"s","address":"a","zone":"z","state":"odd","capacity":{"cpu":1,"mem_mb":1}}"#)]
fn foreign_entry_is_skipped(#[case] text: &str) {
    assert!(decode_worker("servers/i-1", text).is_none());
}

fn write(key: &str, version: Option<u64>, value: &str) -> StoreCall {
    let mut transaction = Transaction::default();
    transaction.expect_version(key.into(), version.map(StoreVersion));
    transaction.write_value(key.into(), value.into(), None);
    StoreCall::Transact(transaction)
}

async fn standin() -> (SiteStoreStandIn, SiteStore) {
    let standin = SiteStoreStandIn::start().await;
    let store = SiteStore::new(HttpPool::new(), standin.address().into());
    (standin, store)
}

#[tokio::test]
async fn transactions_are_conditional() {
    let (standin, store) = standin().await;
    let first = store.call(write("a", None, "one")).await.unwrap();
    let StoreReply::Committed { version } = first else {
        panic!("{first:?}");
    };
    let again = store.call(write("a", None, "two")).await.unwrap();
    let StoreReply::Refused { current } = again else {
        panic!("{again:?}");
    };
    let stored = current[0].stored.as_ref().unwrap();
    assert_eq!((stored.version, stored.value.as_str()), (version, "one"));
    standin.stop().await;
}

#[tokio::test]
async fn pages_follow_keys() {
    let (standin, store) = standin().await;
    for key in ["p/1", "p/2", "p/3"] {
        store.call(write(key, None, key)).await.unwrap();
    }
    let mut after = None;
    let mut read = Vec::new();
    loop {
        let call = StoreCall::Range {
            prefix: "p/".into(),
            after: after.clone(),
            limit: 500,
        };
        let StoreReply::Page { keys, more, .. } = store.call(call).await.unwrap() else {
            panic!("not a page");
        };
        read.extend(keys.iter().map(|key| key.stored.value.clone()));
        after = keys.last().map(|key| key.key.clone());
        if !more {
            break;
        }
    }
    assert_eq!(read, ["p/1", "p/2", "p/3"]);
    standin.stop().await;
}

#[tokio::test]
async fn busy_has_no_effect() {
    let (standin, store) = standin().await;
    standin.set_fault(SiteFault::Busy);
    let error = store.call(write("a", None, "one")).await.unwrap_err();
    assert_eq!(error.effect, Effect::None);
    standin.stop().await;
}

#[tokio::test]
async fn lost_answer_is_doubtful() {
    let (standin, store) = standin().await;
    standin.set_fault(SiteFault::LoseAnswer);
    let error = store.call(write("a", None, "one")).await.unwrap_err();
    assert_eq!(error.effect, Effect::Unknown);
    standin.set_fault(SiteFault::None);
    let reply = store.call(write("a", None, "one")).await.unwrap();
    assert!(matches!(reply, StoreReply::Refused { .. }), "{reply:?}");
    standin.stop().await;
}

#[tokio::test]
async fn refused_connection_reported() {
    let (standin, store) = standin().await;
    standin.stop().await;
    let error = store.call(write("a", None, "one")).await.unwrap_err();
    assert_eq!(error.effect, Effect::None);
    assert!(error.connection_refused);
}
