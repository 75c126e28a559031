//! Settings of one node.

use std::{net::SocketAddr, path::PathBuf};

use parsleylatch_types::{ByteCount, FailureDomain, NodeId, Region};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::{document::Document, error::SettingsError, key::KeyDigest};

/// Most traffic threads of one node.
const MAX_TRAFFIC_THREADS: usize = 64;
/// Smallest limit on a request body.
const MIN_BODY_LIMIT_BYTES: u64 = 1_024;

/// What an administration key may do.
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
    /// May look at everything.
    Read,
    /// May draft templates.
    Edit,
    /// May accept drafts and drain nodes.
    Accept,
}

/// Form of log lines.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// One line of text a record.
    #[default]
    Text,
    /// One JSON object a record.
    Json,
}

/// One administration key.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminKey {
    /// Name for the audit line.
    pub name: String,
    /// Digest of the key.
    pub key_sha256: KeyDigest,
    /// What the key may do.
    pub roles: Vec<Role>,
}

/// How a node logs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least severe level that is written: error, warn, info, debug or trace.
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

/// Limits of one node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeLimits {
    /// Largest request body.
    pub body_bytes: ByteCount,
    /// Memory that journals held for other nodes may take.
    pub journal_bytes: ByteCount,
    /// Generations that run at the same time on this node.
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
    /// Address for callers; port 0 lets the kernel choose.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub admin_address: SocketAddr,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the platform's VM list.
    pub vm_list_address: SocketAddr,
    /// Threads that carry traffic.
    pub traffic_threads: usize,
    /// Administration keys.
    pub admin_keys: Vec<AdminKey>,
    /// How the node logs.
    pub log: LogSettings,
    /// File to which spans are appended as JSON lines.
    pub trace_file: Option<PathBuf>,
    /// StatsD address to which counters are sent.
    pub statsd_address: Option<SocketAddr>,
    /// Limits of the node.
    pub limits: NodeLimits,
}

impl NodeSettings {
    /// Reads and checks the settings of a node.
    ///
    /// # Errors
    /// The first field that is wrong.
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
