//! Bounds on what a listener's connections hold.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use parsleylatch_http::{NodelayListener, bind_group, serve_status};
use test_case::test_case;
use viz::{Listener, Result, Router};

/// Most bytes that the kernel may hold of a connection that is not read.
const RECEIVED_LIMIT: usize = 16 << 10;
/// Time within which the server ends a connection without a complete head.
const HEAD_LIMIT: Duration = Duration::from_secs(15);

/// A client that writes without end fills a bounded buffer of a connection that is not read.
#[test_case(100 ; "small writes")]
#[test_case(1_448 ; "writes of a packet")]
#[test_case(65_536 ; "large writes")]
#[tokio::test]
async fn unread_bytes_bounded(write_bytes: usize) {
    let (address, listeners) = bind_group("127.0.0.1:0".parse().unwrap(), 1).unwrap();
    let listener = NodelayListener::from_std(listeners.into_iter().next().unwrap()).unwrap();
    let mut client = TcpStream::connect(address).unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    let accepted = accepted.into_std().unwrap();
    client.set_nonblocking(true).unwrap();
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(1) {
        match client.write(&vec![b'x'; write_bytes]) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                thread::sleep(Duration::from_millis(5));
            }
            Err(error) => panic!("{error}"),
        }
    }
    let received = accepted.peek(&mut vec![0; 16 << 20]).unwrap();
    println!("{received} bytes received and not read");
    assert!(received <= RECEIVED_LIMIT, "{received} bytes");
}

async fn answer(_: viz::Request) -> Result<&'static str> {
    Ok("ok")
}

/// A connection that sends no complete head, or nothing at all, is closed.
#[test_case("" ; "nothing")]
#[test_case("GET / HTTP/1.1\r\nHost: x\r\nX-Part: " ; "part of a head")]
#[test_case("GET / HTTP/1.1\r\nHost: x\r\n\r\n" ; "nothing after a response")]
#[tokio::test]
async fn idle_connection_closed(text: &'static str) {
    let (address, listeners) = bind_group("127.0.0.1:0".parse().unwrap(), 1).unwrap();
    let listener = listeners.into_iter().next().unwrap();
    let listener = NodelayListener::from_std(listener).unwrap();
    let router = Router::new().get("/", answer);
    tokio::spawn(serve_status(listener, router, "status", |_| {}));
    let is_closed = tokio::task::spawn_blocking(move || {
        let mut client = TcpStream::connect(address).unwrap();
        client.write_all(text.as_bytes()).unwrap();
        client.set_read_timeout(Some(HEAD_LIMIT)).unwrap();
        client.read_to_end(&mut Vec::new()).is_ok()
    });
    assert!(is_closed.await.unwrap(), "open after {HEAD_LIMIT:?}");
}

/// Clients that connect while the listener is looked at, and rounds of that.
const CLOSING_CLIENTS: usize = 4;
const CLOSING_ROUNDS: usize = 150;
/// Connections of each client; together they don't fill the queue of the listener.
const CLIENT_CONNECTIONS: usize = 200;
/// Connections between two pauses of a client, so that looks find some of them only.
const CONNECTIONS_AT_ONCE: usize = 10;

/// A connection that a client sees established is among those that the listener returns, until
/// a look finds nobody after the last client has connected; then the listener is closed.
#[tokio::test]
async fn looking_until_quiet_keeps_established_connections() {
    let mut established = 0;
    let mut returned = 0;
    let mut looks_with_waiting = 0;
    for _ in 0..CLOSING_ROUNDS {
        let (address, listeners) = bind_group("127.0.0.1:0".parse().unwrap(), 1).unwrap();
        let listener = listeners.into_iter().next().unwrap();
        let listener = NodelayListener::from_std(listener).unwrap();
        let clients: Vec<_> = (0..CLOSING_CLIENTS)
            .map(|_| thread::spawn(move || connect_again(address)))
            .collect();
        loop {
            let have_ended = clients.iter().all(thread::JoinHandle::is_finished);
            let (waiting, failure) = listener.accept_waiting();
            assert!(failure.is_none(), "{failure:?}");
            returned += waiting.len();
            looks_with_waiting += usize::from(!waiting.is_empty());
            if have_ended && waiting.is_empty() {
                break;
            }
            thread::sleep(Duration::from_micros(200));
        }
        drop(listener);
        let connections = clients.into_iter().map(|it| it.join().unwrap().len());
        established += connections.sum::<usize>();
        assert!(TcpStream::connect(address).is_err(), "still listening");
    }
    assert_eq!(
        established,
        CLOSING_ROUNDS * CLOSING_CLIENTS * CLIENT_CONNECTIONS
    );
    assert_eq!(established, returned, "established, and returned");
    assert!(looks_with_waiting > CLOSING_ROUNDS, "{looks_with_waiting}");
}

/// A client's connections, each of which it sees established before the next.
fn connect_again(address: SocketAddr) -> Vec<TcpStream> {
    let connect = |number: usize| {
        if number.is_multiple_of(CONNECTIONS_AT_ONCE) {
            thread::sleep(Duration::from_millis(1));
        }
        TcpStream::connect(address).unwrap()
    };
    (0..CLIENT_CONNECTIONS).map(connect).collect()
}
