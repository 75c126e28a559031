//! What is around the relays: store, endpoints, the links to all of them, and the
//! documents that the operator and the endpoints write.

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use parsleylatch_runtime::Clock;
use parsleylatch_standin::{
    ArrivalSink, FaultSpec, RelayedEndpoint, RelayedFault, RelayedSettings, Store, StoreSettings,
};
use parsleylatch_types::{EndpointId, Millis, RequestsPerSecond};
use serde_json::{Value, json};

use crate::{
    invariants::{Invariant, InvariantChecker, MAX_ATTEMPTS, REQUEST_TIMEOUT_MS},
    link::Link,
    plan::Targets,
};

/// Key of the callers' workspace.
pub(crate) const WORKSPACE_KEY: &str = "key-1";
/// Workspace of the callers.
pub(crate) const WORKSPACE: &str = "w-1";
/// Host that callers name.
pub(crate) const HOST: &str = "soak.example";
/// Failure domains, both of one region.
pub(crate) const FAILURE_DOMAINS: [&str; 2] = ["fd-1", "fd-2"];
/// Region of everything.
pub(crate) const REGION: &str = "r-1";
/// Time between two events of a stream, and of a call.
const EVENT_INTERVAL_MS: Millis = Millis::new(8);
/// Requests that an endpoint runs at the same time, as it tells.
const SLOTS: u32 = 32;
/// Calls that the store takes a second; the rates are no subject of the soak.
const STORE_RATE: RequestsPerSecond = RequestsPerSecond::new(10_000);
/// Versions whose own routes are kept.
const RETAINED_VERSION_ROUTES: u64 = 3;

/// One endpoint and its link.
pub(crate) struct ManagedEndpoint {
    pub(crate) id: EndpointId,
    pub(crate) link: Link,
    endpoint: RelayedEndpoint,
    service: &'static str,
    failure_domain: &'static str,
    incarnation: Mutex<u64>,
}

/// Everything around the relays.
pub(crate) struct Environment {
    pub(crate) clock: Clock,
    pub(crate) store: Store,
    pub(crate) endpoints: Vec<ManagedEndpoint>,
    pub(crate) caller_links: Vec<Link>,
    pub(crate) store_links: Vec<Link>,
    /// Promise that the deployment breaks on purpose.
    pub(crate) broken_invariant: Option<Invariant>,
    checker: Arc<Mutex<InvariantChecker>>,
}

/// Takes a lock; a thread that panicked with it has said so.
pub(crate) fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Environment {
    /// Starts everything on the current runtime.
    ///
    /// # Errors
    /// The system's reason if a port can't be bound.
    pub(crate) async fn start(
        clock: Clock,
        targets: Targets,
        broken_invariant: Option<Invariant>,
    ) -> io::Result<Self> {
        let checker: Arc<Mutex<InvariantChecker>> = Arc::default();
        let arrivals: ArrivalSink = Arc::new({
            let checker = Arc::clone(&checker);
            move |arrived| lock(&checker).record_arrival(clock.now(), &arrived)
        });
        let store = Store::start(&StoreSettings {
            write_rate: STORE_RATE,
            read_rate: STORE_RATE,
            ..StoreSettings::local()
        })?;
        let mut environment = Self {
            clock,
            endpoints: Vec::new(),
            caller_links: Vec::new(),
            store_links: Vec::new(),
            broken_invariant,
            checker,
            store,
        };
        for _ in 0..targets.relays {
            let store_address = environment.store.server.addresses.address;
            environment.caller_links.push(Link::start(None).await?);
            environment
                .store_links
                .push(Link::start(Some(store_address)).await?);
        }
        for index in 0..targets.endpoints {
            let managed = start_endpoint(index, Arc::clone(&arrivals)).await?;
            environment.endpoints.push(managed);
            environment.register(index, false);
        }
        environment.write_configuration(1);
        Ok(environment)
    }

    pub(crate) fn checker(&self) -> MutexGuard<'_, InvariantChecker> {
        lock(&self.checker)
    }

    /// Writes an endpoint's entry.
    pub(crate) fn register(&self, index: usize, is_leaving: bool) {
        let managed = &self.endpoints[index];
        let entry = json!({
            "service": managed.service, "address": managed.link.address,
            "failure_domain": managed.failure_domain, "endpoint_version": "v1", "slots": SLOTS,
            "incarnation": *lock(&managed.incarnation), "is_leaving": is_leaving,
        });
        self.store.put(&managed.key(), &entry.to_string());
    }

    /// Another process takes an endpoint's place.
    pub(crate) fn replace(&self, index: usize) {
        let managed = &self.endpoints[index];
        *lock(&managed.incarnation) += 1;
        self.checker().record_replacement(&managed.id);
        self.register(index, false);
    }

    /// Takes an endpoint off the registry.
    pub(crate) fn remove(&self, index: usize) {
        self.store.remove(&self.endpoints[index].key());
    }

    pub(crate) fn set_endpoint_fault(&self, index: usize, fault: RelayedFault, delay_ms: Millis) {
        self.endpoints[index].endpoint.inject_fault(FaultSpec {
            fault,
            at_index: None,
            delay_ms: (fault == RelayedFault::Slow).then_some(delay_ms),
        });
    }

    /// Writes a version of the configuration; each has a route of its own.
    pub(crate) fn write_configuration(&self, version: u64) {
        let text = configuration(version, self.broken_invariant).to_string();
        self.store.put("operator/configuration", &text);
    }
}

impl ManagedEndpoint {
    fn key(&self) -> String {
        format!("endpoints/{}", self.id)
    }
}

/// Endpoints are engines and desks by turns, in both failure domains.
async fn start_endpoint(index: usize, arrivals: ArrivalSink) -> io::Result<ManagedEndpoint> {
    let id = format!("i-{index}").parse().map_err(io::Error::other)?;
    let settings = RelayedSettings {
        id,
        pace_ms: EVENT_INTERVAL_MS,
        arrivals,
    };
    let id = settings.id.clone();
    let endpoint = RelayedEndpoint::start(settings)?;
    Ok(ManagedEndpoint {
        link: Link::start(Some(endpoint.address)).await?,
        id,
        endpoint,
        service: ["engines", "desks"][index % 2],
        failure_domain: FAILURE_DOMAINS[index / 2 % 2],
        incarnation: Mutex::new(1),
    })
}

/// Path of the route that a version brings.
pub(crate) fn version_path(version: u64) -> String {
    format!("/v{version}/")
}

/// A configuration; `broken` names a promise that it makes relays break.
fn configuration(version: u64, broken_invariant: Option<Invariant>) -> Value {
    let route = |path: &str, repeat: &str, service: &str| {
        let allows_repeat =
            broken_invariant == Some(Invariant::AtMostOnce) && repeat == "once_only";
        let attempts = match broken_invariant {
            Some(Invariant::AttemptLimit) => 3 * MAX_ATTEMPTS,
            _ => MAX_ATTEMPTS,
        };
        json!({
            "name": format!("r{}", path.replace('/', "-")), "host": HOST, "path_prefix": path,
            "repeat": if allows_repeat { "idempotent" } else { repeat },
            "timeout_ms": REQUEST_TIMEOUT_MS, "goal_ms": 1_000, "gap_goal_ms": 700, "rank": 1,
            "attempts": attempts, "backends": [{"service": service, "weight": 1}],
        })
    };
    let mut routes = vec![
        route("/stream/", "resumable_stream", "engines"),
        route("/look-up/", "idempotent", "desks"),
        route("/book/", "once_only", "desks"),
    ];
    let oldest = version.saturating_sub(RETAINED_VERSION_ROUTES - 1).max(2);
    routes.extend((oldest..=version).map(|it| route(&version_path(it), "idempotent", "desks")));
    let workspace = match broken_invariant {
        Some(Invariant::RequestIntegrity) => "w-2",
        _ => WORKSPACE,
    };
    json!({
        "version": version, "routes": routes,
        "services": [
            {"name": "engines", "connection_limit": 1_000, "has_backups": true},
            {"name": "desks", "connection_limit": 1_000},
        ],
        "limits": {"head_bytes": 16_384, "body_bytes": 10_000, "head_timeout_ms": 2_000,
                   "idle_timeout_ms": 15_000},
        "workspaces": [{"id": workspace, "keys": [WORKSPACE_KEY], "rank": 5}],
    })
}
