//! Loopback proxy in front of one listener: passes bytes on, late, one way only,
//! not at all, or resets connections.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use parsleylatch_types::Millis;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
};

/// Bytes that are carried at once.
const BUFFER_BYTES: usize = 16 << 10;

/// What a link does with bytes and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkMode {
    /// Passes everything on.
    Pass,
    /// Passes each piece on after a while.
    Delay(Millis),
    /// Resets connections, old and new.
    Reset,
    /// Holds back what goes to the listener.
    StallToServer,
    /// Holds back what comes from the listener.
    StallToClient,
    /// Holds back everything.
    StallBoth,
}

impl LinkMode {
    fn stalls_to_server(self) -> bool {
        matches!(self, Self::StallToServer | Self::StallBoth)
    }

    fn stalls_to_client(self) -> bool {
        matches!(self, Self::StallToClient | Self::StallBoth)
    }

    fn delay(self) -> Duration {
        match self {
            Self::Delay(delay_ms) => delay_ms.duration(),
            _ => Duration::ZERO,
        }
    }
}

/// A link; copies are the same one.
#[derive(Clone)]
pub(crate) struct Link {
    /// Address that takes connections.
    pub(crate) address: SocketAddr,
    mode: Arc<watch::Sender<LinkMode>>,
    server_address: Arc<Mutex<Option<SocketAddr>>>,
}

impl Link {
    /// Starts a link on the current runtime, to a listener that may come later.
    ///
    /// # Errors
    /// The system's reason if no port can be bound.
    pub(crate) async fn start(server_address: Option<SocketAddr>) -> io::Result<Self> {
        let socket = TcpListener::bind(("127.0.0.1", 0)).await?;
        let link = Self {
            address: socket.local_addr()?,
            mode: Arc::new(watch::Sender::new(LinkMode::Pass)),
            server_address: Arc::new(Mutex::new(server_address)),
        };
        let accepting = link.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = socket.accept().await {
                tokio::spawn(accepting.clone().proxy_connection(client));
            }
        });
        Ok(link)
    }

    /// Changes what becomes of bytes and connections.
    pub(crate) fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Leads new connections to another listener.
    pub(crate) fn set_server_address(&self, server_address: SocketAddr) {
        *self
            .server_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(server_address);
    }

    async fn proxy_connection(self, mut client: TcpStream) {
        let server_address = *self
            .server_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_reset = *self.mode.borrow() == LinkMode::Reset;
        let server = match server_address {
            Some(address) if !is_reset => TcpStream::connect(address).await.ok(),
            _ => None,
        };
        let Some(mut server) = server else {
            return reset(&client);
        };
        let is_orderly = self.copy_both_ways(&mut client, &mut server).await;
        if !is_orderly {
            reset(&client);
            reset(&server);
        }
    }

    /// Whether both sides ended their connections.
    async fn copy_both_ways(&self, client: &mut TcpStream, server: &mut TcpStream) -> bool {
        let nodelay = client.set_nodelay(true).and(server.set_nodelay(true));
        if nodelay.is_err() {
            return false;
        }
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        let mut mode = self.mode.subscribe();
        tokio::select! {
            forward = copy_one_way(from_client, to_server, self.mode.subscribe(), LinkMode::stalls_to_server) => {
                // A caller that has left, as endpoints and relays see it.
                forward.is_ok()
            }
            back = copy_one_way(from_server, to_client, self.mode.subscribe(), LinkMode::stalls_to_client) => {
                back.is_ok()
            }
            _ = mode.wait_for(|mode| *mode == LinkMode::Reset) => false,
        }
    }
}

async fn copy_one_way(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut mode: watch::Receiver<LinkMode>,
    stalls: fn(LinkMode) -> bool,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        let allowed = mode.wait_for(|mode| !stalls(*mode)).await;
        let delay = allowed.map(|mode| mode.delay());
        tokio::time::sleep(delay.map_err(io::Error::other)?).await;
        match read? {
            0 => return to.shutdown().await,
            read => to.write_all(&buffer[..read]).await?,
        }
    }
}

/// Makes the end of a connection a reset.
fn reset(stream: &TcpStream) {
    // A socket that is gone already needs none.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
