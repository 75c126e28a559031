//! Codec of the project's own message formats, which the stand-in servers use.

use std::net::SocketAddr;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use parsleylatch_decide::relay::{
    Backend, CallerLimits, ConfigurationPlace, CopySource, EndpointEntry, EndpointKey,
    EngineReport, PromptChain, RelayConfigurationParts, RelayRoute, RelayWorkspace, RepeatPolicy,
    RolloutOrder, RolloutStatus, RunProgress, ServiceRules,
};
use parsleylatch_http::{single_header, u64_header};
use parsleylatch_settings::KeyDigest;
use parsleylatch_store::StoreCodec;
use parsleylatch_types::{
    ByteCount, EndpointVersion, FailureDomain, Incarnation, Millis, PromptPartId, Rank, RouteName,
    ServiceName, SlotCount, StreamEventId, TokenCount, Weight, WorkspaceId,
};
use serde::Deserialize;
use serde_json::json;

use crate::codec::{
    CopyCodec, DocumentCodec, ForwardMetadata, RelayCodec, RequestCodec, RequestMetadata,
    ResponseCodec, ResponseMetadata, RolloutCodec,
};
use crate::load_header::read_load;

/// Id that the caller assigned to this attempt; endpoints echo it in their response.
const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Milliseconds until the caller's or, for an endpoint, the request's deadline.
const REMAINING_MS: HeaderName = HeaderName::from_static("remaining-ms");
/// API key of the caller's workspace.
const WORKSPACE_KEY: HeaderName = HeaderName::from_static("workspace-key");
/// Parts of the prompt that other requests may share, in order, separated by commas.
const SHARED_PROMPT_PARTS: HeaderName = HeaderName::from_static("shared-prompt-parts");
/// Last part of the prompt.
const PROMPT_PART: HeaderName = HeaderName::from_static("prompt-part");
/// Number of tokens in the prompt.
const PROMPT_TOKENS: HeaderName = HeaderName::from_static("prompt-tokens");
/// Maximum number of generated tokens.
const OUTPUT_TOKENS: HeaderName = HeaderName::from_static("output-tokens");
/// Last event of the stream that the caller has received.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Workspace of the caller, sent to endpoints.
const WORKSPACE: HeaderName = HeaderName::from_static("workspace");
/// Intended endpoint.
const ENDPOINT_ID: HeaderName = HeaderName::from_static("endpoint-id");
/// Scheduling rank among the endpoint's requests.
const RANK: HeaderName = HeaderName::from_static("rank");
/// Engine to which the run's KV cache is replicated as it grows.
const BACKUP: HeaderName = HeaderName::from_static("memory-backup");
/// Copy of the run's KV cache, as `ADDRESS/HANDLE`: the engine that has it and the
/// copy's handle.
const COPY: HeaderName = HeaderName::from_static("memory-copy");
/// Digest of the endpoint's response.
const RESPONSE_DIGEST: HeaderName = HeaderName::from_static("answer-digest");
/// Present if the endpoint did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
/// Load of the endpoint, as `RUNNING,WAITING[,SLOTS[,PACE]]`: requests, requests that it runs
/// concurrently, and the time that work takes at present in percent of the usual time.
const ENDPOINT_LOAD: HeaderName = HeaderName::from_static("endpoint-load");
/// Present if the endpoint leaves.
const ENDPOINT_LEAVING: HeaderName = HeaderName::from_static("endpoint-leaving");
/// Milliseconds for which an endpoint that did not run the request wants no others.
const PAUSE_MS: HeaderName = HeaderName::from_static("pause-ms");

/// Prefix of the keys of the endpoints' entries, followed by the id.
const REGISTRY_PREFIX: &str = "endpoints/";

impl RelayCodec {
    /// Codec of the project's own message formats.
    pub const fn own() -> Self {
        Self {
            store: StoreCodec::own(),
            documents: DocumentCodec {
                configuration_key: "operator/configuration",
                read_configuration,
                configuration_marker: "\"repeat\"",
                configuration_path,
                registry_prefix: REGISTRY_PREFIX,
                read_entry,
                read_sequence: |_| None,
            },
            rollouts: RolloutCodec {
                order_prefix: "operator/rollouts/",
                read_order: |text| {
                    let file: RolloutFile = parse(text.as_bytes())?;
                    Ok(RolloutOrder {
                        service: file.service,
                        target: file.target,
                        duration_ms: file.duration_ms,
                    })
                },
                status_prefix: "rollouts/",
                read_status: |service, text| {
                    let file: RolloutStatusFile = parse(text.as_bytes())?;
                    Ok(RolloutStatus {
                        service: service.clone(),
                        target: file.target,
                        phase: file.phase.parse().map_err(|it| format!("phase: {it}"))?,
                    })
                },
                write_status: |status| {
                    json!({"target": status.target, "phase": status.phase.to_string()}).to_string()
                },
            },
            requests: RequestCodec {
                read: read_request,
                is_system_header: |name| {
                    [
                        REMAINING_MS,
                        WORKSPACE_KEY,
                        WORKSPACE,
                        ENDPOINT_ID,
                        RANK,
                        BACKUP,
                        COPY,
                    ]
                    .contains(name)
                },
                write: write_request,
            },
            responses: ResponseCodec {
                read: read_response,
                probe_path: "/v1/state",
                read_report,
                prompt_parts_path: "/v1/prompt-parts",
                read_prompt_parts: |body| parse::<Vec<PromptPartId>>(body),
            },
            copies: CopyCodec {
                path: "/v1/copies",
                build_request: |id, target| {
                    json!({"request_id": id, "target": target})
                        .to_string()
                        .into_bytes()
                },
                read_handle: |body| {
                    let reply: CopyReply = parse(body)?;
                    Ok(reply.copy)
                },
            },
            ready_path: "/v1/ready",
        }
    }
}

fn read_request(headers: &HeaderMap) -> Result<RequestMetadata, String> {
    let number = |name: &HeaderName| u64_header(headers, name);
    let tokens = |name: &HeaderName| -> Result<TokenCount, String> {
        let count = number(name)?.unwrap_or_default();
        let count = u32::try_from(count).map_err(|_| format!("{name} is too large"))?;
        Ok(TokenCount::new(count))
    };
    let id = single_header(headers, &REQUEST_ID)?.ok_or("no request id")?;
    Ok(RequestMetadata {
        id: id.parse().map_err(|it| format!("request id: {it}"))?,
        timeout_ms: number(&REMAINING_MS)?.map(Millis::new),
        key: single_header(headers, &WORKSPACE_KEY)?.map(str::to_owned),
        prompt_tokens: tokens(&PROMPT_TOKENS)?,
        max_output_tokens: tokens(&OUTPUT_TOKENS)?,
        prompt: read_prompt(headers)?,
        last_event: number(&LAST_EVENT_ID)?.map(StreamEventId::new),
    })
}

fn read_prompt(headers: &HeaderMap) -> Result<PromptChain, String> {
    let shared = single_header(headers, &SHARED_PROMPT_PARTS)?.unwrap_or_default();
    let shared = shared.split(',').filter_map(|it| it.trim().parse().ok());
    let last = single_header(headers, &PROMPT_PART)?;
    Ok(PromptChain::new(
        shared,
        last.and_then(|it| it.parse().ok()),
    ))
}

fn write_request(metadata: &ForwardMetadata<'_>, headers: &mut HeaderMap) {
    let copy = metadata.copy.map(|(holder, source)| match source {
        CopySource::Backup => format!("{holder}/{}", metadata.id),
        CopySource::Ordered { source, handle } => format!("{source}/{handle}"),
    });
    let lines = [
        (REMAINING_MS, Some(metadata.remaining_ms.get().to_string())),
        (ENDPOINT_ID, Some(metadata.endpoint.to_string())),
        (WORKSPACE, metadata.workspace.map(ToString::to_string)),
        (RANK, metadata.rank.map(|rank| rank.to_string())),
        (LAST_EVENT_ID, metadata.last_event.map(|id| id.to_string())),
        (BACKUP, metadata.backup.map(|address| address.to_string())),
        (COPY, copy),
    ];
    for (name, text) in lines {
        // Ids, numbers and addresses are valid header values.
        if let Some(Ok(value)) = text.map(HeaderValue::try_from) {
            headers.insert(name, value);
        }
    }
}

fn read_response(status: StatusCode, headers: &HeaderMap) -> ResponseMetadata {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    ResponseMetadata {
        id: text(&REQUEST_ID).map(str::to_owned),
        has_digest: headers.contains_key(RESPONSE_DIGEST),
        is_not_run: headers.contains_key(NOT_RUN),
        is_misdirected: status == StatusCode::MISDIRECTED_REQUEST,
        load: headers.get(ENDPOINT_LOAD).map(read_load),
        is_leaving: headers.contains_key(ENDPOINT_LEAVING),
        pause: (status == StatusCode::SERVICE_UNAVAILABLE)
            .then(|| text(&PAUSE_MS))
            .flatten()
            .map(|text| text.parse().map_err(|error| format!("{text:?}: {error}"))),
    }
}

#[derive(Deserialize)]
struct CopyReply {
    copy: Box<str>,
}

#[derive(Deserialize)]
struct StateReply {
    running: u32,
    waiting: u32,
    /// Memory that can't be reclaimed, in tokens.
    #[serde(default)]
    memory_used: TokenCount,
    /// Memory of the engine, in tokens.
    #[serde(default)]
    memory_total: TokenCount,
    runs: Vec<RunReply>,
}

#[derive(Deserialize)]
struct RunReply {
    request_id: Box<str>,
    events: u64,
}

fn read_report(body: &[u8]) -> Result<EngineReport, String> {
    let reply: StateReply = parse(body)?;
    let runs = reply.runs.into_iter().map(|run| RunProgress {
        id: run.request_id,
        events: run.events,
    });
    Ok(EngineReport {
        running: reply.running,
        waiting: reply.waiting,
        memory_used: reply.memory_used,
        memory_total: reply.memory_total,
        runs: runs.collect(),
    })
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EntryFile {
    service: ServiceName,
    address: SocketAddr,
    failure_domain: FailureDomain,
    endpoint_version: EndpointVersion,
    slots: SlotCount,
    incarnation: Incarnation,
    #[serde(default)]
    is_leaving: bool,
}

fn read_entry(key: &str, value: &str) -> Result<EndpointEntry, String> {
    let id = key.strip_prefix(REGISTRY_PREFIX).unwrap_or(key);
    let file: EntryFile = parse(value.as_bytes())?;
    Ok(EndpointEntry {
        key: EndpointKey {
            id: id.parse().map_err(|it| format!("{it}"))?,
            incarnation: file.incarnation,
        },
        service: file.service,
        address: file.address,
        failure_domain: file.failure_domain,
        version: file.endpoint_version,
        slots: file.slots,
        is_leaving: file.is_leaving,
    })
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RolloutFile {
    service: ServiceName,
    target: EndpointVersion,
    duration_ms: Millis,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RolloutStatusFile {
    target: EndpointVersion,
    phase: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfigurationFile {
    version: u64,
    routes: Vec<RouteFile>,
    services: Vec<ServiceFile>,
    limits: Option<LimitsFile>,
    workspaces: Option<Vec<WorkspaceFile>>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RepeatFile {
    Idempotent,
    OnceOnly,
    Stream,
    ResumableStream,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteFile {
    name: RouteName,
    host: Box<str>,
    path_prefix: Box<str>,
    repeat: RepeatFile,
    timeout_ms: Millis,
    goal_ms: Millis,
    gap_goal_ms: Option<Millis>,
    rank: Rank,
    attempts: u32,
    #[serde(default)]
    is_public: bool,
    backends: Vec<BackendFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BackendFile {
    service: ServiceName,
    weight: Weight,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceFile {
    name: ServiceName,
    connection_limit: u32,
    #[serde(default)]
    has_backups: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LimitsFile {
    head_bytes: ByteCount,
    body_bytes: ByteCount,
    head_timeout_ms: Millis,
    idle_timeout_ms: Millis,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceFile {
    id: WorkspaceId,
    keys: Vec<String>,
    rank: Option<Rank>,
}

fn read_configuration(text: &str) -> Result<RelayConfigurationParts, String> {
    let file: ConfigurationFile = parse(text.as_bytes())?;
    let services = file.services.into_iter().map(|it| ServiceRules {
        name: it.name,
        connection_limit: it.connection_limit,
        has_backups: it.has_backups,
    });
    let limits = file.limits.map(|it| CallerLimits {
        head_bytes: it.head_bytes,
        body_bytes: it.body_bytes,
        head_timeout_ms: it.head_timeout_ms,
        idle_timeout_ms: it.idle_timeout_ms,
    });
    let workspace = |it: WorkspaceFile| {
        let keys = it.keys.iter().map(|key| KeyDigest::of_key(key)).collect();
        let (id, rank) = (it.id, it.rank);
        (RelayWorkspace { id, rank }, keys)
    };
    Ok(RelayConfigurationParts {
        version: file.version,
        routes: file.routes.into_iter().map(route).collect(),
        services: services.collect(),
        limits,
        workspaces: file
            .workspaces
            .map(|listed| listed.into_iter().map(workspace).collect()),
    })
}

fn configuration_path(place: ConfigurationPlace) -> String {
    match place {
        ConfigurationPlace::Document => String::new(),
        ConfigurationPlace::Version => "version".to_owned(),
        ConfigurationPlace::Route(index, field) => format!("routes[{index}].{field}"),
        ConfigurationPlace::Backend { route, backend } => {
            format!("routes[{route}].backends[{backend}]")
        }
        ConfigurationPlace::Service(index, field) => format!("services[{index}].{field}"),
        ConfigurationPlace::Limits => "limits".to_owned(),
        ConfigurationPlace::Limit(field) => format!("limits.{field}"),
        ConfigurationPlace::Workspaces => "workspaces".to_owned(),
        ConfigurationPlace::Workspace(index, field) => format!("workspaces[{index}].{field}"),
    }
}

fn route(file: RouteFile) -> RelayRoute {
    let backends = file.backends.into_iter().map(|it| Backend {
        service: it.service,
        weight: it.weight,
    });
    RelayRoute {
        name: file.name,
        host: file.host,
        path_prefix: file.path_prefix,
        repeat: match file.repeat {
            RepeatFile::Idempotent => RepeatPolicy::Idempotent,
            RepeatFile::OnceOnly => RepeatPolicy::OnceOnly,
            RepeatFile::Stream => RepeatPolicy::Stream { resumable: false },
            RepeatFile::ResumableStream => RepeatPolicy::Stream { resumable: true },
        },
        timeout_ms: file.timeout_ms,
        goal_ms: file.goal_ms,
        gap_goal_ms: file.gap_goal_ms,
        rank: file.rank,
        attempts: file.attempts.max(1),
        is_public: file.is_public,
        backends: backends.collect(),
    }
}

fn parse<'a, Message>(body: &'a [u8]) -> Result<Message, String>
where
    Message: Deserialize<'a>,
{
    serde_json::from_slice(body).map_err(|error| error.to_string())
}
