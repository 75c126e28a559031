//! Settings of a node.

use std::{net::SocketAddr, path::PathBuf};

use parsleylatch_types::{ByteCount, FailureDomain, NodeId, Region};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::{document::Document, error::SettingsError, key::KeyDigest};

/// Maximum number of traffic threads of one node.
const MAX_TRAFFIC_THREADS: usize = 64;
/// Minimum value of the request body limit.
const MIN_BODY_LIMIT_BYTES: u64 = 1_024;

/// Permission of an administration key.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// May read everything.
    Read,
    /// May store template drafts.
    Edit,
    /// May accept drafts and drain nodes.
    Accept,
}

/// Format of log lines.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// One line of text per record.
    #[default]
    Text,
    /// One JSON object per record.
    Json,
}

/// One administration key.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminKey {
    /// Name of the key in audit log lines.
    pub name: String,
    /// SHA-256 digest of the key.
    pub key_sha256: KeyDigest,
    /// Permissions of the key.
    pub roles: Vec<Role>,
}

/// Log settings of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of the log lines.
    pub format: LogFormat,
    /// Least severe level that is logged: error, warn, info, debug or trace.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".to_owned(),
        }
    }
}

/// Resource limits of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeLimits {
    /// Maximum size of a request body.
    pub body_bytes: ByteCount,
    /// Maximum memory for journals that are held for other nodes.
    pub journal_bytes: ByteCount,
    /// Maximum number of concurrent generations.
    pub generations: usize,
}

impl Default for NodeLimits {
    fn default() -> Self {
        Self {
            body_bytes: ByteCount::new(1 << 20),
            journal_bytes: ByteCount::new(96 << 20),
            generations: 2_000,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawNodeSettings {
    node_id: NodeId,
    failure_domain: FailureDomain,
    region: Region,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    peer_address: SocketAddr,
    store_address: SocketAddr,
    vm_list_address: SocketAddr,
    traffic_threads: Option<usize>,
    #[serde(default)]
    admin_keys: Vec<AdminKey>,
    #[serde(default)]
    log: LogSettings,
    trace_file: Option<PathBuf>,
    statsd_address: Option<SocketAddr>,
    #[serde(default)]
    limits: NodeLimits,
}

/// Checked settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Id of the node.
    pub node_id: NodeId,
    /// Failure domain of the node's VM.
    pub failure_domain: FailureDomain,
    /// Region of the node's VM.
    pub region: Region,
    /// Listening address for callers. With port 0 the kernel chooses the port.
    pub caller_address: SocketAddr,
    /// Listening address for operators.
    pub admin_address: SocketAddr,
    /// Listening address for other nodes.
    pub peer_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the platform's VM list.
    pub vm_list_address: SocketAddr,
    /// Number of traffic threads.
    pub traffic_threads: usize,
    /// Administration keys.
    pub admin_keys: Vec<AdminKey>,
    /// Log settings.
    pub log: LogSettings,
    /// File to which spans are appended as JSON lines.
    pub trace_file: Option<PathBuf>,
    /// Address of the StatsD server that receives the counters.
    pub statsd_address: Option<SocketAddr>,
    /// Resource limits.
    pub limits: NodeLimits,
}

impl NodeSettings {
    /// Reads and checks the settings of a node.
    ///
    /// # Errors
    /// The first invalid field.
    pub fn read(document: &Document) -> Result<Self, SettingsError> {
        let raw: RawNodeSettings = document.parse()?;
        let traffic_threads = raw.traffic_threads.unwrap_or(2);
        check_traffic_threads(document, traffic_threads)?;
        check_limits(document, &raw.limits)?;
        check_log(document, &raw.log)?;
        check_admin_keys(document, &raw.admin_keys)?;
        Ok(Self {
            node_id: raw.node_id,
            failure_domain: raw.failure_domain,
            region: raw.region,
            caller_address: raw.caller_address,
            admin_address: raw.admin_address,
            peer_address: raw.peer_address,
            store_address: raw.store_address,
            vm_list_address: raw.vm_list_address,
            traffic_threads,
            admin_keys: raw.admin_keys,
            log: raw.log,
            trace_file: raw.trace_file,
            statsd_address: raw.statsd_address,
            limits: raw.limits,
        })
    }
}

fn check_traffic_threads(document: &Document, threads: usize) -> Result<(), SettingsError> {
    if (1..=MAX_TRAFFIC_THREADS).contains(&threads) {
        return Ok(());
    }
    let reason = format!("{threads} is not between 1 and {MAX_TRAFFIC_THREADS}");
    Err(document.value_error("traffic_threads", reason))
}

fn check_limits(document: &Document, limits: &NodeLimits) -> Result<(), SettingsError> {
    if limits.body_bytes.get() < MIN_BODY_LIMIT_BYTES {
        let reason = format!("{} is below {MIN_BODY_LIMIT_BYTES}B", limits.body_bytes);
        return Err(document.value_error("limits.body_bytes", reason));
    }
    if limits.generations == 0 {
        return Err(document.value_error("limits.generations", "0 would refuse every request"));
    }
    Ok(())
}

fn check_log(document: &Document, log: &LogSettings) -> Result<(), SettingsError> {
    const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
    if LEVELS.contains(&log.level.as_str()) {
        return Ok(());
    }
    let reason = format!("`{}` is not one of {}", log.level, LEVELS.join(", "));
    Err(document.value_error("log.level", reason))
}

fn check_admin_keys(document: &Document, keys: &[AdminKey]) -> Result<(), SettingsError> {
    match keys.iter().position(|key| key.roles.is_empty()) {
        Some(index) => {
            let field = format!("admin_keys[{index}].roles");
            Err(document.value_error(&field, "a key needs at least one role"))
        }
        None => Ok(()),
    }
}
