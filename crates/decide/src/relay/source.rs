//! Where a node learns what is in the store: the chart `store_source`.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Micros, Millis, MonoTime};

use super::readers::REGION_READERS;
use crate::charts::{self, LazyMachine};

/// Nodes up to which one that starts reads everything itself, as that is quicker than to
/// ask a reader that starts, too; on more the links between regions would be full.
const START_READ_NODE_LIMIT: usize = 120;
/// Time without word of a reader after which a node reads the store itself: an answer
/// that is lost, and some rounds to other readers.
const READER_TIMEOUT_MS: Millis = Millis::new(1_500);
/// The same before the first word: a reader has to learn everything, and tell it to
/// all the others of its region.
const FIRST_RESPONSE_TIMEOUT_MS: Millis = Millis::new(4_000);
/// Part of the nodes that step in at a look which do so before the first word, as one in
/// this many: each reads everything, which fills the link of a far region for half a
/// second, and looks are 0.3 s apart.
const INITIAL_STEP_IN_DIVISOR: f64 = 6.0;

chart_names! {
    /// Where a node learns what is in the store.
    pub enum SourceState {
        /// From the store.
        Reading,
        /// From nodes that read it.
        Asking,
        /// From the store, as no reader gives word.
        SteppedIn,
    }
}

chart_names! {
    /// Events of a source.
    pub(crate) enum SourceEvent {
        /// The node looked at the facts anew.
        Updated,
    }
}

/// What a node knows when it looks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SourceFacts {
    /// Whether it is one of its region's readers, or each node is.
    pub is_reader: bool,
    /// Whether it knows anything of the store.
    pub is_initialized: bool,
    /// Nodes that are known, this one included.
    pub nodes: usize,
    /// Those of its region.
    pub region_nodes: usize,
    /// Time since a reader gave word.
    pub silence: Micros,
    /// Number that is drawn evenly from 0 to 1 at each look.
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

    /// About as many nodes of a region at a time as it has readers, so that the others
    /// find them before all read.
    fn steps_in(&self) -> bool {
        let expected = REGION_READERS as f64
            / match self.is_initialized {
                true => 1.0,
                false => INITIAL_STEP_IN_DIVISOR,
            };
        self.is_without_reader() && self.random * (self.region_nodes as f64) < expected
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

/// Source of one node.
pub struct StoreSource {
    instance: Instance<SourceState>,
    facts: SourceFacts,
}

impl StoreSource {
    /// A node reads the store until it has looked.
    pub fn start(now: MonoTime) -> Self {
        let mut facts = SourceFacts {
            is_reader: true,
            is_initialized: false,
            nodes: 1,
            region_nodes: 1,
            silence: Micros::ZERO,
            random: 0.0,
        };
        let instance = machine().start(now, &mut facts);
        Self { instance, facts }
    }

    /// Takes the facts as they are now.
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

    /// Whether no reader gives word, at the last look.
    pub fn is_without_reader(&self) -> bool {
        self.facts.is_without_reader()
    }

    /// Current state.
    pub fn state(&self) -> SourceState {
        self.instance.state()
    }
}
