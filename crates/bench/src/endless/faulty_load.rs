//! Faulty endpoints and callers, on a thread of their own.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use eyre::{Result, WrapErr, eyre};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    task::JoinSet,
    time::sleep,
};

use super::{
    deployment::{BODY_LIMIT_BYTES, request_head},
    form::{Form, Target},
};

const MAX_REQUEST_HEAD_BYTES: usize = 64 << 10;
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Pause of a faulty caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(50);

/// What the faulty requests have in common.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultySpec {
    /// Form of the endless message.
    pub(crate) form: Form,
    /// Whether callers read their responses.
    pub(crate) callers_read: bool,
    /// Requests at the same time.
    pub(crate) requests: usize,
}

/// Faulty endpoints, which serve until the value is dropped, and callers.
pub(crate) struct FaultyLoad {
    /// Relay that the callers send to, if they do.
    relay: watch::Sender<Option<SocketAddr>>,
    started: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl FaultyLoad {
    /// Starts the endpoints.
    ///
    /// # Errors
    /// The thread can't be started.
    pub(crate) fn start(spec: FaultySpec, listeners: Vec<TcpListener>) -> Result<Self> {
        let (relay, receiver) = watch::channel(None);
        let started = Arc::default();
        let thread = parsleylatch_runtime::spawn("faulty-load", {
            let started = Arc::clone(&started);
            move |runtime| runtime.block_on(run(spec, listeners, receiver, started))
        })?;
        Ok(Self {
            relay,
            started,
            thread,
        })
    }

    /// Starts the callers.
    pub(crate) fn send_to(&self, relay: SocketAddr) {
        self.relay.send_replace(Some(relay));
    }

    /// Ends all requests.
    pub(crate) fn stop_callers(&self) {
        self.relay.send_replace(None);
    }

    /// Stops the endpoints and returns the number of requests that were sent.
    ///
    /// # Errors
    /// The thread panicked.
    pub(crate) fn finish(self) -> Result<u64> {
        drop(self.relay);
        self.thread
            .join()
            .map_err(|_| eyre!("the thread of the faulty load panicked"))?;
        Ok(self.started.load(Ordering::Relaxed))
    }
}

async fn run(
    spec: FaultySpec,
    listeners: Vec<TcpListener>,
    mut relay: watch::Receiver<Option<SocketAddr>>,
    started: Arc<AtomicU64>,
) {
    for listener in listeners {
        tokio::spawn(async move {
            if let Err(error) = serve(spec.form, listener).await {
                eprintln!("faulty endpoint: {error:#}");
            }
        });
    }
    let mut callers = JoinSet::new();
    while relay.changed().await.is_ok() {
        let address = *relay.borrow_and_update();
        match address {
            Some(address) => {
                for index in 0..spec.requests {
                    callers.spawn(call_repeatedly(spec, address, index, Arc::clone(&started)));
                }
            }
            None => callers.shutdown().await,
        }
    }
}

async fn serve(form: Form, listener: TcpListener) -> Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let (stream, _) = listener.accept().await.wrap_err("accepting a relay")?;
        tokio::spawn(async move {
            // The relay closes the connection of a faulty response.
            let _ = respond(form, stream).await;
        });
    }
}

/// Answers probes, and any other request without end.
async fn respond(form: Form, mut stream: TcpStream) -> io::Result<()> {
    loop {
        let Some(head) = read_head(&mut stream).await? else {
            return Ok(());
        };
        let probe_body = match head.split_whitespace().nth(1) {
            Some("/v1/state") => r#"{"running":0,"waiting":0,"runs":[]}"#,
            Some("/v1/prompt-parts") => "[]",
            _ => break send_endless(form, &mut stream, &head).await,
        };
        let length = probe_body.len();
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{probe_body}");
        stream.write_all(response.as_bytes()).await?;
    }
}

async fn send_endless(form: Form, stream: &mut TcpStream, request_head: &str) -> io::Result<()> {
    let id = request_head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("request-id")
            .then(|| value.trim())
    });
    let start = form.response_start(id.unwrap_or_default());
    stream.write_all(start.as_bytes()).await?;
    send_pieces(form, stream).await
}

async fn send_pieces(form: Form, stream: &mut TcpStream) -> io::Result<()> {
    for number in 0.. {
        stream.write_all(&form.piece(number)).await?;
    }
    Ok(())
}

/// Reads the head of a request; `None` at the end of the connection.
async fn read_head(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        if head.len() > MAX_REQUEST_HEAD_BYTES {
            return Err(io::Error::other("the head of a request is too long"));
        }
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}

async fn call_repeatedly(
    spec: FaultySpec,
    relay: SocketAddr,
    index: usize,
    started: Arc<AtomicU64>,
) {
    for count in 0.. {
        started.fetch_add(1, Ordering::Relaxed);
        // A relay that ends the connection of a faulty request is what is expected.
        let _ = call(spec, relay, &format!("faulty-{index}-{count}")).await;
        sleep(CALLER_PAUSE).await;
    }
}

/// Sends one faulty request and returns once the relay has ended the connection.
async fn call(spec: FaultySpec, relay: SocketAddr, id: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(relay).await?;
    let framing = match spec.form {
        Form::RequestChunkSizeDigits => "transfer-encoding: chunked".to_owned(),
        Form::StalledRequestBodies => format!("content-length: {BODY_LIMIT_BYTES}"),
        _ => "content-length: 0".to_owned(),
    };
    let path = match spec.form.target() {
        Target::FaultyCall => "/call/1",
        Target::FaultyStream => "/stream/1",
        Target::Sound => "/sound/1",
    };
    let head = request_head("POST", path, id, &framing);
    stream.write_all(head.as_bytes()).await?;
    match spec.form {
        Form::RequestChunkSizeDigits => return send_pieces(spec.form, &mut stream).await,
        Form::StalledRequestBodies => {
            stream.write_all(&vec![b'x'; BODY_LIMIT_BYTES - 1]).await?;
        }
        _ => {}
    }
    if !spec.callers_read {
        std::future::pending::<()>().await;
    }
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}
