//! Generated state of a system of a given size.

use std::{net::SocketAddr, sync::Arc};

use parsleylatch_decide::{
    configuration::Configuration,
    view::{EndpointCondition, EndpointKind, EndpointView, PeerView, Snapshot},
};
use parsleylatch_settings::{Document, KeyDigest, Template};
use parsleylatch_types::{
    EndpointId, EndpointVersion, FailureDomain, ModelId, MonoTime, Region, RequestCount, Revision,
    WorkspaceId,
};
use parsleylatch_wire::platform::{KeyValue, VmEntry, VmListReply, VmRole};

const FAILURE_DOMAINS: usize = 7;
const FIRST_REGION_DOMAINS: usize = 4;
const MODELS: usize = 5;
/// Streams that an engine runs concurrently.
const ENGINE_CAPACITY: u64 = 64;

/// Size of a system.
#[derive(Clone, Copy, Debug)]
pub(super) struct Size {
    pub(super) nodes: usize,
    pub(super) endpoints: usize,
    pub(super) workspaces: usize,
}

fn parse_id<Id>(text: String) -> Id
where
    Id: std::str::FromStr,
    Id::Err: std::fmt::Debug,
{
    text.parse().expect("a valid id")
}

pub(super) fn model(position: usize) -> ModelId {
    parse_id(format!("model-{}", position % MODELS))
}

pub(super) fn version(position: usize) -> EndpointVersion {
    parse_id(format!("model-{}-v7", position % MODELS))
}

fn domain(position: usize) -> FailureDomain {
    parse_id(format!("domain-{}", position % FAILURE_DOMAINS))
}

pub(super) fn region(position: usize) -> Region {
    let second = position % FAILURE_DOMAINS >= FIRST_REGION_DOMAINS;
    parse_id(format!("region-{}", u8::from(second) + 1))
}

fn address(network: u8, position: usize) -> SocketAddr {
    let [_, _, high, low] = (position as u32).to_be_bytes();
    ([10, network, high, low], 7_000).into()
}

/// Builds the platform's list of VMs.
pub(super) fn vm_list(size: Size) -> VmListReply {
    let entry = |name: String, network: u8, position: usize, role: VmRole| VmEntry {
        id: parse_id(name),
        address: address(network, position),
        failure_domain: domain(position),
        region: region(position),
        role,
        leaving: false,
    };
    let nodes = (0..size.nodes).map(|position| {
        let caller_address = address(2, position);
        let role = VmRole::Node { caller_address };
        entry(format!("node-{position}"), 1, position, role)
    });
    let engines = (0..size.endpoints).map(|position| {
        let role = VmRole::Engine {
            model: model(position),
            endpoint_version: version(position),
        };
        entry(format!("engine-{position}"), 3, position, role)
    });
    VmListReply {
        vms: nodes.chain(engines).collect(),
    }
}

/// Builds the store entries of the accepted templates.
pub(super) fn templates(size: Size) -> Vec<KeyValue> {
    let entries = (0..size.workspaces).map(|position| {
        let value = serde_json::json!({
            "workspace": workspace_id(position),
            "key_sha256": [KeyDigest::of_key(&format!("key-{position}"))],
            "tier": if position % 2 == 0 { "paying" } else { "free" },
            "model": model(position),
            "endpoint_versions": [version(position)],
            "services": [{ "service": "dispatch", "operations": [
                { "operation": "status", "idempotent": true },
                { "operation": "book", "idempotent": false },
            ] }],
        });
        KeyValue {
            key: format!("templates/workspace-{position}"),
            value: value.to_string(),
            revision: Revision::new(position as u64 + 1),
        }
    });
    entries.collect()
}

/// Builds a configuration with every template applied.
pub(super) fn configuration(size: Size) -> Configuration {
    let mut configuration = Configuration::new();
    for entry in templates(size) {
        let document = Document::new(&entry.key, &entry.value);
        let template = Template::read(&document).expect("a valid template");
        let workspace = template.workspace.clone();
        configuration.apply_document(MonoTime::ZERO, &workspace, entry.revision, Ok(template));
    }
    configuration
}

/// Builds a snapshot as the control thread does, with every view rebuilt.
pub(super) fn snapshot(configuration: &Configuration, vms: &[VmEntry]) -> Snapshot {
    Snapshot {
        workspaces: configuration.by_key(),
        endpoints: vms.iter().filter_map(endpoint_view).map(Arc::new).collect(),
        peers: vms.iter().filter_map(peer_view).collect(),
        accepting: true,
        ..Snapshot::default()
    }
}

fn endpoint_view(vm: &VmEntry) -> Option<EndpointView> {
    let VmRole::Engine {
        model,
        endpoint_version,
    } = &vm.role
    else {
        return None;
    };
    Some(EndpointView {
        id: vm.id.clone(),
        address: vm.address,
        kind: EndpointKind::Engine {
            model: model.clone(),
            version: endpoint_version.clone(),
        },
        failure_domain: vm.failure_domain.clone(),
        region: vm.region.clone(),
        condition: EndpointCondition::Live,
        reported_running: RequestCount::new(8),
        reported_waiting: RequestCount::ZERO,
        capacity: RequestCount::new(ENGINE_CAPACITY),
        pace_us: None,
    })
}

fn peer_view(vm: &VmEntry) -> Option<PeerView> {
    let VmRole::Node { caller_address } = &vm.role else {
        return None;
    };
    Some(PeerView {
        id: parse_id(vm.id.to_string()),
        peer_address: vm.address,
        caller_address: Some(*caller_address),
        failure_domain: vm.failure_domain.clone(),
        region: vm.region.clone(),
        live: true,
    })
}

pub(super) fn workspace_id(position: usize) -> WorkspaceId {
    parse_id(format!("workspace-{position}"))
}

pub(super) fn engine_id(position: usize) -> EndpointId {
    parse_id(format!("engine-{position}"))
}
