//! Callers that open a connection and send nothing on it, or part of a head.

use std::{io, net::SocketAddr, ops::RangeInclusive, time::Duration};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    callers::{CallerContext, Phase},
    environment::HOST,
};

/// Time for which such a connection stays open unless the relay closes it.
const HOLD_MS: RangeInclusive<u64> = 1_000..=8_000;
/// Time until the next connection.
const PAUSE_MS: RangeInclusive<u64> = 0..=500;

/// Opens such connections until the load ends.
pub(crate) async fn run_silent_caller(mut context: CallerContext, mut random: Pcg64Mcg) {
    let loading = context.phase.wait_for(|it| *it != Phase::Waiting).await;
    if loading.map(|_| ()).is_err() {
        return;
    }
    while *context.phase.borrow() == Phase::Load {
        let links = &context.environment.caller_links;
        let address = links[random.random_range(0..links.len())].address;
        let sends_part: bool = random.random();
        let hold = Duration::from_millis(random.random_range(HOLD_MS));
        let pause = Duration::from_millis(random.random_range(PAUSE_MS));
        let mut phase = context.phase.clone();
        tokio::select! {
            // The relay may close the connection at any time.
            _ = tokio::time::timeout(hold, hold_connection(address, sends_part)) => {}
            _ = phase.wait_for(|it| *it == Phase::Done) => return,
        }
        tokio::time::sleep(pause).await;
    }
}

/// Keeps a connection until the relay closes it.
async fn hold_connection(address: SocketAddr, sends_part: bool) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    if sends_part {
        let part = format!("GET /look-up/1 HTTP/1.1\r\nhost: {HOST}\r\n");
        stream.write_all(part.as_bytes()).await?;
    }
    let mut received = [0; 256];
    while stream.read(&mut received).await? > 0 {}
    Ok(())
}
