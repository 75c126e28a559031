//! Links transfer messages in both directions and reconnect.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use parsleylatch_peer::{Identity, LinkEvent, ServeLimits, connect, send_query, serve};
use parsleylatch_types::{ByteCount, Incarnation};
use parsleylatch_wire::{
    PeerCodec,
    journal::TakeOverRequest,
    peer::{Hello, PeerMessage, peer_message::Body},
};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::mpsc,
    time::timeout,
};
use tokio_util::codec::Encoder;

/// Connections that the kernel keeps until they are accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
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
    tokio::spawn(serve(
        listener,
        identity("b"),
        server_events,
        ServeLimits::default(),
        |_| {},
    ));
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
    tokio::spawn(serve(
        listener,
        identity("c"),
        server_events,
        ServeLimits::default(),
        |_| {},
    ));
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
    let server = tokio::spawn(serve(
        listener,
        identity("b"),
        server_events,
        ServeLimits::default(),
        |_| {},
    ));
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
    tokio::spawn(serve(
        listener,
        identity("b"),
        server_events,
        ServeLimits::default(),
        |_| {},
    ));
    assert!(matches!(
        next_event(&mut client_receiver).await,
        LinkEvent::Up(_)
    ));
}

/// Limits that are reached soon.
const LOW_LIMITS: ServeLimits = ServeLimits {
    connections: 2,
    frame: ByteCount::new(8 << 10),
    replies: 1,
    lifetime: Some(Duration::from_secs(1)),
};

async fn start_limited() -> (std::net::SocketAddr, mpsc::Receiver<LinkEvent>) {
    start_with(LOW_LIMITS).await
}

async fn start_with(limits: ServeLimits) -> (std::net::SocketAddr, mpsc::Receiver<LinkEvent>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(ACCEPT_BACKLOG).unwrap();
    let address = listener.local_addr().unwrap();
    let (events, received) = mpsc::channel(16);
    tokio::spawn(serve(listener, identity("b"), events, limits, |_| {}));
    (address, received)
}

/// Bytes of a frame's header and of a part of its content.
fn unfinished_frame(length: u32) -> Vec<u8> {
    [&length.to_be_bytes()[..], &[0; 16]].concat()
}

/// A first message beyond its limit ends the connection before it is received.
#[test_case(1 << 20 ; "below the limit on frames")]
#[test_case(u32::MAX ; "beyond any limit")]
#[tokio::test]
async fn large_hello_rejected(length: u32) {
    let (address, _events) = start_limited().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&unfinished_frame(length)).await.unwrap();
    let read = timeout(Duration::from_millis(1_000), stream.read(&mut [0; 64])).await;
    assert!(matches!(read, Ok(Ok(0) | Err(_))), "{read:?}");
}

/// Connections that stay silent don't keep out queries for long.
#[tokio::test]
async fn silent_connections_closed() {
    let (address, mut events) = start_limited().await;
    let silent = [
        connect_silently(address).await,
        connect_silently(address).await,
    ];
    let answering = tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            if let LinkEvent::Received(received) = event {
                received.reply.send(take_over_request(2));
            }
        }
    });
    let query = take_over_request(1);
    let reply = send_query(&identity("a"), address, query, EVENT_TIMEOUT).await;
    assert!(reply.is_ok(), "{reply:?}");
    drop(silent);
    answering.abort();
}

/// A node whose connections others kept without a message couldn't be asked by anyone else.
#[test_case(None ; "kept for ever")]
#[test_case(Some(Duration::from_secs(10)) ; "closed after a time")]
#[tokio::test]
async fn resting_connections_give_way(lifetime: Option<Duration>) {
    let limits = ServeLimits {
        lifetime,
        ..LOW_LIMITS
    };
    let (address, mut events) = start_with(limits).await;
    let mut resting = Vec::new();
    for _ in 0..limits.connections {
        resting.push(connect_silently(address).await);
    }
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            if let LinkEvent::Received(received) = event {
                received.reply.send(take_over_request(2));
            }
        }
    });
    let query = take_over_request(1);
    let reply = send_query(&identity("c"), address, query, Duration::from_secs(1)).await;
    assert!(reply.is_ok(), "{reply:?}");
}

/// Time in which the node reads what was sent.
const READ_TIME: Duration = Duration::from_millis(200);
/// Time after which a message that doesn't go on gives up its connection.
const UNFINISHED_LIMIT: Duration = Duration::from_secs(15);

fn encoded(body: Body) -> BytesMut {
    let mut bytes = BytesMut::new();
    let message = PeerMessage { body: Some(body) };
    PeerCodec::default().encode(message, &mut bytes).unwrap();
    bytes
}

/// A connection on which a part of a message had arrived was closed as one that rests.
#[test_case(2 ; "in its length")]
#[test_case(4 ; "after its length")]
#[test_case(6 ; "in its content")]
#[tokio::test]
async fn unfinished_message_received(sent: usize) {
    let limits = ServeLimits {
        lifetime: None,
        ..LOW_LIMITS
    };
    let (address, mut events) = start_with(limits).await;
    let mut sending = connect_silently(address).await;
    let message = encoded(take_over_request(7));
    sending.write_all(&message[..sent]).await.unwrap();
    let mut others = Vec::new();
    for _ in 0..limits.connections {
        tokio::time::sleep(READ_TIME).await;
        others.push(connect_silently(address).await);
    }
    tokio::time::sleep(READ_TIME).await;
    sending.write_all(&message[sent..]).await.unwrap();
    assert_eq!(correlation_id_of(next_event(&mut events).await), 7);
}

/// Messages that don't go on don't keep out others for ever.
#[tokio::test]
async fn unfinished_messages_closed() {
    let limits = ServeLimits {
        lifetime: None,
        ..LOW_LIMITS
    };
    let (address, mut events) = start_with(limits).await;
    let mut unfinished = Vec::new();
    for _ in 0..limits.connections {
        let mut stream = connect_silently(address).await;
        stream.write_all(&unfinished_frame(64)).await.unwrap();
        unfinished.push(stream);
    }
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            if let LinkEvent::Received(received) = event {
                received.reply.send(take_over_request(2));
            }
        }
    });
    tokio::time::sleep(READ_TIME).await;
    let started_at = Instant::now();
    loop {
        let query = take_over_request(1);
        let reply = send_query(&identity("c"), address, query, EVENT_TIMEOUT).await;
        if reply.is_ok() {
            return;
        }
        assert!(started_at.elapsed() < UNFINISHED_LIMIT, "{reply:?}");
        tokio::time::sleep(READ_TIME).await;
    }
}

/// A node whose connections all wait for replies let further nodes wait without a word.
#[tokio::test]
async fn query_refused_at_limit() {
    let (address, mut events) = start_with(LOW_LIMITS).await;
    let mut unanswered = Vec::new();
    for number in 0..LOW_LIMITS.connections as u64 {
        let query = take_over_request(number);
        tokio::spawn(async move {
            let _ = send_query(&identity("a"), address, query, EVENT_TIMEOUT).await;
        });
        unanswered.push(next_event(&mut events).await);
    }
    let started_at = Instant::now();
    let query = take_over_request(9);
    let reply = send_query(&identity("c"), address, query, EVENT_TIMEOUT).await;
    assert!(reply.is_err(), "{reply:?}");
    let waited = started_at.elapsed();
    assert!(waited < Duration::from_millis(500), "{waited:?}");
    drop(unanswered);
}

/// Nodes that ask at the same time, and the places for them.
const BURST_QUERIES: u64 = 200;
const BURST_PLACES: usize = 64;

/// Queries that arrive together, more than the places, are answered, or refused at once.
#[tokio::test]
async fn burst_of_queries_ends() {
    let limits = ServeLimits {
        connections: BURST_PLACES,
        ..LOW_LIMITS
    };
    let (address, mut events) = start_with(limits).await;
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            if let LinkEvent::Received(received) = event {
                received.reply.send(take_over_request(2));
            }
        }
    });
    let asking = (0..BURST_QUERIES).map(|number| {
        let query = take_over_request(number);
        async move { send_query(&identity("a"), address, query, EVENT_TIMEOUT).await }
    });
    let asking = futures::future::join_all(asking);
    let replies = timeout(Duration::from_secs(1), asking).await.unwrap();
    let answered = replies.iter().filter(|it| it.is_ok()).count();
    println!("{answered} of {BURST_QUERIES} answered");
    assert!(answered > BURST_PLACES, "{replies:?}");
}

/// Opens a connection that sends nothing after its first message.
async fn connect_silently(address: std::net::SocketAddr) -> TcpStream {
    let hello = Body::Hello(Hello {
        node_id: "a".to_owned(),
        incarnation: 1,
        failure_domain: "domain-1".to_owned(),
        region: "region-1".to_owned(),
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&encoded(hello)).await.unwrap();
    assert!(stream.read(&mut [0; 64]).await.unwrap() > 0);
    stream
}
