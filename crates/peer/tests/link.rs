//! Links transfer messages in both directions and reconnect.

use std::time::Duration;

use parsleylatch_peer::{Identity, LinkEvent, connect, serve};
use parsleylatch_types::Incarnation;
use parsleylatch_wire::{journal::TakeOverRequest, peer::peer_message::Body};
use tokio::{net::TcpListener, sync::mpsc, time::timeout};

const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

fn identity(name: &str) -> Identity {
    Identity {
        node_id: name.parse().unwrap(),
        incarnation: Incarnation::new(1),
        failure_domain: "domain-1".parse().unwrap(),
        region: "region-1".parse().unwrap(),
    }
}

fn take_over_request(correlation_id: u64) -> Body {
    Body::TakeOverRequest(TakeOverRequest {
        correlation_id,
        request_id: Vec::new(),
        workspace: String::new(),
        origin: 0,
        received: 0,
    })
}

async fn next_event(events: &mut mpsc::Receiver<LinkEvent>) -> LinkEvent {
    timeout(EVENT_TIMEOUT, events.recv())
        .await
        .expect("timed out waiting for an event")
        .expect("event channel closed")
}

fn correlation_id_of(event: LinkEvent) -> u64 {
    match event {
        LinkEvent::Received(received) => match received.body {
            Body::TakeOverRequest(request) => request.correlation_id,
            other => panic!("unexpected {other:?}"),
        },
        other => panic!("unexpected {other:?}"),
    }
}

#[tokio::test]
async fn connect_message_and_reply() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (server_events, mut server_receiver) = mpsc::channel(16);
    tokio::spawn(serve(listener, identity("b"), server_events));
    let (client_events, mut client_receiver) = mpsc::channel(16);
    let link = connect(identity("a"), "b".parse().unwrap(), address, client_events);
    let LinkEvent::Up(peer) = next_event(&mut client_receiver).await else {
        panic!("link did not come up")
    };
    assert_eq!(peer, identity("b"));
    assert!(link.send(take_over_request(1)));
    let LinkEvent::Received(received) = next_event(&mut server_receiver).await else {
        panic!("no message received")
    };
    assert_eq!(received.from, identity("a"));
    assert!(received.reply.send(take_over_request(2)));
    assert_eq!(correlation_id_of(next_event(&mut client_receiver).await), 2);
}

#[tokio::test]
async fn connect_unexpected_node() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (server_events, _at_server) = mpsc::channel(16);
    tokio::spawn(serve(listener, identity("c"), server_events));
    let (client_events, mut client_receiver) = mpsc::channel(16);
    let _link = connect(identity("a"), "b".parse().unwrap(), address, client_events);
    let up = timeout(Duration::from_millis(500), client_receiver.recv()).await;
    assert!(up.is_err(), "link to an unexpected node must not come up");
}

#[tokio::test]
async fn connect_peer_restarts() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (server_events, server_receiver) = mpsc::channel(16);
    let server = tokio::spawn(serve(listener, identity("b"), server_events));
    let (client_events, mut client_receiver) = mpsc::channel(16);
    let link = connect(identity("a"), "b".parse().unwrap(), address, client_events);
    assert!(matches!(
        next_event(&mut client_receiver).await,
        LinkEvent::Up(_)
    ));
    server.abort();
    drop(server_receiver);
    let _ = server.await;
    // With the event receiver dropped, the accepted connection closes at its next message.
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    };
    assert!(link.send(take_over_request(1)));
    assert!(matches!(
        next_event(&mut client_receiver).await,
        LinkEvent::Down(_)
    ));
    let (server_events, _at_server) = mpsc::channel(16);
    tokio::spawn(serve(listener, identity("b"), server_events));
    assert!(matches!(
        next_event(&mut client_receiver).await,
        LinkEvent::Up(_)
    ));
}
