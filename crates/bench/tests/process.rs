//! Readings of processes from `/proc` and from the log of a relay.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    process::id,
    thread::sleep,
    time::Duration,
};

use parsleylatch_bench::process::{started_relay_address, unread_bytes};
use test_case::test_case;

/// Sends bytes that are not read, and reads them.
#[test]
fn unread_bytes_received() {
    const SENT: [u8; 10_000] = [b'x'; 10_000];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut receiver, _) = listener.accept().unwrap();
    assert_eq!(unread_bytes(id()).unwrap().get(), 0);
    sender.write_all(&SENT).unwrap();
    // Wait until the bytes have arrived.
    receiver.peek(&mut [0]).unwrap();
    while receiver.peek(&mut [0; SENT.len()]).unwrap() < SENT.len() {
        sleep(Duration::from_millis(1));
    }
    assert_eq!(unread_bytes(id()).unwrap().get(), SENT.len() as u64);
    sender.shutdown(Shutdown::Write).unwrap();
    receiver.read_to_end(&mut Vec::new()).unwrap();
    assert_eq!(unread_bytes(id()).unwrap().get(), 0);
}

#[test_case(r#"{"event":"started","caller":"127.0.0.1:80"}"#, Some("127.0.0.1:80") ; "started")]
#[test_case(r#"{"event":"ready","caller":"127.0.0.1:80"}"#, None ; "other event")]
#[test_case(r#"{"event":"started"}"#, None ; "no address")]
#[test_case("\"started\"", None ; "not an object")]
fn started_relay_address_line(line: &str, address: Option<&str>) {
    let address = address.map(|it| it.parse().unwrap());
    assert_eq!(started_relay_address(line), address);
}
