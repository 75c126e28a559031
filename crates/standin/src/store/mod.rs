//! Simulated key-value store of the platform: compare-and-swap, leases, watches,
//! rate limits, outages and lost responses.

mod data;
mod rate;
mod routes;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use parsleylatch_types::{RequestsPerSecond, StoreEra};
use serde::Serialize;
use tokio::sync::{Notify, watch};

pub use data::StoreLogEntry;
use data::{StoreData, StoreSnapshot, WriteConditions};
use rate::RateLimiter;

use crate::{
    control::{FaultSpec, StoreFault},
    serve::ServerHandle,
};

/// Settings of a simulated store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Address to serve the protocol on.
    pub address: SocketAddr,
    /// Address to accept fault injection requests on.
    pub control: SocketAddr,
    /// Maximum write rate; lease calls count as writes.
    pub write_rate: RequestsPerSecond,
    /// Maximum read rate; a watch counts as one read, however long it waits.
    pub read_rate: RequestsPerSecond,
    /// Era that responses state; a store without one states none until it is restored.
    pub era: Option<StoreEra>,
}

impl StoreSettings {
    /// Settings for free loopback ports, with the platform's rate limits.
    pub fn local() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            address: any_port,
            control: any_port,
            write_rate: RequestsPerSecond::new(500),
            read_rate: RequestsPerSecond::new(2_000),
            era: None,
        }
    }
}

/// Counters of a store.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct StoreCounters {
    /// Read, list and watch calls.
    pub reads: u64,
    /// Write and delete calls.
    pub writes: u64,
    /// Grant, renew and revoke calls of leases.
    pub leases: u64,
    /// Calls refused by the rate limit.
    pub refused: u64,
}

pub(crate) struct StoreState {
    data: Mutex<StoreData>,
    snapshot: Mutex<Option<StoreSnapshot>>,
    reads: Mutex<RateLimiter>,
    writes: Mutex<RateLimiter>,
    counters: Mutex<StoreCounters>,
    changed: Notify,
    fault: watch::Sender<FaultSpec<StoreFault>>,
    started_at: Instant,
}

impl StoreState {
    fn take_snapshot(&self) {
        let snapshot = lock(&self.data).snapshot(Instant::now());
        *lock(&self.snapshot) = Some(snapshot);
    }

    /// Goes back to the last snapshot, and returns the era that begins; `None` without one.
    fn restore(&self) -> Option<StoreEra> {
        let snapshot = lock(&self.snapshot).clone()?;
        let era = lock(&self.data).restore(Instant::now(), snapshot);
        self.changed.notify_waiters();
        Some(era)
    }

    fn inject_fault(&self, fault_spec: FaultSpec<StoreFault>) {
        if fault_spec.fault == StoreFault::HistoryDropped {
            lock(&self.data).compact_history();
            self.changed.notify_waiters();
        }
        self.fault.send_replace(fault_spec);
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running simulated store.
pub struct Store {
    /// Listeners; stop when dropped.
    pub server: ServerHandle,
    state: Arc<StoreState>,
}

impl Store {
    /// Starts a store on the current Tokio runtime.
    ///
    /// # Errors
    /// Fails if an address can't be bound.
    pub fn start(settings: &StoreSettings) -> io::Result<Self> {
        let no_fault = FaultSpec::immediate(StoreFault::None);
        let state = Arc::new(StoreState {
            data: Mutex::new(StoreData::in_era(settings.era)),
            snapshot: Mutex::default(),
            reads: Mutex::new(RateLimiter::new(settings.read_rate)),
            writes: Mutex::new(RateLimiter::new(settings.write_rate)),
            counters: Mutex::default(),
            changed: Notify::new(),
            fault: watch::Sender::new(no_fault),
            started_at: Instant::now(),
        });
        let protocol_router = routes::protocol(Arc::clone(&state));
        let control_router = routes::control(Arc::clone(&state));
        let server = ServerHandle::start(
            settings.address,
            settings.control,
            protocol_router,
            control_router,
        )?;
        Ok(Self { server, state })
    }

    /// Writes a key unconditionally.
    pub fn put(&self, key: &str, value: &str) {
        let now = Instant::now();
        lock(&self.state.data).write(now, key, Some(value), WriteConditions::default());
        self.state.changed.notify_waiters();
    }

    /// Deletes a key unconditionally.
    pub fn remove(&self, key: &str) {
        lock(&self.state.data).write(Instant::now(), key, None, WriteConditions::default());
        self.state.changed.notify_waiters();
    }

    /// Copies the contents, replacing an earlier copy.
    pub fn take_snapshot(&self) {
        self.state.take_snapshot();
    }

    /// Goes back to the last copy and returns the era that begins; `None` without a copy.
    pub fn restore(&self) -> Option<StoreEra> {
        self.state.restore()
    }

    /// Injects a fault, replacing the current one.
    pub fn inject_fault(&self, fault_spec: FaultSpec<StoreFault>) {
        self.state.inject_fault(fault_spec);
    }

    /// Returns the call counters.
    pub fn counters(&self) -> StoreCounters {
        *lock(&self.state.counters)
    }

    /// Returns all writes in execution order, including those that were rejected.
    pub fn log(&self) -> Vec<StoreLogEntry> {
        lock(&self.state.data).log().to_vec()
    }
}
