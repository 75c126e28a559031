//! Loopback TCP proxy in front of one server that can delay or stall traffic and reset
//! connections.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
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

/// Size of the copy buffer of each direction.
const BUFFER_BYTES: usize = 16 << 10;

/// How a link treats data and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkMode {
    /// Forwards data immediately.
    Pass,
    /// Delays each chunk of data.
    Delay(Millis),
    /// Resets existing and new connections.
    Reset,
    /// Holds back data sent to the server.
    StallToServer,
    /// Holds back data sent to the client.
    StallToClient,
    /// Holds back data in both directions.
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

/// Handle of a proxy; clones refer to the same proxy.
#[derive(Clone)]
pub(crate) struct Link {
    /// Address on which the proxy listens.
    pub(crate) address: SocketAddr,
    mode: Arc<watch::Sender<LinkMode>>,
    server_address: Arc<Mutex<Option<SocketAddr>>>,
    open_connections: Arc<AtomicUsize>,
}

impl Link {
    /// Starts a proxy on the current runtime. Without a server address, it resets connections
    /// until one is set.
    ///
    /// # Errors
    /// No port can be bound.
    pub(crate) async fn start(server_address: Option<SocketAddr>) -> io::Result<Self> {
        let socket = TcpListener::bind(("127.0.0.1", 0)).await?;
        let link = Self {
            address: socket.local_addr()?,
            mode: Arc::new(watch::Sender::new(LinkMode::Pass)),
            server_address: Arc::new(Mutex::new(server_address)),
            open_connections: Arc::default(),
        };
        let accepting = link.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = socket.accept().await {
                tokio::spawn(accepting.clone().proxy_connection(client));
            }
        });
        Ok(link)
    }

    /// Changes the mode of existing and new connections.
    pub(crate) fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Sets the server for new connections; existing ones keep theirs.
    pub(crate) fn set_server_address(&self, server_address: SocketAddr) {
        *self
            .server_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(server_address);
    }

    /// Number of connections to the server that the link has open.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
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
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        let is_orderly = self.copy_both_ways(&mut client, &mut server).await;
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
        if !is_orderly {
            reset(&client);
            reset(&server);
        }
    }

    /// Copies data until one direction ends; returns whether it ended without an error or reset.
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
                // The client closed its side; close both, as a caller that disconnects would.
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

/// Makes closing the stream send a TCP reset.
fn reset(stream: &TcpStream) {
    // Fails only if the socket is closed already.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
