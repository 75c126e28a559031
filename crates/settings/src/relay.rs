//! Settings of a relay: a node whose callers' requests are opaque.

use std::{collections::HashMap, net::SocketAddr};

use parsleylatch_types::{FailureDomain, Millis, NodeId, Region, Share};
use serde::Deserialize;

use crate::{document::Document, error::SettingsError};

/// Most traffic threads of one relay.
const MAX_TRAFFIC_THREADS: usize = 64;
/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Time that a change of the configuration may take, unless the settings say.
const DEFAULT_CONFIGURATION_MS: Millis = Millis::new(2_500);
/// Time after which a leaving endpoint gets no new work, unless the settings say.
const DEFAULT_LEAVING_MS: Millis = Millis::new(2_500);
/// Time from the signal to the end of a planned stop, unless the settings say.
const DEFAULT_STOP_S: f64 = 8.0;
/// Span over which repeats are bounded, unless the settings say.
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
/// Repeats for each request, unless the settings say.
const DEFAULT_RETRY_RATIO: f64 = 0.2;
/// Repeats beyond the ratio, unless the settings say.
const DEFAULT_RETRY_SLACK: f64 = 50.0;

/// Part of a service's requests that a bad version may get, unless the settings say.
const DEFAULT_EXPOSURE_RATIO: f64 = 0.1;
/// Parts per million of a whole.
const FULL_SHARE_PPM: f64 = 1_000_000.0;

/// Bounds as a file gives them; what is left out has a default.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawRelayBounds {
    configuration_ms: Option<f64>,
    leaving_ms: Option<f64>,
    stop_s: Option<f64>,
    retry_ratio: Option<f64>,
    retry_window_s: Option<f64>,
    retry_slack: Option<f64>,
    exposure_ratio: Option<f64>,
}

/// Bounds that the operators promise their callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelayBounds {
    /// Time in which a change of the configuration is in force.
    pub configuration_ms: Millis,
    /// Time after which a leaving endpoint gets no new work.
    pub leaving_ms: Millis,
    /// Time from the signal to the end of a planned stop.
    pub stop_ms: Millis,
    /// Repeats for each request, of all nodes together, in percent.
    pub retry_ratio_percent: u64,
    /// Span over which repeats are counted.
    pub retry_window_ms: Millis,
    /// Repeats beyond the ratio, of all nodes together.
    pub retry_slack: u64,
    /// Part of a service's requests that a version may get which turns out bad.
    pub exposure_limit: Share,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRelaySettings {
    node_id: NodeId,
    failure_domain: FailureDomain,
    region: Region,
    regions: HashMap<FailureDomain, Region>,
    caller_address: SocketAddr,
    ready_address: SocketAddr,
    peer_address: SocketAddr,
    metrics_address: SocketAddr,
    store_address: SocketAddr,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    traffic_threads: Option<usize>,
    #[serde(default)]
    bounds: RawRelayBounds,
}

/// Checked settings of a relay.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// Id of the node.
    pub node_id: NodeId,
    /// Failure domain of the node's VM.
    pub failure_domain: FailureDomain,
    /// Region of the node's VM.
    pub region: Region,
    /// Region of each failure domain.
    pub regions: HashMap<FailureDomain, Region>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address that tells the balancer whether the node takes callers.
    pub ready_address: SocketAddr,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address for counters and histograms.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Addresses of some other nodes; they may be old.
    pub seeds: Vec<SocketAddr>,
    /// Threads that carry traffic.
    pub traffic_threads: usize,
    /// Bounds.
    pub bounds: RelayBounds,
}

impl RelaySettings {
    /// Reads and checks the settings of a relay.
    ///
    /// # Errors
    /// The first field that is wrong.
    pub fn read(document: &Document) -> Result<Self, SettingsError> {
        let raw: RawRelaySettings = document.parse()?;
        let traffic_threads = raw.traffic_threads.unwrap_or(1);
        if !(1..=MAX_TRAFFIC_THREADS).contains(&traffic_threads) {
            let reason = format!("{traffic_threads} is not between 1 and {MAX_TRAFFIC_THREADS}");
            return Err(document.value_error("traffic_threads", reason));
        }
        Ok(Self {
            bounds: check_bounds(document, raw.bounds)?,
            node_id: raw.node_id,
            failure_domain: raw.failure_domain,
            region: raw.region,
            regions: raw.regions,
            caller_address: raw.caller_address,
            ready_address: raw.ready_address,
            peer_address: raw.peer_address,
            metrics_address: raw.metrics_address,
            store_address: raw.store_address,
            seeds: raw.seeds,
            traffic_threads,
        })
    }

    /// Whether the sockets that a running process has bound are the same.
    pub fn has_same_listeners(&self, other: &Self) -> bool {
        self.caller_address == other.caller_address
            && self.ready_address == other.ready_address
            && self.peer_address == other.peer_address
            && self.metrics_address == other.metrics_address
    }
}

fn check_bounds(document: &Document, raw: RawRelayBounds) -> Result<RelayBounds, SettingsError> {
    let default_configuration = DEFAULT_CONFIGURATION_MS.get() as f64;
    let default_leaving = DEFAULT_LEAVING_MS.get() as f64;
    let check = |name: &str, value: Option<f64>, default: f64, min: f64| {
        let value = value.unwrap_or(default);
        if value.is_finite() && value >= min {
            return Ok(value);
        }
        let field = format!("bounds.{name}");
        Err(document.value_error(&field, format!("{value} is below {min}")))
    };
    let configuration_ms = check(
        "configuration_ms",
        raw.configuration_ms,
        default_configuration,
        1.0,
    )?;
    let leaving_ms = check("leaving_ms", raw.leaving_ms, default_leaving, 1.0)?;
    let stop_s = check("stop_s", raw.stop_s, DEFAULT_STOP_S, 1.0)?;
    let ratio = check("retry_ratio", raw.retry_ratio, DEFAULT_RETRY_RATIO, 0.0)?;
    let window_s = check(
        "retry_window_s",
        raw.retry_window_s,
        DEFAULT_RETRY_WINDOW_S,
        0.1,
    )?;
    let slack = check("retry_slack", raw.retry_slack, DEFAULT_RETRY_SLACK, 0.0)?;
    let exposure = check(
        "exposure_ratio",
        raw.exposure_ratio,
        DEFAULT_EXPOSURE_RATIO,
        0.0,
    )?;
    Ok(RelayBounds {
        configuration_ms: Millis::new(configuration_ms as u64),
        leaving_ms: Millis::new(leaving_ms as u64),
        stop_ms: Millis::new((stop_s * MILLIS_PER_SECOND) as u64),
        retry_ratio_percent: (ratio * 100.0) as u64,
        retry_window_ms: Millis::new((window_s * MILLIS_PER_SECOND) as u64),
        retry_slack: slack as u64,
        exposure_limit: Share::new((exposure.min(1.0) * FULL_SHARE_PPM) as u32),
    })
}
