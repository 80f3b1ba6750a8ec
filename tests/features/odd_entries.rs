//! Entries of other writers among the registrations of the workers: each is skipped alone.

use std::collections::BTreeMap;

use rstest::rstest;
use serde_json::{Value, json};
use turmericfold_adapter::{
    HttpPool, SiteWorkers, decode_configuration, decode_worker, worker_id_from_key,
};
use turmericfold_platform::{Effect, PollCall, TaskWorkers, WorkerEntry};
use turmericfold_tests::task_worker_server::worker_entry;

/// The levels of a very deeply nested value.
const DEEP: usize = 100_000;

/// The longest identifier of a worker, in bytes.
const MAX_ID_BYTES: usize = 128;

fn good_entry() -> Value {
    json!({
        "service": "s", "address": "10.0.0.1:80", "zone": "west", "version": "v1", "slots": 8,
        "state": "draining", "remaining_ms": 900, "cold_left_ms": 0,
        "capacity": {"cpu": 16_000, "mem_mb": 2, "gpu": 1}, "labels": ["a", "r1"],
        "sequence": 4,
    })
}

/// Decodes the good entry, in which the field at `path` is `text`, which need not be valid.
fn decode_with(path: &str, text: &str) -> Option<WorkerEntry> {
    let mut entry = good_entry();
    let mut field = &mut entry;
    for name in path.split('.') {
        field = &mut field[name];
    }
    *field = json!("REPLACED");
    decode_worker(
        "servers/i-1",
        &entry.to_string().replace("\"REPLACED\"", text),
    )
}

fn nested_list(levels: usize) -> String {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels))
}

fn nested_object(levels: usize) -> String {
    format!("{}1{}", "{\"a\":".repeat(levels), "}".repeat(levels))
}

#[test]
fn good_entry_is_used() {
    assert!(decode_worker("servers/i-1", &good_entry().to_string()).is_some());
    assert!(decode_with("new_field", r#"{"a":[1,{"b":2.5}]}"#).is_some());
}

#[rstest]
fn deep_field_is_skipped(
    #[values(
        "unknown",
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "remaining_ms",
        "cold_left_ms",
        "capacity",
        "capacity.cpu",
        "capacity.unknown",
        "labels",
        "sequence"
    )]
    path: &str,
    #[values(nested_list(DEEP), nested_object(DEEP))] value: String,
) {
    assert_eq!(decode_with(path, &value), None);
}

#[rstest]
fn deep_value_is_skipped(
    #[values(nested_list(DEEP), nested_object(DEEP), "[".repeat(DEEP))] value: String,
) {
    assert_eq!(decode_worker("servers/i-1", &value), None);
}

/// Guards against amounts that overflow when they are converted or added.
#[rstest]
fn large_number_is_skipped(
    #[values(
        "capacity.cpu",
        "capacity.mem_mb",
        "capacity.gpu",
        "remaining_ms",
        "sequence",
        "slots",
        "unknown"
    )]
    path: &str,
    #[values("1e400", "-1e400")] number: &str,
) {
    assert_eq!(decode_with(path, number), None);
}

/// Guards against amounts that overflow when they are converted or added.
#[rstest]
fn large_amount_is_skipped(
    #[values("capacity.cpu", "capacity.mem_mb", "capacity.gpu", "remaining_ms")] path: &str,
    #[values(
        "4294967297",
        "17592186044416",
        "9223372036854775807",
        "18446744073709551615",
        "18446744073709551616",
        "340282366920938463463374607431768211456",
        "-1",
        "1.5"
    )]
    number: &str,
) {
    assert_eq!(decode_with(path, number), None);
}

#[test]
fn largest_amounts_add_up() {
    let largest = decode_with(
        "capacity",
        r#"{"cpu":1000000000,"mem_mb":4294967296,"gpu":65536}"#,
    );
    let capacity = largest.unwrap().capacity;
    let thousand = (0..1_000).fold(capacity.minus(&capacity), |sum, _| sum.plus(&capacity));
    assert_eq!(thousand.cpu_millicores, 1_000_000_000_000);
    assert_eq!(thousand.memory_bytes, 1_000 << 52);
    assert_eq!(thousand.accelerators, 65_536_000);
}

#[rstest]
fn odd_address_is_skipped(
    #[values(
        "10.0.0.1:99999",
        "10.0.0.1:65536",
        "10.0.0.1:0",
        ":0",
        ":80",
        "",
        " ",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:-1",
        "10.0.0.1:80x",
        "10.0.0.1:80 ",
        "10.0.0.1:80/-/hold",
        "10.0.0.1:1e3",
        "10.0.0:80",
        "256.0.0.1:80",
        "0.0.0.0:80",
        "nobody:80",
        "http://10.0.0.1:80",
        "10.0.0.1:80\\r\\nHost: a",
        "\\u0000:80"
    )]
    address: &str,
) {
    assert_eq!(decode_with("address", &format!("\"{address}\"")), None);
}

#[rstest]
fn address_is_used(#[values("10.0.0.1:1", "10.0.0.1:65535", "[fd00::1]:80")] address: &str) {
    let entry = decode_with("address", &format!("\"{address}\"")).unwrap();
    assert_eq!(entry.address, address);
}

/// The addresses don't get this far, but a call to one must fail and not panic.
#[rstest]
#[tokio::test]
async fn call_to_odd_address_fails(
    #[values(
        "10.0.0.1:99999",
        "127.0.0.1:0",
        "10.0.0.1",
        "10.0.0.1:x",
        "",
        "a\r\nb:80"
    )]
    address: &str,
) {
    let mut worker = worker_entry("127.0.0.1:1");
    worker.address = address.into();
    let call = PollCall {
        token: 1,
        lease_until_ms: None,
        acknowledged_up_to: 0,
        wait_ms: 0,
    };
    let error = SiteWorkers::new(HttpPool::new()).poll(&worker, call).await;
    assert_eq!(error.unwrap_err().effect, Effect::None);
}

#[rstest]
fn odd_type_is_skipped(
    #[values(
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "remaining_ms",
        "cold_left_ms",
        "capacity",
        "capacity.cpu",
        "labels",
        "sequence"
    )]
    path: &str,
    #[values("[16000,2,0]", "{}", "true", "[[]]")] value: &str,
) {
    assert_eq!(decode_with(path, value), None);
}

#[rstest]
fn missing_field_is_skipped(
    #[values("service", "address", "zone", "state", "capacity")] name: &str,
) {
    let fields: BTreeMap<String, Value> = serde_json::from_value(good_entry()).unwrap();
    let rest: BTreeMap<_, _> = fields.iter().filter(|(key, _)| *key != name).collect();
    let text = serde_json::to_string(&rest).unwrap();
    assert_eq!(decode_worker("servers/i-1", &text), None);
}

/// Guards against a list that is read as the fields in the order of their declaration.
#[test]
fn list_is_skipped() {
    let list = r#"["s","10.0.0.1:80","west","ready",null,{"cpu":1,"mem_mb":1},["a","r1"]]"#;
    assert_eq!(decode_worker("servers/i-1", list), None);
}

/// Guards against keys of owners that are too long for the store, which refuses the claims
/// of all units in one transaction.
#[rstest]
fn odd_name_is_skipped(
    #[values(
        String::new(), "x".repeat(MAX_ID_BYTES + 1), "i 1".into(), "i\r\n1".into(), "ñ".into()
    )]
    id: String,
) {
    let key = format!("servers/{id}");
    assert_eq!(worker_id_from_key(&key), None);
    assert_eq!(decode_worker(&key, &good_entry().to_string()), None);
}

#[rstest]
#[case::number_beyond_u64(r#"{"version":18446744073709551616}"#)]
#[case::number_beyond_f64(
    r#"{"version":1,"routes":[{"name":"a","host":"h","prefix":"/","service":"s",
        "slack_factor":1e400}]}"#
)]
#[case::negative(r#"{"version":1,"limits":{"max_body_bytes":-1}}"#)]
#[case::deep_value(nested_list(DEEP))]
#[case::deep_field(format!(r#"{{"version":1,"routes":{}}}"#, nested_list(DEEP)))]
fn odd_configuration_is_refused<Text>(#[case] text: Text)
where
    Text: AsRef<str>,
{
    decode_configuration(text.as_ref()).unwrap_err();
}
