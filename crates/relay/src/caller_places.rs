//! Places for callers' connections, shared by all traffic threads.
//!
//! Threads share the callers' address, and the kernel distributes connections unevenly, so places
//! are counted for the whole process, and a thread may close a connection of another one.

use std::{
    collections::HashMap,
    env,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use parsleylatch_decide::relay::{
    Admission, ConnectionPlaces, LimitNotice, MemoryPlan, Occupancy, PlaceLimits, PlaceState,
};
use parsleylatch_runtime::descriptor_limit;
use parsleylatch_types::{ByteCount, ConnectionCount, ConnectionNumber, DescriptorCount, Millis};
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use crate::{shared::Shared, telemetry::RelayCounter, traffic::caller_limits};

/// Descriptors that operators keep for files of those that they allow a process.
const FILE_DESCRIPTORS: DescriptorCount = DescriptorCount::new(200);
/// Variable with the descriptors that the operators allow a process, for settings that name none.
const DESCRIPTORS_VARIABLE: &str = "RELAY_FILE_DESCRIPTORS";
/// Maximum part of the descriptors that is kept for files, as a divisor.
const SMALL_PROCESS_PART: u64 = 4;

/// Places and the connections that have them.
pub(crate) struct CallerPlaces {
    state: Mutex<State>,
    process_descriptors: ProcessDescriptors,
    /// Open connections to endpoints.
    endpoint_connections: Arc<AtomicU64>,
    /// A connection has ended.
    released: Notify,
}

struct State {
    places: ConnectionPlaces,
    signals: HashMap<ConnectionNumber, Arc<CloseSignal>>,
}

/// Tells a connection to close.
#[derive(Default)]
struct CloseSignal {
    is_told: AtomicBool,
    told: Notify,
}

/// Limits by the settings and the configuration in force.
fn limits(shared: &Shared, process: ProcessDescriptors) -> PlaceLimits {
    let settings = shared.settings.load();
    let plan = MemoryPlan::new(settings.memory);
    let head = caller_limits(&shared.snapshot.load()).head_bytes;
    let allowed = settings.file_descriptors.or(process.allowed);
    let descriptors = allowed.map_or(process.limit, |it| without_files(it).min(process.limit));
    PlaceLimits::new(&plan, head, descriptors)
}

/// Descriptors that are left for connections of those that the operators allow.
fn without_files(allowed: DescriptorCount) -> DescriptorCount {
    let small_part = DescriptorCount::new(allowed.get() / SMALL_PROCESS_PART);
    allowed.saturating_sub(FILE_DESCRIPTORS.min(small_part))
}

/// Descriptors of the process, as of its start.
#[derive(Clone, Copy)]
struct ProcessDescriptors {
    /// Maximum that the kernel allows.
    limit: DescriptorCount,
    /// What the operators allow a process whose settings don't say; `None` leaves it to the
    /// kernel.
    allowed: Option<DescriptorCount>,
}

impl ProcessDescriptors {
    fn read() -> Self {
        Self {
            limit: descriptor_limit(),
            allowed: allowed_descriptors(),
        }
    }
}

/// Descriptors by [`DESCRIPTORS_VARIABLE`].
fn allowed_descriptors() -> Option<DescriptorCount> {
    let text = env::var(DESCRIPTORS_VARIABLE).ok()?;
    let count = text.parse();
    if let Err(error) = &count {
        log::warn!(
            variable = DESCRIPTORS_VARIABLE, value = text.as_str(), error:% = error;
            "descriptors in the environment can't be read"
        );
    }
    count.ok()
}

impl CallerPlaces {
    /// Places of a process without connections; the limits follow with the first use.
    pub(crate) fn new() -> Self {
        let plan = MemoryPlan::new(ByteCount::ZERO);
        let process_descriptors = ProcessDescriptors::read();
        let none = PlaceLimits::new(&plan, ByteCount::ZERO, process_descriptors.limit);
        Self {
            state: Mutex::new(State {
                places: ConnectionPlaces::new(none),
                signals: HashMap::new(),
            }),
            process_descriptors,
            endpoint_connections: Arc::default(),
            released: Notify::new(),
        }
    }

    /// Counter of the open connections to endpoints.
    pub(crate) fn endpoint_connections(&self) -> &Arc<AtomicU64> {
        &self.endpoint_connections
    }

    /// Numbers for operators.
    pub(crate) fn occupancy(&self, shared: &Shared) -> Occupancy {
        self.refresh_limits(shared);
        self.lock().places.occupancy(self.open_to_endpoints())
    }

    /// Closes resting connections until the others are within the limits in force.
    pub(crate) fn close_excess(&self, shared: &Shared) {
        self.refresh_limits(shared);
        let endpoints = self.open_to_endpoints();
        drop(self.update(shared, |places| {
            places.close_excess(shared.now(), endpoints)
        }));
    }

    /// Closes connections that have rested longest, as the process has no descriptors left;
    /// returns whether one rested.
    pub(crate) fn close_longest(&self, shared: &Shared) -> bool {
        let mut has_closed = false;
        drop(self.update(shared, |places| {
            let closed = places.close_longest(shared.now());
            has_closed = !closed.is_empty();
            closed
        }));
        has_closed
    }

    /// Whether a connection to an endpoint may stay open without a request.
    pub(crate) fn has_idle_descriptors(&self) -> bool {
        let endpoints = self.open_to_endpoints();
        self.lock().places.has_idle_descriptors(endpoints)
    }

    /// Whether the next caller needs a descriptor of the idle connections to endpoints.
    pub(crate) fn needs_idle_descriptors(&self, shared: &Shared) -> bool {
        let endpoints = self.open_to_endpoints();
        let places = &self.lock().places;
        places.needs_idle_descriptors(shared.now(), endpoints)
    }

    /// Whether more connections are served than there is room for.
    pub(crate) fn is_exceeded(&self) -> bool {
        let endpoints = self.open_to_endpoints();
        self.lock().places.is_exceeded(endpoints)
    }

    /// Waits a bounded time until the next connection should be accepted, as many are refused
    /// or close.
    pub(crate) async fn wait_for_places(&self) {
        let started_at = Instant::now();
        loop {
            let released = self.released.notified();
            let delay = self.lock().places.accept_delay();
            if delay == Millis::ZERO {
                return;
            }
            if time::timeout_at(started_at + delay.duration(), released)
                .await
                .is_err()
            {
                return;
            }
        }
    }

    fn open_to_endpoints(&self) -> ConnectionCount {
        ConnectionCount::new(self.endpoint_connections.load(Ordering::Relaxed))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn refresh_limits(&self, shared: &Shared) {
        let limits = limits(shared, self.process_descriptors);
        self.lock().places.set_limits(limits);
    }

    /// Applies a change, and tells the connections that it returns to close.
    fn update(
        &self,
        shared: &Shared,
        change: impl FnOnce(&mut ConnectionPlaces) -> Vec<ConnectionNumber>,
    ) -> MutexGuard<'_, State> {
        let mut state = self.lock();
        let closed = change(&mut state.places);
        state.tell_to_close(shared, &closed);
        state.log_notice(shared, self.open_to_endpoints());
        state
    }
}

impl State {
    fn tell_to_close(&self, shared: &Shared, closed: &[ConnectionNumber]) {
        for number in closed {
            match self.places.state(*number) {
                Some(PlaceState::Leaving) => {}
                Some(PlaceState::Dropping) => {
                    shared.metrics.increment(RelayCounter::ConnectionsDropped);
                }
                _ => shared
                    .metrics
                    .increment(RelayCounter::ConnectionsClosedForRoom),
            }
            if let Some(signal) = self.signals.get(number) {
                signal.is_told.store(true, Ordering::Relaxed);
                signal.told.notify_one();
            }
        }
    }

    fn log_notice(&mut self, shared: &Shared, endpoints: ConnectionCount) {
        let Some(notice) = self.places.take_notice(shared.now(), endpoints) else {
            return;
        };
        let occupancy = self.places.occupancy(endpoints);
        let message = match notice {
            LimitNotice::Reached => "limit on caller connections reached",
            LimitNotice::Left => "limit on caller connections left",
        };
        log::warn!(
            open = occupancy.open.get(),
            resting = occupancy.resting.get(),
            limit = occupancy.limit.get(),
            bound:% = occupancy.bound,
            endpoint_connections = endpoints.get(),
            descriptors = occupancy.descriptors.get(),
            used_descriptors = occupancy.used_descriptors.get();
            "{message}"
        );
    }
}

/// Place of one connection, until it is dropped.
pub(crate) struct CallerPlace {
    shared: Arc<Shared>,
    number: ConnectionNumber,
    admission: Admission,
    signal: Arc<CloseSignal>,
}

impl CallerPlace {
    /// Gives a new connection a place.
    pub(crate) fn take(shared: &Arc<Shared>) -> Self {
        let places = &shared.caller_places;
        places.refresh_limits(shared);
        let endpoints = places.open_to_endpoints();
        let signal = Arc::new(CloseSignal::default());
        let mut admitted = None;
        let mut state = places.update(shared, |places| {
            let it = places.admit(shared.now(), endpoints);
            admitted = Some((it.number, it.admission));
            it.closed
        });
        let (number, admission) = admitted.expect("the change has run");
        state.signals.insert(number, Arc::clone(&signal));
        drop(state);
        let place = Self {
            shared: Arc::clone(shared),
            number,
            admission,
            signal,
        };
        place.count_refusal();
        place
    }

    /// Waits a bounded time for room while other connections close.
    pub(crate) async fn wait_for_room(&mut self) {
        let shared = Arc::clone(&self.shared);
        loop {
            let released = shared.caller_places.released.notified();
            let Admission::Wait(until) = self.admission else {
                return;
            };
            // A connection that ended since the last look is not notified.
            self.look_for_room();
            if matches!(self.admission, Admission::Wait(_)) {
                let until = shared.clock.to_instant(until);
                // When the time is over, the next look refuses the connection.
                let _ = time::timeout_at(until, released).await;
            }
        }
    }

    fn look_for_room(&mut self) {
        let places = &self.shared.caller_places;
        let endpoints = places.open_to_endpoints();
        let now = self.shared.now();
        let mut admission = self.admission;
        drop(places.update(&self.shared, |places| {
            let it = places.look_for_room(now, self.number, endpoints);
            admission = it.admission;
            it.closed
        }));
        self.admission = admission;
        self.count_refusal();
    }

    fn count_refusal(&self) {
        if self.admission == Admission::Refuse {
            let metrics = &self.shared.metrics;
            metrics.increment(RelayCounter::ConnectionsRefused);
        }
    }

    /// Whether its connection is served.
    pub(crate) fn admission(&self) -> Admission {
        self.admission
    }

    /// Records that a request or a part of a head has arrived.
    pub(crate) fn begin(&self) {
        let places = &self.shared.caller_places;
        let endpoints = places.open_to_endpoints();
        let now = self.shared.now();
        let state = places.update(&self.shared, |it| it.begin(now, self.number, endpoints));
        // What has arrived is served.
        self.signal.is_told.store(false, Ordering::Relaxed);
        drop(state);
    }

    /// Records that a response was sent.
    pub(crate) fn rest(&self) {
        let places = &self.shared.caller_places;
        let endpoints = places.open_to_endpoints();
        let now = self.shared.now();
        drop(places.update(&self.shared, |it| it.rest(now, self.number, endpoints)));
    }

    /// Whether its connection has to close unless a request has arrived.
    pub(crate) fn must_close(&self) -> bool {
        self.signal.is_told.load(Ordering::Relaxed)
    }

    /// Returns what waits until a connection that is refused is told to close, which it is after
    /// `time` if it has no response.
    pub(crate) fn wait_for_drop(&self, time: Duration) -> impl Future<Output = ()> + use<> {
        let shared = Arc::clone(&self.shared);
        let signal = Arc::clone(&self.signal);
        let number = self.number;
        async move {
            let told = signal.told.notified();
            if time::timeout(time, told).await.is_err() {
                let places = &shared.caller_places;
                let now = shared.now();
                drop(places.update(&shared, |it| it.end_refusal(now, number)));
                signal.told.notified().await;
            }
        }
    }

    /// Waits until a connection that is served is told to close.
    pub(crate) async fn wait_for_close(&self) {
        if self.admission == Admission::Refuse {
            std::future::pending::<()>().await;
        }
        // A signal from before a request that was served has no effect.
        while !self.must_close() {
            self.signal.told.notified().await;
        }
    }
}

impl Drop for CallerPlace {
    fn drop(&mut self) {
        let places = &self.shared.caller_places;
        let mut state = places.update(&self.shared, |it| {
            it.release(self.number);
            Vec::new()
        });
        state.signals.remove(&self.number);
        drop(state);
        places.released.notify_waiters();
    }
}
