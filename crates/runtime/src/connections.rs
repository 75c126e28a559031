//! The accepted connections of a listener, up to a limit.
//!
//! Carries out the decisions of [`ListenerPlaces`]. What happens at the limit is reported to
//! an observer, and logged at most once a second.

use std::{
    collections::HashMap,
    fmt, io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use parsleylatch_decide::listener_places::{Admission, ListenerPlaces};
use parsleylatch_types::ConnectionNumber;
use tokio::{net::TcpStream, sync::Notify, time};

use crate::accepted_stream::{AcceptedStream, Activity};

/// Minimum time between two log lines of a listener.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed accept, such as when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum time for which new connections wait in succession for those that give way. The ones
/// behind them are refused without a wait until one is admitted without one.
const GIVE_WAY_TIMEOUT: Duration = Duration::from_millis(500);

/// What happened to a connection at the limit of its listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// A resting connection is closed for a new one.
    GaveWay,
    /// A new connection was refused, as all others are in use or the listener closes.
    Refused,
    /// Accepting a connection failed.
    AcceptFailed,
}

/// Connections of one listener.
pub struct Connections {
    /// Name in the log; none if events are neither logged nor observed.
    name: Option<&'static str>,
    limit: usize,
    observe: Box<dyn Fn(ConnectionEvent) + Send + Sync>,
    state: Mutex<State>,
    /// Notified when a connection is closed or in use again.
    freed: Notify,
}

/// Result of an attempt to take a place.
enum Attempt {
    Admitted(Arc<Activity>),
    DelayedUntil(time::Instant),
    Refused,
}

struct State {
    places: ListenerPlaces,
    open: HashMap<ConnectionNumber, Open>,
    /// Until when new connections wait; none if the last one was admitted without a wait.
    wait_deadline: Option<time::Instant>,
    unlogged: Unlogged,
    logged_at: Option<Instant>,
}

/// An open connection.
struct Open {
    activity: Arc<Activity>,
    /// Requests in progress, and one while bytes wait to be written.
    uses: usize,
}

/// Events since the last log line.
#[derive(Default)]
struct Unlogged {
    gave_way: u64,
    refused: u64,
    failed: u64,
    error: Option<io::Error>,
}

impl fmt::Debug for Connections {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("Connections");
        debug.field("name", &self.name).field("limit", &self.limit);
        debug.finish_non_exhaustive()
    }
}

impl Connections {
    /// Creates places for the connections of the listener with a name in the log.
    pub fn new<Observe>(name: &'static str, limit: usize, observe: Observe) -> Arc<Self>
    where
        Observe: Fn(ConnectionEvent) + Send + Sync + 'static,
    {
        Self::with(Some(name), limit, Box::new(observe))
    }

    /// Creates places for connections that were refused and reported already, and wait for the
    /// refusal.
    pub fn for_refusals(limit: usize) -> Arc<Self> {
        Self::with(None, limit, Box::new(|_| {}))
    }

    fn with(
        name: Option<&'static str>,
        limit: usize,
        observe: Box<dyn Fn(ConnectionEvent) + Send + Sync>,
    ) -> Arc<Self> {
        Arc::new(Self {
            name,
            limit,
            observe,
            state: Mutex::new(State {
                places: ListenerPlaces::new(limit),
                open: HashMap::new(),
                wait_deadline: None,
                unlogged: Unlogged::default(),
                logged_at: None,
            }),
            freed: Notify::new(),
        })
    }

    /// Takes a place for an accepted connection. At the limit, the connection that has rested
    /// longest is closed for it.
    ///
    /// # Errors
    /// Returns the connection if all others are in use.
    pub async fn admit(self: &Arc<Self>, stream: TcpStream) -> Result<AcceptedStream, TcpStream> {
        let mut waited_until = None;
        loop {
            let freed = self.freed.notified();
            match self.try_admit(waited_until) {
                Attempt::Admitted(activity) => return Ok(AcceptedStream::new(stream, activity)),
                Attempt::Refused => return Err(stream),
                Attempt::DelayedUntil(deadline) => {
                    // Whether it is notified or not, the places are looked at again.
                    drop(time::timeout_at(deadline, freed).await);
                    waited_until = Some(deadline);
                }
            }
        }
    }

    /// Takes a place. `waited_until` is the deadline of a connection that was delayed before;
    /// after it, the connection is not delayed but refused.
    fn try_admit(self: &Arc<Self>, waited_until: Option<time::Instant>) -> Attempt {
        let mut state = self.state();
        let admission = state.places.admit();
        if let Admission::Delayed {
            closed: Some(closed),
        } = admission
        {
            self.close(&mut state, closed);
        }
        let number = match admission {
            Admission::Admitted(number) => number,
            Admission::Replaces { admitted, closed } => {
                self.close(&mut state, closed);
                admitted
            }
            Admission::Delayed { .. } => {
                let now = time::Instant::now();
                let latest = || *state.wait_deadline.get_or_insert(now + GIVE_WAY_TIMEOUT);
                let deadline = waited_until.unwrap_or_else(latest);
                match now < deadline {
                    true => return Attempt::DelayedUntil(deadline),
                    false => return self.refuse(&mut state),
                }
            }
            Admission::Refused => return self.refuse(&mut state),
        };
        if waited_until.is_none() {
            state.wait_deadline = None;
        }
        let activity = Arc::new(Activity::new(Arc::clone(self), number));
        let open = Open {
            activity: Arc::clone(&activity),
            uses: 0,
        };
        state.open.insert(number, open);
        Attempt::Admitted(activity)
    }

    fn refuse(&self, state: &mut State) -> Attempt {
        state.unlogged.refused += 1;
        self.record(state, ConnectionEvent::Refused);
        Attempt::Refused
    }

    /// Reports that a new connection is refused whatever the places, as the listener closes.
    pub fn record_refusal(&self) {
        self.refuse(&mut self.state());
    }

    /// Number of places.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Reports that accepting failed, closes the connection that has rested longest, as file
    /// descriptors may be used up, and waits until it is closed, or for a short time.
    pub async fn recover_accept(&self, error: io::Error) {
        let freed = self.freed.notified();
        {
            let mut state = self.state();
            state.unlogged.failed += 1;
            state.unlogged.error = Some(error);
            self.record(&mut state, ConnectionEvent::AcceptFailed);
            if let Some(closed) = state.places.close_longest_resting() {
                self.close(&mut state, closed);
            }
        }
        // Whether it is notified or not, accepting is tried again.
        drop(time::timeout(ACCEPT_RETRY_DELAY, freed).await);
    }

    /// Counts a use. The first one takes the place in use and withdraws an order to close.
    pub(crate) fn begin_use(&self, number: ConnectionNumber) {
        let mut state = self.state();
        let Some(open) = state.open.get_mut(&number) else {
            return;
        };
        open.uses += 1;
        if open.uses == 1 {
            open.activity.keep_open();
            state.places.use_connection(number);
            self.freed.notify_one();
        }
    }

    /// Ends a use. The connection rests after the last one.
    pub(crate) fn end_use(&self, number: ConnectionNumber) {
        let mut state = self.state();
        let Some(open) = state.open.get_mut(&number) else {
            return;
        };
        open.uses -= 1;
        if open.uses == 0 {
            state.places.rest(number);
        }
    }

    pub(crate) fn remove(&self, number: ConnectionNumber) {
        let mut state = self.state();
        state.places.remove(number);
        state.open.remove(&number);
        self.freed.notify_one();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self, state: &mut State, number: ConnectionNumber) {
        if let Some(open) = state.open.get(&number) {
            open.activity.close();
        }
        state.unlogged.gave_way += 1;
        self.record(state, ConnectionEvent::GaveWay);
    }

    fn record(&self, state: &mut State, event: ConnectionEvent) {
        (self.observe)(event);
        let Some(name) = self.name else {
            return;
        };
        let is_due = |logged_at: Instant| logged_at.elapsed() >= LOG_INTERVAL;
        if !state.logged_at.is_none_or(is_due) {
            return;
        }
        state.logged_at = Some(Instant::now());
        let unlogged = std::mem::take(&mut state.unlogged);
        let (limit, open) = (self.limit, state.places.open());
        if let Some(error) = unlogged.error {
            let failed = unlogged.failed;
            log::warn!("accepting a {name} connection failed, {failed} times: {error}");
        }
        if unlogged.gave_way + unlogged.refused > 0 {
            let (gave_way, refused) = (unlogged.gave_way, unlogged.refused);
            log::warn!(
                "{name} listener with {open} connections, limit {limit}: {gave_way} resting ones \
                 closed and {refused} new ones refused since the last line"
            );
        }
    }
}
