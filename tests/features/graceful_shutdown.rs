//! A planned stop interrupts no request in progress.

use http::{Method, StatusCode};
use tokio::task::JoinSet;
use turmericfold_measure::{Fleet, FleetPlan};
use turmericfold_standin::EndpointGate;
use turmericfold_tests::{HttpProbe, desai_configuration};

/// The number of requests in progress when the stop begins.
const REQUESTS: u32 = 200;

#[tokio::test(flavor = "multi_thread")]
async fn stop_answers_all() {
    let plan = FleetPlan {
        configuration: desai_configuration(),
        entries: 3,
        endpoints: 60,
        service: "condition-reports".into(),
        service_time_ms: 1,
        workers: 3,
    };
    let mut fleet = Fleet::start(plan).await.unwrap();
    let gate = EndpointGate::new();
    for endpoint in &fleet.endpoints {
        endpoint.set_gate(gate.clone());
    }
    let address = fleet.caller_addresses()[0].clone();
    let mut requests = JoinSet::new();
    for number in 0..REQUESTS {
        let url = format!("http://{address}/v1/services/condition-reports/{number}");
        let probe = HttpProbe::new();
        requests.spawn(async move { probe.send(Method::POST, &url, number.to_string()).await });
    }
    gate.wait_for_requests(REQUESTS).await;
    let gate_to_open = gate.clone();
    let ready = format!("http://{address}/ready");
    let opening = tokio::spawn(async move {
        // Waits until the stopping entry is no longer ready, then lets the endpoints answer.
        let probe = HttpProbe::new();
        while probe
            .send(Method::GET, &ready, "")
            .await
            .is_ok_and(|answer| answer.status() == StatusCode::OK)
        {}
        gate_to_open.open();
    });
    fleet.stop_entry(0);
    opening.await.unwrap();
    for answer in requests.join_all().await {
        let answer = answer.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(answer.headers()["turmericfold-verdict"], "ran");
    }
    assert_eq!(fleet.violations().count(), 0);
    fleet.shutdown().await;
}
