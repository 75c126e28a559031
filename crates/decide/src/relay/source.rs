//! How a node follows the store, directly or through other nodes: the chart
//! `store_source`.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Micros, Millis, MonoTime};

use super::readers::REGION_READERS;
use crate::charts::{self, LazyMachine};

/// Largest number of nodes at which a starting node reads the full state from the
/// store. That is faster than asking a reader that may be starting as well; with more
/// nodes it would saturate the links between regions.
const START_READ_NODE_LIMIT: usize = 120;
/// Time without a response from a reader after which a node reads the store itself:
/// one lost response and a few rounds to other readers.
const READER_TIMEOUT_MS: Millis = Millis::new(1_500);
/// The same before the first response: a reader has to load the full state and send it
/// to all other nodes of its region.
const FIRST_RESPONSE_TIMEOUT_MS: Millis = Millis::new(4_000);
/// Time without a response after which a node that serves callers reads the store whether or
/// not it is drawn, in percent of the propagation bound. The nodes that were drawn may have
/// been lost as well; the remainder is left for the next evaluation and a call to the store.
const STEP_IN_PERCENT: u64 = 60;
/// Divisor of the number of nodes that step in per evaluation, for nodes without any
/// state. Each of them reads the full state, which saturates the link of a remote
/// region for half a second, and evaluations are 0.3 s apart.
const INITIAL_STEP_IN_DIVISOR: f64 = 6.0;

chart_names! {
    /// How a node follows the store.
    pub enum SourceState {
        /// Reads the store.
        Reading,
        /// Asks the nodes that read the store.
        Asking,
        /// Reads the store because no reader responds.
        SteppedIn,
    }
}

chart_names! {
    /// Events of a store source.
    pub(crate) enum SourceEvent {
        /// The node evaluated the facts again.
        Updated,
    }
}

/// Facts on which a node decides how to follow the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SourceFacts {
    /// Whether this node is a reader of its region, or every node is.
    pub is_reader: bool,
    /// Whether it has loaded the state of the store at least once.
    pub is_initialized: bool,
    /// Known nodes, including this one.
    pub nodes: usize,
    /// Known nodes of its region, including this one.
    pub region_nodes: usize,
    /// Time since the last response of a reader.
    pub silence: Micros,
    /// Bound on the time until a change in the store is known to this node.
    pub change_bound: Millis,
    /// Uniform random number in [0, 1), drawn for each evaluation.
    pub random: f64,
}

impl SourceFacts {
    fn is_without_reader(&self) -> bool {
        let limit = match self.is_initialized {
            true => READER_TIMEOUT_MS,
            false => FIRST_RESPONSE_TIMEOUT_MS,
        };
        !self.is_reader && self.silence > limit.micros()
    }

    fn reads_at_start(&self) -> bool {
        !self.is_initialized && self.nodes <= START_READ_NODE_LIMIT
    }

    /// Whether a change in the store could otherwise become known too late.
    fn must_step_in(&self) -> bool {
        let limit = Millis::new(self.change_bound.get() * STEP_IN_PERCENT / 100);
        self.is_initialized && self.silence > limit.micros()
    }

    /// Selects at random about as many nodes of a region per evaluation as it has
    /// readers, so that the others find these before all nodes read the store; after
    /// [`STEP_IN_PERCENT`] of the bound, all nodes.
    fn steps_in(&self) -> bool {
        let expected = REGION_READERS as f64
            / match self.is_initialized {
                true => 1.0,
                false => INITIAL_STEP_IN_DIVISOR,
            };
        let is_drawn = self.random * (self.region_nodes as f64) < expected;
        self.is_without_reader() && (is_drawn || self.must_step_in())
    }
}

static MACHINE: LazyMachine<SourceState, SourceEvent, SourceFacts> = LazyMachine::new(|| {
    let bindings = Bindings::<SourceFacts>::new()
        .guard("is_reader", |facts| facts.is_reader)
        .guard("reads_at_start", SourceFacts::reads_at_start)
        .guard("is_without_reader", SourceFacts::is_without_reader)
        .guard("steps_in", SourceFacts::steps_in);
    charts::compile(charts::STORE_SOURCE, &bindings)
});

fn machine() -> &'static Machine<SourceState, SourceEvent, SourceFacts> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// Decides whether a node reads the store itself.
pub struct StoreSource {
    instance: Instance<SourceState>,
    facts: SourceFacts,
}

impl StoreSource {
    /// Starts by reading the store, until the first update.
    pub fn start(now: MonoTime) -> Self {
        let mut facts = SourceFacts {
            is_reader: true,
            is_initialized: false,
            nodes: 1,
            region_nodes: 1,
            silence: Micros::ZERO,
            change_bound: Millis::ZERO,
            random: 0.0,
        };
        let instance = machine().start(now, &mut facts);
        Self { instance, facts }
    }

    /// Evaluates the current facts.
    pub fn update(&mut self, now: MonoTime, facts: SourceFacts) {
        self.facts = facts;
        machine().step(
            &mut self.instance,
            now,
            SourceEvent::Updated,
            &mut self.facts,
        );
    }

    /// Whether the node reads the store.
    pub fn reads_store(&self) -> bool {
        self.instance.state() != SourceState::Asking
    }

    /// Whether no reader responded in time, as of the last update.
    pub fn is_without_reader(&self) -> bool {
        self.facts.is_without_reader()
    }

    /// Current state.
    pub fn state(&self) -> SourceState {
        self.instance.state()
    }
}
