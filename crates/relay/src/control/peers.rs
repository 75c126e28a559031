//! Other nodes: where they are, which of them read the store, and polling them for
//! their state.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use parsleylatch_decide::relay::{
    NodeLocation, RESTORE_GRACE_MS, SourceFacts, StoreSource, receives_full_state, region_readers,
};
use parsleylatch_peer::{Identity, send_query};
use parsleylatch_settings::RelaySettings;
use parsleylatch_types::{Millis, MonoTime, NodeId};
use parsleylatch_wire::{peer::peer_message::Body, relay::RelayQuery};
use rand::seq::IteratorRandom;

use super::documents::{DocumentSet, StoredDocument};
use crate::{input::ControlInput, shared::Shared, telemetry::RelayCounter};

/// Prefix of the keys of the nodes' entries in the store.
pub(crate) const NODES_PREFIX: &str = "nodes/";
/// Interval between rounds of queries to other nodes, and between checks whether a
/// round is needed.
const POLL_INTERVAL_MS: Millis = Millis::new(300);
/// Nodes queried per round; two, in case one of them has lost the store as well.
const POLLED_PEERS: usize = 2;
/// On a large deployment, one round in this many includes other regions.
const CROSS_REGION_POLL_RATIO: u32 = 20;
/// Time for which other readers are preferred to one that did not respond.
const UNRESPONSIVE_READER_MS: Millis = Millis::new(3_000);
/// Timeout of a query for changes.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of a query for the full state, from a node that many others may query.
const INITIAL_POLL_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Address of another node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PeerAddress {
    address: SocketAddr,
    /// Node that the entry of this address belongs to; `None` for a seed.
    node_id: Option<NodeId>,
}

/// Other nodes.
pub(crate) struct Peers {
    shared: Arc<Shared>,
    identity: Identity,
    entries: BTreeMap<String, StoredDocument>,
    /// Keys that a restored store does not list yet. Their nodes are about to write them
    /// again; without them, every node of a large deployment would read the store.
    missing: BTreeSet<String>,
    missing_until: MonoTime,
    /// Node that has stated a newer era of the store.
    informed_node: Option<NodeId>,
    nodes: Arc<[NodeLocation]>,
    /// Other nodes in this node's region.
    region_peers: Vec<PeerAddress>,
    /// Other readers in this node's region, unless every node reads the store.
    readers: Option<Vec<PeerAddress>>,
    is_reader: bool,
    source: StoreSource,
    /// When a reader last responded.
    last_reader_response_at: MonoTime,
    /// Readers that did not respond, and until when others are preferred.
    unresponsive: HashMap<SocketAddr, MonoTime>,
    /// Queries in flight.
    pending_polls: usize,
    next_poll_at: MonoTime,
}

impl Peers {
    pub(crate) fn new(shared: Arc<Shared>, identity: Identity, now: MonoTime) -> Self {
        Self {
            nodes: Arc::new([local_location(&identity, knows_domains(&shared))]),
            shared,
            identity,
            entries: BTreeMap::new(),
            missing: BTreeSet::new(),
            missing_until: MonoTime::ZERO,
            informed_node: None,
            region_peers: Vec::new(),
            readers: None,
            is_reader: true,
            source: StoreSource::start(now),
            last_reader_response_at: now,
            unresponsive: HashMap::new(),
            pending_polls: 0,
            next_poll_at: now + POLL_INTERVAL_MS,
        }
    }

    /// Known nodes, including this one.
    pub(crate) fn nodes(&self) -> &Arc<[NodeLocation]> {
        &self.nodes
    }

    /// Replaces the entries by those of a full listing.
    pub(crate) fn apply_listing(&mut self, documents: &[StoredDocument]) {
        self.entries.clear();
        self.missing.clear();
        self.insert_entries(documents);
        self.refresh();
    }

    /// Applies the first listing of a restored store. Entries that are missing are kept for a
    /// grace period.
    pub(crate) fn apply_restored(&mut self, now: MonoTime, documents: &[StoredDocument]) {
        self.missing = self.entries.keys().cloned().collect();
        self.missing_until = now + RESTORE_GRACE_MS;
        self.insert_entries(documents);
        self.refresh();
    }

    /// Applies changed and deleted entries.
    pub(crate) fn apply_changes(&mut self, now: MonoTime, changes: &DocumentSet) {
        for key in &changes.deleted {
            // The copy's leases end while the nodes write their entries again.
            match now < self.missing_until && self.entries.contains_key(key) {
                true => {
                    self.missing.insert(key.clone());
                }
                false => {
                    self.entries.remove(key);
                }
            }
        }
        self.insert_entries(&changes.documents);
        self.refresh();
    }

    /// Removes entries that a restored store still lacks after the grace period.
    fn expire_missing(&mut self, now: MonoTime) {
        if self.missing.is_empty() || now < self.missing_until {
            return;
        }
        for key in std::mem::take(&mut self.missing) {
            self.entries.remove(&key);
        }
        self.refresh();
    }

    /// Queries a node that has stated a newer era of the store, at once.
    pub(crate) fn query_informed(&mut self, now: MonoTime, node_id: &NodeId) {
        self.informed_node = Some(node_id.clone());
        self.poll_now(now);
    }

    /// Records that a node responded.
    pub(crate) fn record_response(&mut self, now: MonoTime, reads_store: bool) {
        self.pending_polls = self.pending_polls.saturating_sub(1);
        if reads_store {
            self.last_reader_response_at = now;
        }
    }

    fn insert_entries(&mut self, documents: &[StoredDocument]) {
        let entries = documents
            .iter()
            .filter(|it| it.entry.key.starts_with(NODES_PREFIX));
        for document in entries {
            let key = document.entry.key.clone();
            self.missing.remove(&key);
            self.entries.insert(key, document.clone());
        }
    }

    fn refresh(&mut self) {
        let own = &self.identity;
        let has_domains = knows_domains(&self.shared);
        let known = || {
            self.entries
                .values()
                .filter_map(|it| Some((entry_location(it, has_domains)?, it)))
        };
        let region_peers = known().filter(|(location, _)| {
            location.region.as_ref() == Some(&own.region) && location.id != own.node_id
        });
        self.region_peers = region_peers
            .filter_map(|(_, entry)| peer_address(entry))
            .collect();
        let mut locations: Vec<NodeLocation> = known().map(|(location, _)| location).collect();
        if !locations.iter().any(|location| location.id == own.node_id) {
            locations.push(local_location(own, has_domains));
        }
        let readers = region_readers(&locations, &own.region);
        self.is_reader = readers
            .as_ref()
            .is_none_or(|readers| readers.contains(&&own.node_id));
        self.readers = readers.map(|readers| {
            let others = readers.into_iter().filter(|id| **id != own.node_id);
            let entries = others.map(|id| self.entries.get(&format!("{NODES_PREFIX}{id}")));
            entries.flatten().filter_map(peer_address).collect()
        });
        if *self.nodes != locations[..] {
            log::info!(nodes = locations.len(), is_reader = self.is_reader; "nodes changed");
            self.nodes = locations.into();
        }
    }

    /// Entries of the nodes.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &StoredDocument> {
        self.entries.values()
    }

    /// Nodes that a node of another region should query instead of this one; empty if it
    /// should receive the full state from this node.
    pub(crate) fn referral(&self, requester: &Identity) -> Vec<&StoredDocument> {
        let location = (&requester.node_id, &requester.region);
        if receives_full_state(&self.nodes, &self.identity.region, location, rand::random()) {
            return Vec::new();
        }
        let region_peers = self.entries.values().filter(|entry| {
            let location = entry_location(entry, knows_domains(&self.shared));
            location.is_some_and(|it| {
                it.region.as_ref() == Some(&requester.region) && it.id != requester.node_id
            })
        });
        region_peers.collect()
    }

    /// Makes the next round due at once.
    pub(crate) fn poll_now(&mut self, now: MonoTime) {
        self.next_poll_at = now;
    }

    pub(crate) fn next_deadline(&self) -> MonoTime {
        self.next_poll_at
    }

    /// Records that a node did not respond.
    pub(crate) fn record_no_response(&mut self, now: MonoTime, address: SocketAddr) {
        self.pending_polls = self.pending_polls.saturating_sub(1);
        self.unresponsive
            .insert(address, now + UNRESPONSIVE_READER_MS);
    }

    /// Decides whether this node reads the store, and queries other nodes: a reader if it
    /// does not read the store, and random nodes if the store is unavailable or a rollout
    /// is in progress.
    pub(crate) fn expire(
        &mut self,
        now: MonoTime,
        is_needed: bool,
        query: impl FnOnce() -> RelayQuery,
    ) {
        if now < self.next_poll_at {
            return;
        }
        self.next_poll_at = now + POLL_INTERVAL_MS;
        self.unresponsive.retain(|_, until| *until > now);
        self.expire_missing(now);
        let has_registry = self.shared.known_position().is_some();
        self.update_source(now, has_registry);
        let reads_store = self.source.reads_store();
        let is_without_reader = self.source.is_without_reader();
        // A full state takes a peer some time; don't send further queries meanwhile.
        let awaits_first_state = !has_registry && self.pending_polls > 0;
        // A reader far from the store gets the full state faster from other nodes.
        let is_uninitialized_reader = self.is_reader && self.readers.is_some() && !has_registry;
        let informed = self.informed_node.take();
        let informed = informed.and_then(|id| self.entries.get(&format!("{NODES_PREFIX}{id}")));
        let informed = informed.and_then(peer_address);
        let mut targets = match (
            is_needed || is_without_reader || is_uninitialized_reader,
            reads_store,
        ) {
            _ if awaits_first_state => Vec::new(),
            (true, _) => self.sample_peers(has_registry),
            (false, false) => self.pick_reader().into_iter().collect(),
            (false, true) => Vec::new(),
        };
        let is_new = |it: &PeerAddress| !targets.contains(it);
        targets.extend(informed.filter(is_new));
        if targets.is_empty() {
            return;
        }
        let query = query();
        let timeout = match has_registry {
            true => POLL_TIMEOUT,
            false => INITIAL_POLL_TIMEOUT,
        };
        self.pending_polls += targets.len();
        for peer in targets {
            let shared = Arc::clone(&self.shared);
            let identity = self.identity.clone();
            let poll = poll_peer(shared, identity, peer, query.clone(), timeout);
            tokio::task::spawn_local(poll);
        }
    }

    /// Updates the decision whether this node reads the store.
    fn update_source(&mut self, now: MonoTime, has_registry: bool) {
        let region_nodes = self.region_peers.len() + 1;
        let facts = SourceFacts {
            is_reader: self.is_reader,
            is_initialized: has_registry,
            nodes: self.nodes.len(),
            region_nodes,
            silence: now.since(self.last_reader_response_at),
            change_bound: self.shared.change_bound(),
            random: rand::random(),
        };
        self.source.update(now, facts);
        let reads_store = self.source.reads_store();
        let changed = self.shared.reads_store.send_if_modified(|earlier| {
            let changed = *earlier != reads_store;
            *earlier = reads_store;
            changed
        });
        if changed {
            log::info!(
                reads_store = reads_store,
                is_reader = self.is_reader,
                state:% = self.source.state(),
                nodes = self.nodes.len();
                "source changed"
            );
        }
    }

    /// Random nodes to query when no reader responds. On a large deployment these are in
    /// this node's region, because a response may be large, and occasionally in any. A
    /// reader without any state queries any region.
    fn sample_peers(&self, has_registry: bool) -> Vec<PeerAddress> {
        let crosses_regions =
            self.is_reader && !has_registry || rand::random_ratio(1, CROSS_REGION_POLL_RATIO);
        let stays_in_region = self.readers.is_some() && !crosses_regions;
        let mut random = rand::rng();
        match stays_in_region && !self.region_peers.is_empty() {
            true => self
                .region_peers
                .iter()
                .cloned()
                .sample(&mut random, POLLED_PEERS),
            false => self
                .peer_addresses()
                .into_iter()
                .sample(&mut random, POLLED_PEERS),
        }
    }

    fn pick_reader(&self) -> Option<PeerAddress> {
        let readers = || self.readers.iter().flatten().cloned();
        let responsive = readers().filter(|peer| !self.unresponsive.contains_key(&peer.address));
        let responsive = responsive.choose(&mut rand::rng());
        // A reader that was starting up may respond by now.
        responsive.or_else(|| readers().choose(&mut rand::rng()))
    }

    /// Addresses of other nodes, from their entries and from the seeds in the settings.
    fn peer_addresses(&self) -> Vec<PeerAddress> {
        let listed = || self.entries.values().filter_map(peer_address);
        let settings = self.shared.settings.load();
        let own = settings.peer_address;
        let is_listed = |address| listed().any(|peer| peer.address == address);
        let seeds = settings.seeds.iter().copied();
        let seeds = seeds
            .filter(|address| !is_listed(*address))
            .map(|address| PeerAddress {
                address,
                node_id: None,
            });
        let mut peers: Vec<PeerAddress> = listed().chain(seeds).collect();
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|peer| peer.address != own);
        peers
    }
}

/// Value of a node's entry: its peer address and its region, and its failure domain if endpoints
/// are assigned by it, separated by spaces.
pub(crate) fn entry_value(address: SocketAddr, settings: &RelaySettings) -> String {
    let (region, domain) = (&settings.region, &settings.failure_domain);
    match settings.locality.enabled {
        true => format!("{address} {region} {domain}"),
        false => format!("{address} {region}"),
    }
}

/// Whether endpoints are assigned to nodes by failure domain.
fn knows_domains(shared: &Shared) -> bool {
    shared.settings.load().locality.enabled
}

fn local_location(own: &Identity, has_domain: bool) -> NodeLocation {
    NodeLocation {
        id: own.node_id.clone(),
        region: Some(own.region.clone()),
        failure_domain: has_domain.then(|| own.failure_domain.clone()),
    }
}

fn entry_address(entry: &StoredDocument) -> Option<SocketAddr> {
    entry.entry.value.split(' ').next()?.parse().ok()
}

/// Node and address of an entry; `None` if it names no node or no address.
fn peer_address(entry: &StoredDocument) -> Option<PeerAddress> {
    let node_id = entry.entry.key.strip_prefix(NODES_PREFIX)?.parse().ok()?;
    Some(PeerAddress {
        address: entry_address(entry)?,
        node_id: Some(node_id),
    })
}

/// Location of a node; `None` if its entry names no address.
fn entry_location(entry: &StoredDocument, has_domain: bool) -> Option<NodeLocation> {
    entry_address(entry)?;
    let region = entry.entry.value.split(' ').nth(1);
    let domain = entry.entry.value.split(' ').nth(2).filter(|_| has_domain);
    Some(NodeLocation {
        id: entry.entry.key.strip_prefix(NODES_PREFIX)?.parse().ok()?,
        region: region.and_then(|it| it.parse().ok()),
        failure_domain: domain.and_then(|it| it.parse().ok()),
    })
}

async fn poll_peer(
    shared: Arc<Shared>,
    identity: Identity,
    peer: PeerAddress,
    query: RelayQuery,
    timeout: Duration,
) {
    let sent_at = shared.now();
    let address = peer.address;
    shared.metrics.increment(RelayCounter::PeerAsks);
    let response = send_query(&identity, address, Body::RelayQuery(query), timeout).await;
    match response {
        // An address may have passed to a node of another deployment.
        Ok((responder, _))
            if peer
                .node_id
                .as_ref()
                .is_some_and(|it| *it != responder.node_id) =>
        {
            shared.metrics.increment(RelayCounter::PeerAsksFailed);
            log::info!(
                peer:% = address, expected:? = peer.node_id, responder:% = responder.node_id;
                "a different node responded"
            );
        }
        Ok((_, Body::RelayState(state))) => {
            let input = ControlInput::PeerState(Box::new(state), sent_at);
            // Fails only while the control loop stops.
            let _ = shared.control.send(input).await;
            return;
        }
        Ok((responder, _)) => {
            log::debug!(peer:% = responder.node_id; "unexpected response from a peer");
        }
        Err(error) => {
            shared.metrics.increment(RelayCounter::PeerAsksFailed);
            log::debug!(peer:% = address, error:% = error; "peer did not respond");
        }
    }
    // Fails only while the control loop stops.
    let _ = shared
        .control
        .send(ControlInput::PeerUnresponsive(address))
        .await;
}
