//! Connections in use stay open, whichever threads use and close them.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, Waker},
    thread,
    time::{Duration, Instant},
};

use futures::FutureExt;
use parsleylatch_runtime::{AcceptedStream, ConnectionEvent, Connections};
use test_case::test_case;
use tokio::{
    io::{AsyncRead, ReadBuf},
    net::{TcpListener, TcpStream},
    runtime::Handle,
};

/// Time for which threads use and close a connection.
const CONTENTION: Duration = Duration::from_secs(1);

/// Returns both ends of a connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (client.unwrap(), accepted.unwrap().0)
}

/// Whether the input of a connection has ended.
fn has_ended(stream: &mut AcceptedStream) -> bool {
    let mut bytes = [0];
    let mut context = Context::from_waker(Waker::noop());
    let read = Pin::new(stream).poll_read(&mut context, &mut ReadBuf::new(&mut bytes));
    matches!(read, Poll::Ready(_))
}

/// A connection that a thread closed while another began to use it ended in mid-request.
#[test_case(0 ; "one request at a time")]
#[test_case(1 ; "while another request ends")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn close_request_begins(other_users: usize) {
    let connections = Connections::new("test", 1, |_| {});
    let (_client, accepted) = connection().await;
    let mut stream = connections.admit(accepted).await.unwrap();
    let handle = stream.handle();
    let is_over = Arc::new(AtomicBool::new(false));
    let runtime = Handle::current();
    let closing = thread::spawn({
        let is_over = Arc::clone(&is_over);
        move || {
            let _entered = runtime.enter();
            while !is_over.load(Ordering::Relaxed) {
                let error = io::Error::other("no descriptors");
                connections.recover_accept(error).now_or_never();
            }
        }
    });
    let others = (0..other_users).map(|_| {
        let (handle, is_over) = (handle.clone(), Arc::clone(&is_over));
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                drop(handle.begin_use());
            }
        })
    });
    let others: Vec<_> = others.collect();
    let started_at = Instant::now();
    let mut ended = 0;
    while started_at.elapsed() < CONTENTION {
        let in_use = handle.begin_use();
        ended += usize::from(has_ended(&mut stream));
        drop(in_use);
    }
    is_over.store(true, Ordering::Relaxed);
    closing.join().unwrap();
    others.into_iter().for_each(|it| it.join().unwrap());
    assert_eq!(ended, 0, "reads in mid-request that found the end");
}

/// Places of a listener, and connections that arrive when none of them gets a turn to close.
const FEW_PLACES: usize = 4;
const QUEUED_CONNECTIONS: usize = 12;
/// Time within which all of them are admitted or refused.
const QUEUE_LIMIT: Duration = Duration::from_secs(2);

/// A listener whose connections got no turn to close waited for one anew for each new one.
#[tokio::test]
async fn admit_none_closes() {
    let refused = Arc::new(AtomicUsize::new(0));
    let connections = Connections::new("test", FEW_PLACES, {
        let refused = Arc::clone(&refused);
        move |event| {
            if event == ConnectionEvent::Refused {
                refused.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    let mut kept = Vec::new();
    let started_at = Instant::now();
    for _ in 0..FEW_PLACES + QUEUED_CONNECTIONS {
        let (client, accepted) = connection().await;
        kept.push((client, connections.admit(accepted).await));
    }
    let waited = started_at.elapsed();
    let failed = kept.iter().filter(|(_, admitted)| admitted.is_err());
    let failed = failed.count();
    assert!(waited < QUEUE_LIMIT, "{waited:?}");
    assert!(
        failed >= QUEUED_CONNECTIONS - FEW_PLACES,
        "{failed} refused"
    );
    assert_eq!(failed, refused.load(Ordering::Relaxed));

    // Once one is closed, the next one is admitted again.
    drop(kept.remove(0));
    let (_client, accepted) = connection().await;
    assert!(connections.admit(accepted).await.is_ok());
}
