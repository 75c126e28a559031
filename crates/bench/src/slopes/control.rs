//! Cost of control work, measured within this process on generated state.

use std::collections::BTreeMap;

use eyre::Result;
use parsleylatch_decide::{
    generation::PlacementConstraints,
    placement::{PlacementRequest, Placer},
};
use parsleylatch_settings::{Document, Template, Tier, TokenTimeouts};
use parsleylatch_types::{EndpointId, MonoTime, RequestCount, Revision};
use parsleylatch_wire::{
    engine::LoadReport,
    platform::{ListReply, VmListReply},
};

use super::state::{self, Size};
use crate::{process::resident_memory, prompts::Prompts, report::Report, timing::nanos_per_call};

/// System sizes up to the target; nodes, endpoints and workspaces grow together.
pub(super) const SIZES: [Size; 4] = [
    Size {
        nodes: 9,
        endpoints: 36,
        workspaces: 10,
    },
    Size {
        nodes: 35,
        endpoints: 62,
        workspaces: 63,
    },
    Size {
        nodes: 100,
        endpoints: 177,
        workspaces: 180,
    },
    Size {
        nodes: 350,
        endpoints: 620,
        workspaces: 630,
    },
];
/// Numbers of endpoints for the measures that depend only on them.
const ENDPOINT_COUNTS: [usize; 4] = [54, 177, 620, 2_500];
/// Snapshots kept in memory together, so that the mean size of one can be measured.
const SNAPSHOT_COUNT: usize = 40;
const NANOS_PER_MICRO: f64 = 1_000.0;

pub(super) fn measure(report: &mut Report) -> Result<()> {
    for size in SIZES {
        measure_snapshot(size, report)?;
        measure_configuration(size, report)?;
        measure_vm_list(size, report)?;
    }
    for endpoints in ENDPOINT_COUNTS {
        measure_placement(endpoints, report);
        measure_load_report(endpoints, report)?;
    }
    Ok(())
}

/// Measures the time to build a snapshot, which follows every load report, and its memory.
fn measure_snapshot(size: Size, report: &mut Report) -> Result<()> {
    let configuration = state::configuration(size);
    let vms = state::vm_list(size).vms;
    let nanos = nanos_per_call(|| state::snapshot(&configuration, &vms));
    let nodes = size.nodes as u64;
    let case = "by nodes; endpoints and workspaces grow along";
    report.add_sized("snapshot_build", case, nodes, nanos / NANOS_PER_MICRO, "us");
    let before = resident_memory("self")?;
    let snapshots: Vec<_> = (0..SNAPSHOT_COUNT)
        .map(|_| state::snapshot(&configuration, &vms))
        .collect();
    let growth = resident_memory("self")?.saturating_sub(before).get();
    let each = growth as f64 / snapshots.len() as f64;
    report.add_sized("snapshot_memory", case, nodes, each, "B");
    Ok(())
}

/// Measures one template change: parsing, applying and rebuilding the key table.
fn measure_configuration(size: Size, report: &mut Report) -> Result<()> {
    let entries = state::templates(size);
    let mut configuration = state::configuration(size);
    let mut revision = Revision::new(1_000_000);
    let entry = &entries[0];
    let first = Template::read(&Document::new(&entry.key, &entry.value))?;
    let workspace = first.workspace;
    let nanos = nanos_per_call(|| {
        revision = revision.next();
        let template = Template::read(&Document::new(&entry.key, &entry.value));
        configuration.apply_document(MonoTime::ZERO, &workspace, revision, template);
        configuration.by_key()
    });
    let workspaces = size.workspaces as u64;
    let case = "by workspaces";
    let micros = nanos / NANOS_PER_MICRO;
    report.add_sized("template_apply", case, workspaces, micros, "us");
    let listing = ListReply {
        entries,
        deleted: Vec::new(),
        revision,
    };
    let bytes = serde_json::to_vec(&listing)?.len();
    report.add_sized("template_listing", case, workspaces, bytes as f64, "B");
    Ok(())
}

/// Measures one read of an unchanged VM list.
fn measure_vm_list(size: Size, report: &mut Report) -> Result<()> {
    let known = state::vm_list(size);
    let body = serde_json::to_vec(&known)?;
    let nanos = nanos_per_call(|| {
        let read: VmListReply = serde_json::from_slice(&body).expect("a valid list");
        read.vms == known.vms
    });
    let nodes = size.nodes as u64;
    let case = "by nodes; endpoints grow along";
    report.add_sized("vm_list_read", case, nodes, nanos / NANOS_PER_MICRO, "us");
    report.add_sized("vm_list_body", case, nodes, body.len() as f64, "B");
    Ok(())
}

/// Measures the choice of an engine for one attempt.
fn measure_placement(endpoints: usize, report: &mut Report) {
    let size = Size {
        nodes: 9,
        endpoints,
        workspaces: 1,
    };
    let vms = state::vm_list(size).vms;
    let snapshot = state::snapshot(&state::configuration(size), &vms);
    let mut placer = Placer::new(state::region(0));
    let constraints = PlacementConstraints {
        endpoint_versions: vec![state::version(0)],
        failed_endpoints: Vec::new(),
    };
    let (model, detection) = (state::model(0), TokenTimeouts::default());
    let mut prompts = Prompts::new(1, 256, 256, 16);
    let prompts: Vec<String> = (0..1_024).map(|_| prompts.next_prompt()).collect();
    let mut request_count = 0;
    let nanos = nanos_per_call(|| {
        request_count += 1;
        let request = PlacementRequest {
            model: &model,
            prompt: &prompts[request_count % prompts.len()],
            constraints: &constraints,
            detection: &detection,
            tier: Tier::Paying,
            cluster_threads: RequestCount::new(1),
        };
        let placed = placer.place(MonoTime::ZERO, &snapshot, &request);
        if let Some(placement) = placed {
            placer.record_end(&placement.endpoint, Tier::Paying);
        }
    });
    let micros = nanos / NANOS_PER_MICRO;
    let case = "by endpoints of five models";
    report.add_sized("placement", case, endpoints as u64, micros, "us");
}

/// Measures parsing of one load report and its insertion into the table of loads.
fn measure_load_report(endpoints: usize, report: &mut Report) -> Result<()> {
    let load = LoadReport {
        running: RequestCount::new(40),
        waiting: RequestCount::new(3),
        capacity: RequestCount::new(64),
        leaving: false,
    };
    let body = serde_json::to_vec(&load)?;
    let ids: Vec<EndpointId> = (0..endpoints).map(state::engine_id).collect();
    let mut loads: BTreeMap<EndpointId, LoadReport> = BTreeMap::new();
    let mut report_count = 0;
    let nanos = nanos_per_call(|| {
        report_count += 1;
        let load = serde_json::from_slice(&body).expect("a valid report");
        loads.insert(ids[report_count % ids.len()].clone(), load)
    });
    let case = "by endpoints; without the snapshot";
    let micros = nanos / NANOS_PER_MICRO;
    report.add_sized("load_report_take", case, endpoints as u64, micros, "us");
    let bytes = body.len() as f64;
    report.add_sized("load_report_body", case, endpoints as u64, bytes, "B");
    Ok(())
}
