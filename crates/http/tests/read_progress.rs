//! Connections whose reads are limited: bytes without progress fail, and a task that reads
//! without end lets others run.

use std::{cell::Cell, io, rc::Rc};

use futures::poll;
use parsleylatch_http::{ReadProgress, inspect_heads, limit_reads};
use test_case::test_case;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, duplex, join, repeat, sink},
    runtime::{Builder, Runtime},
    task::{LocalSet, spawn_local, yield_now},
};

/// Bytes that a peer may send without progress.
const LIMIT_BYTES: usize = 64 << 10;
/// Bytes that a connection reads before its task yields.
const TURN_BYTES: usize = 8 << 10;

fn runtime() -> Runtime {
    Builder::new_current_thread().build().unwrap()
}

/// Connection whose peer sends one byte without end.
fn endless() -> impl AsyncRead + AsyncWrite + Send + Unpin {
    join(repeat(b'0'), sink())
}

/// Reads up to a number of bytes; returns those read before an error, and the error.
async fn read_bytes<Io>(io: &mut Io, bytes: usize) -> (usize, Option<io::Error>)
where
    Io: AsyncRead + Unpin,
{
    let mut buffer = vec![0; 400 << 10];
    let mut total = 0;
    while total < bytes {
        match io.read(&mut buffer).await {
            Ok(read) => total += read,
            Err(error) => return (total, Some(error)),
        }
    }
    (total, None)
}

#[test]
fn limit_reads_without_progress_fails() {
    runtime().block_on(async {
        let (mut io, _progress) = limit_reads(endless());
        let (read, error) = read_bytes(&mut io, 10 * LIMIT_BYTES).await;
        assert!((LIMIT_BYTES..=LIMIT_BYTES + TURN_BYTES).contains(&read));
        let error = error.unwrap();
        assert_eq!(error.kind(), io::ErrorKind::InvalidData);
        assert!(error.to_string().contains("65536 bytes without a head"));
    });
}

#[test]
fn limit_reads_with_progress_goes_on() {
    runtime().block_on(async {
        let (mut io, progress) = limit_reads(endless());
        for _ in 0..100 {
            progress.restart();
            let (_, error) = read_bytes(&mut io, LIMIT_BYTES / 2).await;
            assert!(error.is_none());
        }
    });
}

/// Runs a task beside one that reads; returns how often it ran.
async fn count_turns<Io>(mut io: Io, progress: &ReadProgress, bytes: usize) -> usize
where
    Io: AsyncRead + Unpin,
{
    let turns = Rc::new(Cell::new(0));
    let counted = Rc::clone(&turns);
    let other = spawn_local(async move {
        loop {
            counted.set(counted.get() + 1);
            yield_now().await;
        }
    });
    for _ in 0..bytes / TURN_BYTES {
        let (_, error) = read_bytes(&mut io, TURN_BYTES).await;
        assert!(error.is_none());
        progress.restart();
    }
    other.abort();
    turns.get()
}

#[test]
fn limit_reads_endless_others_run() {
    LocalSet::new().block_on(&runtime(), async {
        let (io, progress) = limit_reads(endless());
        let turns = count_turns(io, &progress, 20 * TURN_BYTES).await;
        assert!((15..=25).contains(&turns), "{turns}");
    });
}

#[test]
fn inspect_heads_endless_others_run() {
    LocalSet::new().block_on(&runtime(), async {
        let (io, _inspection, progress) = inspect_heads(endless());
        let turns = count_turns(io, &progress, 20 * TURN_BYTES).await;
        assert!((15..=25).contains(&turns), "{turns}");
    });
}

/// The bytes and their order don't depend on the sizes of reads.
#[test_case(1_000 ; "small reads")]
#[test_case(TURN_BYTES ; "reads of a turn")]
#[test_case(400 << 10 ; "large reads")]
fn limit_reads_bytes_unchanged(size: usize) {
    runtime().block_on(async {
        let (near, mut far) = duplex(100_000);
        let (mut io, progress) = limit_reads(near);
        let sent: Vec<u8> = (0..1_000_000_u32)
            .map(|it| (it.wrapping_mul(2_654_435_761) >> 24) as u8)
            .collect();
        let writer = tokio::spawn({
            let sent = sent.clone();
            async move { far.write_all(&sent).await.unwrap() }
        });
        let mut received = Vec::new();
        let mut buffer = vec![0; size];
        loop {
            match io.read(&mut buffer).await.unwrap() {
                0 => break,
                read => received.extend_from_slice(&buffer[..read]),
            }
            progress.restart();
        }
        writer.await.unwrap();
        assert!(received == sent);
    });
}

/// A connection that waited for bytes reads them at once, however many it read before: what
/// follows a timeout is not to find it yielding.
#[test_case(1 ; "few bytes before")]
#[test_case(TURN_BYTES ; "a whole turn before")]
#[test_case(3 * TURN_BYTES ; "several turns before")]
fn limit_reads_after_waiting_read_at_once(before: usize) {
    runtime().block_on(async {
        let (near, mut far) = duplex(1 << 20);
        let (mut io, _progress) = limit_reads(near);
        far.write_all(&vec![b'x'; before]).await.unwrap();
        let mut buffer = vec![0; TURN_BYTES];
        let (read, _) = read_bytes(&mut io, before).await;
        assert_eq!(read, before);
        // Yields at most once, and then waits for bytes.
        assert!(poll!(std::pin::pin!(io.read(&mut buffer))).is_pending());
        assert!(poll!(std::pin::pin!(io.read(&mut buffer))).is_pending());
        far.write_all(b"y").await.unwrap();
        assert!(poll!(std::pin::pin!(io.read(&mut buffer))).is_ready());
    });
}
