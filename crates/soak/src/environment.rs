//! Environment of the relays: store, endpoints, the links between all of them, and the
//! documents that the operator and the endpoints write to the store.

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use parsleylatch_runtime::Clock;
use parsleylatch_standin::{
    ArrivalSink, FaultSpec, NoticeSpec, RelayedEndpoint, RelayedFault, RelayedNotice,
    RelayedSettings, Silence, Store, StoreSettings,
};
use parsleylatch_types::{EndpointId, Millis, RequestsPerSecond};
use serde_json::{Value, json};

use crate::{
    checker::InvariantChecker,
    invariants::{Invariant, LONG_STREAM_TIMEOUT_MS, MAX_ATTEMPTS, REQUEST_TIMEOUT_MS},
    link::Link,
    plan::{Profile, Targets},
    run_time::RunTime,
};

/// Key with which callers authenticate for [`WORKSPACE`].
pub(crate) const WORKSPACE_KEY: &str = "key-1";
pub(crate) const WORKSPACE: &str = "w-1";
/// `host` header of all requests.
pub(crate) const HOST: &str = "soak.example";
/// Path prefix of streams that last several seconds.
pub(crate) const LONG_STREAM_PATH: &str = "/stream/long/";
/// Failure domains, all in [`REGION`].
pub(crate) const FAILURE_DOMAINS: [&str; 2] = ["fd-1", "fd-2"];
/// Services; endpoints alternate between them.
pub(crate) const SERVICES: [&str; 2] = ["engines", "desks"];
/// Attempts of the route of long streams.
const LONG_STREAM_ATTEMPTS: usize = 2;
/// Region of all relays and endpoints.
pub(crate) const REGION: &str = "r-1";
/// Interval between two events of a stream, and run time of a call.
const EVENT_INTERVAL_MS: Millis = Millis::new(8);
/// Concurrent requests that each endpoint advertises.
const SLOTS: u32 = 32;
/// Rate limit of the store for reads and for writes, high enough not to throttle the soak.
const STORE_RATE: RequestsPerSecond = RequestsPerSecond::new(10_000);
/// Number of newest configuration versions whose added routes remain configured.
const RETAINED_VERSION_ROUTES: u64 = 3;

/// Limits of the configuration in the limits profile, by version in turn.
const HEAD_BYTES: [u64; 2] = [64 << 10, 16 << 10];
const IDLE_TIMEOUTS_MS: [Millis; 3] = [
    Millis::new(30_000),
    Millis::new(15_000),
    Millis::new(60_000),
];

/// An endpoint with its link and registry data.
pub(crate) struct ManagedEndpoint {
    pub(crate) id: EndpointId,
    pub(crate) link: Link,
    endpoint: RelayedEndpoint,
    service: &'static str,
    failure_domain: &'static str,
    incarnation: Mutex<u64>,
}

/// Everything in a run except the relays and callers.
pub(crate) struct Environment {
    pub(crate) clock: Clock,
    /// Run time of the traffic thread.
    pub(crate) run_time: RunTime,
    pub(crate) store: Store,
    pub(crate) endpoints: Vec<ManagedEndpoint>,
    pub(crate) caller_links: Vec<Link>,
    pub(crate) store_links: Vec<Link>,
    profile: Profile,
    /// Invariant that the deployment violates on purpose.
    pub(crate) broken_invariant: Option<Invariant>,
    checker: Arc<Mutex<InvariantChecker>>,
}

/// Locks a mutex and ignores poisoning, as the panic has been reported already.
pub(crate) fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Environment {
    /// Starts the store, endpoints and links on the current runtime, registers the endpoints
    /// and writes the first configuration.
    ///
    /// # Errors
    /// A port can't be bound, or a server can't be started.
    pub(crate) async fn start(
        clock: Clock,
        targets: Targets,
        profile: Profile,
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
            run_time: RunTime::start(),
            endpoints: Vec::new(),
            caller_links: Vec::new(),
            store_links: Vec::new(),
            profile,
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

    /// Writes an endpoint's entry to the registry.
    pub(crate) fn register(&self, index: usize, is_leaving: bool) {
        let managed = &self.endpoints[index];
        let entry = json!({
            "service": managed.service, "address": managed.link.address,
            "failure_domain": managed.failure_domain, "endpoint_version": "v1", "slots": SLOTS,
            "incarnation": *lock(&managed.incarnation), "is_leaving": is_leaving,
        });
        self.store.put(&managed.key(), &entry.to_string());
    }

    /// Registers an endpoint under a new incarnation, as if a new process had replaced it.
    pub(crate) fn replace(&self, index: usize) {
        let managed = &self.endpoints[index];
        *lock(&managed.incarnation) += 1;
        self.checker().record_replacement(&managed.id);
        self.register(index, false);
    }

    /// Removes an endpoint's entry from the registry.
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

    /// Endpoint that has run a request to its end, and the time since then.
    pub(crate) fn find_finished(&self, request_id: &str) -> Option<(EndpointId, Duration)> {
        self.endpoints.iter().find_map(|it| {
            let finished_for = it.endpoint.finished_for(request_id)?;
            Some((it.id.clone(), finished_for))
        })
    }

    /// Makes an endpoint silent, or lets it go on.
    pub(crate) fn set_silence(&self, index: usize, silence: Silence) {
        self.endpoints[index].endpoint.set_silence(silence);
    }

    /// Sets what an endpoint says about further requests.
    pub(crate) fn set_notice(&self, index: usize, notice: Option<RelayedNotice>) {
        let broken = [Invariant::LeavingNotice, Invariant::PauseNotice];
        let is_sent = self.broken_invariant.is_none_or(|it| !broken.contains(&it));
        let notice_spec = NoticeSpec { notice, is_sent };
        self.endpoints[index].endpoint.set_notice(notice_spec);
    }

    /// Writes a configuration version; each version after the first adds a route.
    pub(crate) fn write_configuration(&self, version: u64) {
        let mut document = configuration(version, self.broken_invariant);
        if self.profile == Profile::Limits {
            let turn = version as usize;
            document["limits"]["head_bytes"] = json!(HEAD_BYTES[turn % HEAD_BYTES.len()]);
            let idle_timeout_ms = IDLE_TIMEOUTS_MS[turn % IDLE_TIMEOUTS_MS.len()];
            document["limits"]["idle_timeout_ms"] = json!(idle_timeout_ms);
        }
        self.store
            .put("operator/configuration", &document.to_string());
    }
}

impl ManagedEndpoint {
    fn key(&self) -> String {
        format!("endpoints/{}", self.id)
    }
}

/// Index of an endpoint's service in [`SERVICES`].
pub(crate) fn service_index(endpoint: usize) -> usize {
    endpoint % SERVICES.len()
}

/// Starts an endpoint. Each service has endpoints in both failure domains.
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
        service: SERVICES[service_index(index)],
        failure_domain: FAILURE_DOMAINS[index / SERVICES.len() % FAILURE_DOMAINS.len()],
        incarnation: Mutex::new(1),
    })
}

/// Path prefix of the route that a configuration version adds.
pub(crate) fn version_path(version: u64) -> String {
    format!("/v{version}/")
}

/// Builds a configuration document; `broken_invariant` selects an invariant that it makes
/// the relays violate.
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
    let mut long_stream = route(LONG_STREAM_PATH, "resumable_stream", "engines");
    long_stream["timeout_ms"] = json!(LONG_STREAM_TIMEOUT_MS);
    long_stream["attempts"] = json!(LONG_STREAM_ATTEMPTS);
    routes.push(long_stream);
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
