//! Stand-in of the platform's key-value service: compare-and-swap, leases,
//! watches, call rates, outages and lost answers.

mod data;
mod rate;
mod routes;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use parsleylatch_types::RequestsPerSecond;
use serde::Serialize;
use tokio::sync::{Notify, watch};

use data::StoreData;
pub use data::StoreLogEntry;
use rate::RateLimiter;

use crate::{
    control::{FaultSpec, StoreFault},
    serve::ServerHandle,
};

/// How a store behaves.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Address of the protocol.
    pub address: SocketAddr,
    /// Address for fault orders.
    pub control: SocketAddr,
    /// Writes that it takes a second; leases count as writes.
    pub write_rate: RequestsPerSecond,
    /// Reads that it takes a second; a waiting watch counts as one.
    pub read_rate: RequestsPerSecond,
}

impl StoreSettings {
    /// Store on ports that the kernel chooses, with the platform's rates.
    pub fn local() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            address: any_port,
            control: any_port,
            write_rate: RequestsPerSecond::new(500),
            read_rate: RequestsPerSecond::new(2_000),
        }
    }
}

/// Counters of a store.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct StoreCounters {
    /// Reads, listings and watches.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Lease calls.
    pub leases: u64,
    /// Calls over the rate.
    pub refused: u64,
}

pub(crate) struct StoreState {
    data: Mutex<StoreData>,
    reads: Mutex<RateLimiter>,
    writes: Mutex<RateLimiter>,
    counters: Mutex<StoreCounters>,
    changed: Notify,
    fault: watch::Sender<FaultSpec<StoreFault>>,
    started_at: Instant,
}

impl StoreState {
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

/// A running store.
pub struct Store {
    /// Addresses and tasks.
    pub server: ServerHandle,
    state: Arc<StoreState>,
}

impl Store {
    /// Starts a store on the current runtime.
    ///
    /// # Errors
    /// The system's reason if an address can't be bound.
    pub fn start(settings: &StoreSettings) -> io::Result<Self> {
        let no_fault = FaultSpec::immediate(StoreFault::None);
        let state = Arc::new(StoreState {
            data: Mutex::default(),
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

    /// Writes a key, whatever it holds.
    pub fn put(&self, key: &str, value: &str) {
        let now = Instant::now();
        lock(&self.state.data).write(now, key, Some(value), None, None);
        self.state.changed.notify_waiters();
    }

    /// Deletes a key, whatever it holds.
    pub fn remove(&self, key: &str) {
        lock(&self.state.data).write(Instant::now(), key, None, None, None);
        self.state.changed.notify_waiters();
    }

    /// Gives a fault order.
    pub fn inject_fault(&self, fault_spec: FaultSpec<StoreFault>) {
        self.state.inject_fault(fault_spec);
    }

    /// Counters.
    pub fn counters(&self) -> StoreCounters {
        *lock(&self.state.counters)
    }

    /// Every write, in the order in which it took effect.
    pub fn log(&self) -> Vec<StoreLogEntry> {
        lock(&self.state.data).log().to_vec()
    }
}
