//! State of one traffic thread.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
};

use parsleylatch_decide::relay::{
    EndpointEntry, EndpointKey, EndpointOwnership, EndpointTable, LoadSample, Notice, RetryKind,
    RetryWindow, Room, RoomClaim, Selector, ServiceRules, StreamSize, is_copy_unaffordable, room,
};
use parsleylatch_endpoint::{ConnectionKey, ConnectionPool, OpenConnection};
use parsleylatch_types::{Millis, MonoTime, ServiceName};

use super::{
    call_queue::ServiceCalls, holder_query::HolderQuery, locality, placement_queue::ServiceQueue,
    turns::Turns,
};
use crate::{
    codec::ResponseMetadata,
    shared::{Shared, Snapshot},
    telemetry::RelayCounter,
};

/// State of one traffic thread.
pub(crate) struct Traffic {
    pub(crate) shared: Arc<Shared>,
    pub(crate) connections: ConnectionPool,
    pub(crate) endpoint_table: RefCell<EndpointTable>,
    selector: RefCell<Selector>,
    retry_windows: RefCell<HashMap<ServiceName, RetryWindow>>,
    pub(crate) holder_queries: RefCell<HashMap<ServiceName, Rc<HolderQuery>>>,
    pub(crate) placement_queues: RefCell<HashMap<ServiceName, ServiceQueue>>,
    pub(crate) service_calls: RefCell<HashMap<ServiceName, ServiceCalls>>,
    pub(crate) turns: Turns,
    seen_sequence: Cell<u64>,
}

impl Traffic {
    pub(super) fn new(shared: Arc<Shared>, seed: u64) -> Self {
        let settings = shared.settings.load();
        let mut selector = Selector::new(
            settings.failure_domain.clone(),
            settings.region.clone(),
            settings.regions.clone(),
            seed,
        );
        selector.set_locality(locality::crossing_costs(&settings));
        drop(settings);
        let open = Arc::clone(shared.caller_places.endpoint_connections());
        let places = Arc::clone(&shared);
        let make_room = move || {
            places.metrics.increment(RelayCounter::DescriptorShortages);
            places.caller_places.close_longest(&places);
        };
        Self {
            turns: Turns::new(shared.now()),
            shared,
            connections: ConnectionPool::with_count(open, make_room),
            endpoint_table: RefCell::default(),
            selector: RefCell::new(selector),
            retry_windows: RefCell::default(),
            holder_queries: RefCell::default(),
            placement_queues: RefCell::default(),
            service_calls: RefCell::default(),
            seen_sequence: Cell::new(0),
        }
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.shared.now()
    }

    /// Returns the latest snapshot, and updates the endpoint table to it.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        let snapshot = self.shared.snapshot.load_full();
        if self.seen_sequence.replace(snapshot.sequence) != snapshot.sequence {
            let mut table = self.endpoint_table.borrow_mut();
            let settings = self.shared.settings.load();
            let ownership = EndpointOwnership {
                own: &settings.node_id,
                nodes: &snapshot.nodes,
                regions: &settings.regions,
            };
            table.update(self.now(), snapshot.endpoints.iter(), ownership);
            self.selector()
                .set_locality(locality::crossing_costs(&settings));
            self.connections.retain_idle(|key| {
                table
                    .entry(&endpoint_key(key))
                    .is_some_and(|entry| entry.address == key.address)
            });
        }
        snapshot
    }

    /// Keeps a connection to an endpoint for further requests, unless callers need its
    /// descriptor. At most `limit` connections of the endpoint are kept.
    pub(crate) fn release(&self, connection: OpenConnection, limit: usize) {
        if !self.shared.caller_places.has_idle_descriptors() {
            self.connections.close_older_idle();
            return;
        }
        self.connections.release(connection, limit);
    }

    pub(crate) fn selector(&self) -> std::cell::RefMut<'_, Selector> {
        self.selector.borrow_mut()
    }

    /// What is known about the room of the engine `key` for one more stream.
    pub(crate) fn room(&self, service: &ServiceName, key: &EndpointKey, claim: RoomClaim) -> Room {
        let queues = self.placement_queues.borrow();
        let queue = queues.get(service).map(ServiceQueue::queue);
        let table = self.endpoint_table.borrow();
        let threads = self.cluster_traffic_threads();
        room(self.now(), &table, queue, service, key, claim, threads)
    }

    /// Whether copies of the memory of runs would take memory from other runs.
    pub(crate) fn are_copies_unaffordable(&self, service: &ServiceName, size: StreamSize) -> bool {
        let threads = self.cluster_traffic_threads();
        let own = self.endpoint_table.borrow().own_streams(service);
        self.is_overloaded(service) || is_copy_unaffordable(own, threads, size)
    }

    /// Whether streams of a service find no engine with room, or found none a short
    /// time ago.
    fn is_overloaded(&self, service: &ServiceName) -> bool {
        let queues = self.placement_queues.borrow();
        let queue = queues.get(service);
        queue.is_some_and(|it| it.queue().is_overloaded(self.now()))
    }

    /// Records what a response says about further requests to its endpoint.
    pub(crate) fn record_notices(&self, key: &EndpointKey, metadata: &ResponseMetadata) {
        if metadata.is_leaving {
            self.record_notice(key, Notice::Leaving);
        }
        match &metadata.pause {
            Some(Ok(pause)) => self.record_notice(key, Notice::Pause(*pause)),
            Some(Err(reason)) => {
                log::warn!(
                    endpoint:% = key.id,
                    reason = reason.as_str();
                    "pause of an endpoint can't be parsed"
                );
            }
            None => {}
        }
    }

    /// Records the load of an endpoint that a response to a caller's request reports.
    pub(crate) fn record_load(&self, key: &EndpointKey, metadata: &ResponseMetadata) {
        self.record_reported(key, metadata, EndpointTable::record_load);
    }

    /// Records the pace of an endpoint that the response to an auxiliary call reports.
    pub(crate) fn record_pace(&self, key: &EndpointKey, metadata: &ResponseMetadata) {
        self.record_reported(key, metadata, EndpointTable::record_pace);
    }

    /// Records the reported load of an endpoint with `record`, which returns whether it is used.
    /// The first one of each endpoint that can't be used is logged.
    fn record_reported<Record>(
        &self,
        key: &EndpointKey,
        metadata: &ResponseMetadata,
        record: Record,
    ) where
        Record: FnOnce(&mut EndpointTable, MonoTime, &EndpointKey, LoadSample) -> bool,
    {
        // Another process listens at the address, and the load is its own.
        if metadata.is_misdirected {
            return;
        }
        let mut table = self.endpoint_table.borrow_mut();
        let reason = match &metadata.load {
            Some(Ok(load)) if !record(&mut table, self.now(), key, *load) => {
                "the slots differ from those of the registry"
            }
            Some(Err(reason)) => reason,
            _ => return,
        };
        if table.record_unusable_load(key) {
            log::warn!(
                endpoint:% = key.id,
                reason = reason;
                "load of an endpoint can't be used"
            );
        }
    }

    fn record_notice(&self, key: &EndpointKey, notice: Notice) {
        let now = self.now();
        let changed = self
            .endpoint_table
            .borrow_mut()
            .record_notice(now, key, notice);
        let Some((state, granted)) = changed else {
            return;
        };
        let metrics = &self.shared.metrics;
        let asked = match notice {
            Notice::Leaving => Millis::ZERO,
            Notice::Pause(asked) => asked,
        };
        metrics.increment(match notice {
            Notice::Leaving => RelayCounter::EndpointsLeaving,
            Notice::Pause(_) => RelayCounter::EndpointsPaused,
        });
        log::info!(
            endpoint:% = key.id,
            state:% = state,
            asked_ms = asked.get(),
            granted_ms = granted.get(),
            knowledge_age_ms = self.shared.confirmed_age().millis().get();
            "endpoint takes no requests"
        );
    }

    /// Records a caller's request for a service.
    pub(crate) fn record_request(&self, service: &ServiceName) {
        let now = self.now();
        self.with_retry_window(service, |window| window.record_request(now));
    }

    /// Idle connections that this thread may keep to one endpoint of a service: its share
    /// of half the endpoint's connection limit; the other half is for active requests.
    pub(crate) fn idle_connection_limit(&self, rules: &ServiceRules) -> usize {
        rules.connection_limit as usize / 2 / self.cluster_traffic_threads()
    }

    /// Number of traffic threads of all nodes.
    fn cluster_traffic_threads(&self) -> usize {
        let nodes = self.shared.snapshot.load().nodes.len().max(1);
        nodes * self.shared.settings.load().traffic_threads
    }

    /// Takes a retry from the service's budget; returns whether one was left.
    pub(crate) fn take_retry(&self, service: &ServiceName, kind: RetryKind) -> bool {
        let now = self.now();
        let threads = self.cluster_traffic_threads();
        self.with_retry_window(service, |window| window.try_take_retry(now, threads, kind))
    }

    fn with_retry_window<Output>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut RetryWindow) -> Output,
    ) -> Output {
        let mut retry_windows = self.retry_windows.borrow_mut();
        if !retry_windows.contains_key(service) {
            let bounds = self.shared.settings.load().bounds;
            let window = RetryWindow::new(
                bounds.retry_window_ms,
                bounds.retry_ratio_percent,
                bounds.retry_slack,
            );
            retry_windows.insert(service.clone(), window);
        }
        let window = retry_windows.get_mut(service);
        action(window.expect("the window was inserted"))
    }
}

/// Key of the endpoint that a connection leads to.
pub(crate) fn endpoint_key(key: &ConnectionKey) -> EndpointKey {
    EndpointKey {
        id: key.id.clone(),
        incarnation: key.incarnation,
    }
}

/// Key of the connections to an endpoint.
pub(crate) fn connection_key(entry: &EndpointEntry) -> ConnectionKey {
    ConnectionKey {
        address: entry.address,
        id: entry.key.id.clone(),
        incarnation: entry.key.incarnation,
    }
}
