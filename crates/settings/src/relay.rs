//! Settings of a relay, a node that treats the requests of its callers as opaque.

use std::{collections::HashMap, net::SocketAddr};

use parsleylatch_types::{
    ByteCount, DescriptorCount, FailureDomain, MicrosPerKilobyte, Millis, NodeId, Region,
    RequestCount, Share,
};
use serde::Deserialize;

use crate::{document::Document, error::SettingsError, vm_memory::vm_memory};

/// Maximum number of traffic threads of one relay.
const MAX_TRAFFIC_THREADS: usize = 64;
/// Default of [`RelaySettings::memory`], in MiB, on a VM that has as much.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Least memory with which a relay starts, in MiB.
const MIN_MEMORY_MB: f64 = 32.0;
/// Least number of file descriptors with which a relay starts.
const MIN_DESCRIPTORS: f64 = 64.0;
const BYTES_PER_MB: f64 = 1_048_576.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Default of [`RelayBounds::configuration_ms`].
const DEFAULT_CONFIGURATION_MS: Millis = Millis::new(2_500);
/// Default of [`RelayBounds::leaving_ms`].
const DEFAULT_LEAVING_MS: Millis = Millis::new(2_500);
/// Default of [`RelayBounds::stop_ms`], in seconds.
const DEFAULT_STOP_S: f64 = 8.0;
/// Default of [`RelayBounds::retry_window_ms`], in seconds.
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
/// Default number of retries per request.
const DEFAULT_RETRY_RATIO: f64 = 0.2;
/// Default of [`RelayBounds::retry_slack`].
const DEFAULT_RETRY_SLACK: f64 = 50.0;
/// Default of [`RelayBounds::exposure_limit`], as a ratio.
const DEFAULT_EXPOSURE_RATIO: f64 = 0.1;
/// Default of [`RelayBounds::exposure_slack`].
const DEFAULT_EXPOSURE_SLACK: f64 = 50.0;
/// Parts per million in a share of 1.
const FULL_SHARE_PPM: f64 = 1_000_000.0;

/// Bounds as written in the file. Absent fields take their defaults.
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
    exposure_slack: Option<f64>,
}

/// Service-level bounds that the operators guarantee to callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelayBounds {
    /// Maximum time until a configuration change is in force.
    pub configuration_ms: Millis,
    /// Maximum time until a leaving endpoint receives no new requests.
    pub leaving_ms: Millis,
    /// Maximum duration of a planned stop, from the signal to the exit of the process.
    pub stop_ms: Millis,
    /// Retries per request across all nodes, in percent.
    pub retry_ratio_percent: u64,
    /// Window over which retries are counted.
    pub retry_window_ms: Millis,
    /// Retries allowed in addition to the ratio, across all nodes.
    pub retry_slack: u64,
    /// Maximum share of a service's requests that a version may receive before it is rejected.
    pub exposure_limit: Share,
    /// Requests that it may receive in addition to that share.
    pub exposure_slack: RequestCount,
}

/// What a relay does about overload. Absent fields are off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RelayOverload {
    /// Whether streams of lower ranks leave capacity of the engines to those of higher ones.
    pub rank_reserve: bool,
    /// Whether calls wait at the node while their service is full.
    pub calls_queue: bool,
}

/// When requests leave the failure domain. Absent fields are off, or cost nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RelayLocality {
    /// Whether the share of requests that leaves is decided by load and cost.
    pub enabled: bool,
    /// Cost of bytes that cross to another failure domain of the region.
    pub domain_crossing_us_per_kb: MicrosPerKilobyte,
    /// Cost of bytes that cross to another region.
    pub region_crossing_us_per_kb: MicrosPerKilobyte,
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
    memory_mb: Option<f64>,
    file_descriptors: Option<f64>,
    #[serde(default)]
    bounds: RawRelayBounds,
    #[serde(default)]
    overload: RelayOverload,
    #[serde(default)]
    locality: RelayLocality,
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
    /// Listening address for callers.
    pub caller_address: SocketAddr,
    /// Listening address of the readiness check that the load balancer queries.
    pub ready_address: SocketAddr,
    /// Listening address for other nodes.
    pub peer_address: SocketAddr,
    /// Listening address for counters and histograms.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Addresses of other nodes to contact first. Some of them may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Number of traffic threads.
    pub traffic_threads: usize,
    /// Memory that the process may take, including bytes that the kernel has received for it.
    pub memory: ByteCount,
    /// Descriptors that the operators allow the process, with those that they keep for files;
    /// `None` leaves it to the kernel.
    pub file_descriptors: Option<DescriptorCount>,
    /// Service-level bounds.
    pub bounds: RelayBounds,
    /// What is done about overload.
    pub overload: RelayOverload,
    /// When requests leave the failure domain.
    pub locality: RelayLocality,
}

impl RelaySettings {
    /// Reads and checks the settings of a relay.
    ///
    /// # Errors
    /// The first invalid field.
    pub fn read(document: &Document) -> Result<Self, SettingsError> {
        let raw: RawRelaySettings = document.parse()?;
        let traffic_threads = raw.traffic_threads.unwrap_or(1);
        if !(1..=MAX_TRAFFIC_THREADS).contains(&traffic_threads) {
            let reason = format!("{traffic_threads} is not between 1 and {MAX_TRAFFIC_THREADS}");
            return Err(document.value_error("traffic_threads", reason));
        }
        let memory_mb = raw.memory_mb.unwrap_or_else(default_memory_mb);
        if !(memory_mb.is_finite() && memory_mb >= MIN_MEMORY_MB) {
            let reason = format!("{memory_mb} is below {MIN_MEMORY_MB}");
            return Err(document.value_error("memory_mb", reason));
        }
        Ok(Self {
            file_descriptors: check_descriptors(document, raw.file_descriptors)?,
            memory: ByteCount::new((memory_mb * BYTES_PER_MB) as u64),
            bounds: check_bounds(document, raw.bounds)?,
            overload: raw.overload,
            locality: raw.locality,
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

    /// Whether all listening addresses are equal to those of `other`. Changed
    /// addresses take effect only after a restart.
    pub fn has_same_listeners(&self, other: &Self) -> bool {
        self.caller_address == other.caller_address
            && self.ready_address == other.ready_address
            && self.peer_address == other.peer_address
            && self.metrics_address == other.metrics_address
    }
}

fn check_descriptors(
    document: &Document,
    file_descriptors: Option<f64>,
) -> Result<Option<DescriptorCount>, SettingsError> {
    match file_descriptors {
        Some(count) if !(count.is_finite() && count >= MIN_DESCRIPTORS) => {
            let reason = format!("{count} is below {MIN_DESCRIPTORS}");
            Err(document.value_error("file_descriptors", reason))
        }
        checked => Ok(checked.map(|it| DescriptorCount::new(it as u64))),
    }
}

fn default_memory_mb() -> f64 {
    let vm_memory_mb = vm_memory().map(|it| it.get() as f64 / BYTES_PER_MB);
    let default = vm_memory_mb.map_or(DEFAULT_MEMORY_MB, |it| it.min(DEFAULT_MEMORY_MB));
    default.max(MIN_MEMORY_MB)
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
    let exposure_slack = check(
        "exposure_slack",
        raw.exposure_slack,
        DEFAULT_EXPOSURE_SLACK,
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
        exposure_slack: RequestCount::new(exposure_slack as u64),
    })
}
