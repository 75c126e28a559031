//! State machine of one request in the admission queue.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_settings::Tier;
use parsleylatch_types::{Millis, MonoTime, WorkspaceId};

use crate::{
    admission::OTHER_NODE_RETRY_DELAY_MS,
    charts::{self, LazyMachine},
    refusal::{Refusal, RefusalKind},
};

/// Queue timeout of a paying request.
const PAYING_QUEUE_TIMEOUT_MS: Millis = Millis::new(4_000);
/// Queue timeout of a free request.
const FREE_QUEUE_TIMEOUT_MS: Millis = Millis::new(1_500);
/// Delay after which a caller may retry if the queue was full or the wait timed out.
const BUSY_RETRY_DELAY_MS: Millis = Millis::new(2_000);

chart_names! {
    /// States of a request for a slot.
    pub enum TicketState {
        /// Submitted, but neither admitted nor queued yet.
        Asking,
        /// Waits for a slot.
        Queued,
        /// Has a slot.
        Admitted,
        /// Was refused.
        Refused,
        /// The caller disconnected.
        Abandoned,
    }
}

chart_names! {
    /// Events of a request for a slot.
    pub(crate) enum TicketEvent {
        /// The engines have a free slot.
        SlotAvailable,
        /// The engines have no free slot.
        NoSlot,
        /// The queue timeout has passed.
        TimedOut,
        /// The caller disconnected.
        CallerGone,
        /// The node is stopping and accepts no new requests.
        NodeStopping,
    }
}

/// Id of a request, unique within one traffic thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub(crate) u64);

pub(crate) struct TicketContext {
    pub(crate) tier: Tier,
    pub(crate) workspace: WorkspaceId,
    pub(crate) queue_full: bool,
    pub(crate) admitted: bool,
    pub(crate) refusal: Option<Refusal>,
}

static MACHINE: LazyMachine<TicketState, TicketEvent, TicketContext> = LazyMachine::new(|| {
    let bindings = Bindings::<TicketContext>::new()
        .guard("queue_full", |ticket| ticket.queue_full)
        .duration("queue_timeout", |ticket| queue_timeout(ticket.tier))
        .action("admit", |ticket| ticket.admitted = true)
        .action("refuse_queue_full", TicketContext::refuse_queue_full)
        .action("refuse_timed_out", TicketContext::refuse_timed_out)
        .action("refuse_stopping", TicketContext::refuse_stopping);
    charts::compile(charts::ADMISSION, &bindings)
});

fn machine() -> &'static Machine<TicketState, TicketEvent, TicketContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

fn queue_timeout(tier: Tier) -> Millis {
    match tier {
        Tier::Paying => PAYING_QUEUE_TIMEOUT_MS,
        Tier::Free => FREE_QUEUE_TIMEOUT_MS,
    }
}

impl TicketContext {
    fn refuse_queue_full(&mut self) {
        let detail = format!(
            "as many requests of workspace {} wait as may",
            self.workspace
        );
        let refusal = Refusal::not_run(RefusalKind::Overloaded, detail);
        self.refusal = Some(refusal.retry_after(BUSY_RETRY_DELAY_MS));
    }

    fn refuse_timed_out(&mut self) {
        let waited = queue_timeout(self.tier);
        let detail = format!(
            "the engines had no place for a {} request in {waited}",
            self.tier
        );
        let refusal = Refusal::not_run(RefusalKind::Overloaded, detail);
        self.refusal = Some(refusal.retry_after(BUSY_RETRY_DELAY_MS));
    }

    fn refuse_stopping(&mut self) {
        let detail = "this node takes no new request; try another";
        let refusal = Refusal::not_run(RefusalKind::Stopping, detail);
        self.refusal = Some(refusal.retry_after(OTHER_NODE_RETRY_DELAY_MS));
    }
}

/// One request for a slot.
pub(crate) struct Ticket {
    instance: Instance<TicketState>,
    pub(crate) context: TicketContext,
}

impl Ticket {
    pub(crate) fn new(now: MonoTime, tier: Tier, workspace: WorkspaceId) -> Self {
        let mut context = TicketContext {
            tier,
            workspace,
            queue_full: false,
            admitted: false,
            refusal: None,
        };
        let instance = machine().start(now, &mut context);
        Self { instance, context }
    }

    pub(crate) fn state(&self) -> TicketState {
        self.instance.state()
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    pub(crate) fn step(&mut self, now: MonoTime, event: TicketEvent) {
        machine().step(&mut self.instance, now, event, &mut self.context);
    }

    pub(crate) fn expire(&mut self, now: MonoTime) {
        machine().expire(&mut self.instance, now, &mut self.context);
    }
}
