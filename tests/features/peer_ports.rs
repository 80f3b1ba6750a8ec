//! Unauthenticated peers and malformed bytes on the peer port are refused.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};
use turmericfold_peer::{PeerKey, Side, authenticate};

fn key(text: &str) -> PeerKey {
    PeerKey::new(text.as_bytes().to_vec())
}

async fn authenticate_both(client: &str, server: &str) -> (bool, bool) {
    let (mut client_end, mut server_end) = duplex(256);
    let (client, server) = (key(client), key(server));
    let server_result = async move {
        // Drops the stream after a refusal, as the listener does.
        authenticate(&mut server_end, Side::Server, &server, [2; 32])
            .await
            .is_ok()
    };
    let client_result = authenticate(&mut client_end, Side::Client, &client, [1; 32]);
    let (server_result, client_result) = tokio::join!(server_result, client_result);
    (client_result.is_ok(), server_result)
}

#[tokio::test]
async fn shared_key() {
    let shared = "sixteen bytes and more";
    assert_eq!(authenticate_both(shared, shared).await, (true, true));
    assert_eq!(
        authenticate_both("another key than that", shared).await,
        (false, false)
    );
    assert!(!format!("{:?}", key(shared)).contains("sixteen"));
}

#[tokio::test(start_paused = true)]
async fn unresponsive_peer() {
    let (_client_end, mut server_end) = duplex(256);
    let refused = authenticate(&mut server_end, Side::Server, &key("a shared key"), [2; 32]).await;
    assert!(refused.is_err());
}

#[tokio::test]
async fn reflected_proof() {
    // A peer without the key that sends the server's challenge back must not be accepted.
    let (mut client_end, mut server_end) = duplex(256);
    let server = tokio::spawn(async move {
        authenticate(&mut server_end, Side::Server, &key("a shared key"), [2; 32]).await
    });
    let mut challenge = [0; 32];
    client_end.read_exact(&mut challenge).await.unwrap();
    client_end.write_all(&challenge).await.unwrap();
    client_end.write_all(&challenge).await.unwrap();
    assert!(server.await.unwrap().is_err());
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn hostile_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let refused = runtime.block_on(async move {
            let (mut client_end, mut server_end) = duplex(512);
            client_end.write_all(&bytes).await.unwrap();
            drop(client_end);
            authenticate(&mut server_end, Side::Server, &key("a shared key"), [2; 32]).await
        });
        prop_assert!(refused.is_err());
    }
}
