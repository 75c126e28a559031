//! State charts embedded in the binary.

use std::sync::LazyLock;

use parsleylatch_chart::{Bindings, ChartError, Machine};
use strum::{VariantArray, VariantNames};

/// One embedded chart file.
#[derive(Clone, Copy, Debug)]
pub struct ChartSource {
    /// Chart name, as in the file.
    pub name: &'static str,
    /// Contents of the chart file.
    pub text: &'static str,
}

macro_rules! chart_source {
    ($name:literal) => {
        ChartSource {
            name: $name,
            text: include_str!(concat!("../../../charts/", $name, ".jsonc")),
        }
    };
}

pub(crate) const ADMISSION: ChartSource = chart_source!("admission");
pub(crate) const ATTEMPT: ChartSource = chart_source!("attempt");
pub(crate) const CALL: ChartSource = chart_source!("call");
pub(crate) const CALL_LIMIT: ChartSource = chart_source!("call_limit");
pub(crate) const CALLER_PLACE: ChartSource = chart_source!("caller_place");
pub(crate) const CLAIM_SETTLEMENT: ChartSource = chart_source!("claim_settlement");
pub(crate) const CONFIGURATION: ChartSource = chart_source!("configuration");
pub(crate) const ENDPOINT_HEALTH: ChartSource = chart_source!("endpoint_health");
pub(crate) const ENDPOINT_NOTICE: ChartSource = chart_source!("endpoint_notice");
pub(crate) const ENDPOINT_PROBE: ChartSource = chart_source!("endpoint_probe");
pub(crate) const EXCHANGE: ChartSource = chart_source!("exchange");
pub(crate) const GENERATION: ChartSource = chart_source!("generation");
pub(crate) const JOURNAL: ChartSource = chart_source!("journal");
pub(crate) const JOURNAL_ENTRY: ChartSource = chart_source!("journal_entry");
pub(crate) const IDEMPOTENT_CALL: ChartSource = chart_source!("idempotent_call");
pub(crate) const LEASE_HOLDER: ChartSource = chart_source!("lease_holder");
pub(crate) const LISTENER_PLACE: ChartSource = chart_source!("listener_place");
pub(crate) const MEMBER: ChartSource = chart_source!("member");
pub(crate) const LOCALITY_SHARE: ChartSource = chart_source!("locality_share");
pub(crate) const NODE_LIFE: ChartSource = chart_source!("node_life");
pub(crate) const RELAY_LIFE: ChartSource = chart_source!("relay_life");
pub(crate) const STORE_SESSION: ChartSource = chart_source!("store_session");
pub(crate) const STORE_SOURCE: ChartSource = chart_source!("store_source");
pub(crate) const TRAFFIC_LOAD: ChartSource = chart_source!("traffic_load");
pub(crate) const VERSION_MOVE: ChartSource = chart_source!("version_move");
pub(crate) const PEER: ChartSource = chart_source!("peer");
pub(crate) const PROMPT_PART: ChartSource = chart_source!("prompt_part");

/// All embedded charts.
pub const ALL: &[ChartSource] = &[
    ADMISSION,
    ATTEMPT,
    CALL,
    CALL_LIMIT,
    CALLER_PLACE,
    CLAIM_SETTLEMENT,
    CONFIGURATION,
    ENDPOINT_HEALTH,
    ENDPOINT_NOTICE,
    ENDPOINT_PROBE,
    EXCHANGE,
    GENERATION,
    IDEMPOTENT_CALL,
    LEASE_HOLDER,
    LISTENER_PLACE,
    LOCALITY_SHARE,
    MEMBER,
    NODE_LIFE,
    RELAY_LIFE,
    STORE_SESSION,
    STORE_SOURCE,
    TRAFFIC_LOAD,
    VERSION_MOVE,
    JOURNAL,
    JOURNAL_ENTRY,
    PEER,
    PROMPT_PART,
];

/// A state machine that is compiled on first use.
pub(crate) type LazyMachine<State, Event, Context> =
    LazyLock<Result<Machine<State, Event, Context>, ChartError>>;

/// Compiles an embedded chart.
pub(crate) fn compile<State, Event, Context>(
    source: ChartSource,
    bindings: &Bindings<Context>,
) -> Result<Machine<State, Event, Context>, ChartError>
where
    State: Copy + Into<usize> + VariantArray + VariantNames,
    Event: Copy + Into<usize> + VariantArray + VariantNames,
{
    Machine::compile(source.name, source.text, bindings)
}

/// Returns the compiled machine. Panics if its chart is invalid, which
/// [`crate::verify::charts`] rules out at start.
pub(crate) fn verified<State, Event, Context>(
    machine: &'static LazyMachine<State, Event, Context>,
) -> &'static Machine<State, Event, Context> {
    machine.as_ref().unwrap_or_else(|error| panic!("{error}"))
}
