//! Who gives orders to engines: the holder of a lease of the store.
//!
//! A lease counts from the moment at which it was asked for, by the holder's own
//! monotonic clock, so the holder never believes in it for longer than the store
//! does. The holder asks [`LeaseHolder::fencing_for_send`] right before each order; the
//! answer is a fencing number, or none from well before the lease lapses. The
//! fencing number is the store's revision of the claim, which only grows.
//!
//! Engines that ignore fencing numbers are protected by time: a new holder sends
//! nothing until an earlier holder's last order can no longer be on its way.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{FencingNumber, Millis, MonoTime, Revision};

use crate::charts::{self, LazyMachine};

/// Time after which a lease lapses unless it is renewed.
pub const LEASE_TTL_MS: Millis = Millis::new(10_000);
/// Longest time for which an order may be on its way; then it is given up.
pub const COMMAND_TIMEOUT_MS: Millis = Millis::new(2_000);
/// Rest of a lease in which nothing is sent any more.
const SEND_MARGIN_MS: Millis = Millis::new(1_000);

chart_names! {
    /// States of a candidate.
    pub enum HolderState {
        /// Does not hold the lease.
        Waiting,
        /// Has asked for the lease.
        Claiming,
        /// Holds the lease.
        Holding,
        /// Holds the lease and has asked for more time.
        Renewing,
        /// Stopped.
        Released,
    }
}

chart_names! {
    /// Events of a candidate.
    pub enum HolderEvent {
        /// The store took the claim.
        Claimed,
        /// Another node holds the lease, or the store did not answer.
        Refused,
        /// The store has renewed the lease.
        Renewed,
        /// The store says that the lease has lapsed.
        LeaseExpired,
        /// The state lasted its longest time.
        TimedOut,
        /// The node stops.
        StopRequested,
    }
}

/// What a candidate learns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderInput {
    /// The store took the claim that was asked for at `requested_at`.
    Claimed {
        /// Time of the question.
        requested_at: MonoTime,
        /// Revision of the claim.
        revision: Revision,
    },
    /// The store refused the claim, or did not answer.
    Refused,
    /// The store renewed the lease.
    Renewed {
        /// Time of the question.
        requested_at: MonoTime,
    },
    /// The store knows no such lease.
    LeaseExpired,
    /// The node stops.
    StopRequested,
}

/// What a candidate has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderEffect {
    /// Get a lease and write the claim under it, if there is none.
    Claim {
        /// Time of the question, to be given back.
        requested_at: MonoTime,
    },
    /// Renew the lease.
    Renew {
        /// Time of the question, to be given back.
        requested_at: MonoTime,
    },
    /// Give the lease back.
    Release,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    fencing: FencingNumber,
    valid_until: MonoTime,
    send_allowed_at: MonoTime,
}

#[derive(Default)]
struct HolderContext {
    now: MonoTime,
    requested_at: MonoTime,
    input_requested_at: MonoTime,
    input_revision: Revision,
    lease: Option<Lease>,
    effects: Vec<HolderEffect>,
}

impl HolderContext {
    // Guards.

    /// Whether the answer is to the last question, and the lease still holds.
    fn is_fresh(&self) -> bool {
        self.input_requested_at == self.requested_at && self.now < self.requested_at + LEASE_TTL_MS
    }

    fn has_expired(&self) -> bool {
        self.lease.is_none_or(|lease| self.now >= lease.valid_until)
    }

    // Actions.

    fn request_claim(&mut self) {
        self.requested_at = self.now;
        let requested_at = self.requested_at;
        self.effects.push(HolderEffect::Claim { requested_at });
    }

    fn request_renewal(&mut self) {
        self.requested_at = self.now;
        let requested_at = self.requested_at;
        self.effects.push(HolderEffect::Renew { requested_at });
    }

    fn accept_lease(&mut self) {
        self.lease = Some(Lease {
            fencing: FencingNumber::new(self.input_revision.get()),
            valid_until: self.requested_at + LEASE_TTL_MS,
            send_allowed_at: self.now + LEASE_TTL_MS + COMMAND_TIMEOUT_MS,
        });
    }

    fn extend_lease(&mut self) {
        if let Some(lease) = &mut self.lease {
            lease.valid_until = self.requested_at + LEASE_TTL_MS;
        }
    }

    fn drop_lease(&mut self) {
        self.lease = None;
    }

    fn release_lease(&mut self) {
        self.lease = None;
        self.effects.push(HolderEffect::Release);
    }
}

static MACHINE: LazyMachine<HolderState, HolderEvent, HolderContext> = LazyMachine::new(|| {
    let bindings = Bindings::<HolderContext>::new()
        .guard("is_fresh", HolderContext::is_fresh)
        .guard("has_expired", HolderContext::has_expired)
        .action("request_claim", HolderContext::request_claim)
        .action("request_renewal", HolderContext::request_renewal)
        .action("accept_lease", HolderContext::accept_lease)
        .action("extend_lease", HolderContext::extend_lease)
        .action("drop_lease", HolderContext::drop_lease)
        .action("release_lease", HolderContext::release_lease);
    charts::compile(charts::LEASE_HOLDER, &bindings)
});

fn machine() -> &'static Machine<HolderState, HolderEvent, HolderContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// This node as a candidate.
pub struct LeaseHolder {
    instance: Instance<HolderState>,
    context: HolderContext,
}

impl LeaseHolder {
    /// Candidate that does not hold the lease.
    pub fn new(now: MonoTime) -> Self {
        let mut context = HolderContext {
            now,
            ..HolderContext::default()
        };
        let instance = machine().start(now, &mut context);
        Self { instance, context }
    }

    /// Current state.
    pub fn state(&self) -> HolderState {
        self.instance.state()
    }

    /// Fencing number for an order that is sent now; none if nothing may be sent.
    pub fn fencing_for_send(&self, now: MonoTime) -> Option<FencingNumber> {
        let lease = self.context.lease?;
        let arrives_by = now + COMMAND_TIMEOUT_MS + SEND_MARGIN_MS;
        let is_valid = now >= lease.send_allowed_at && arrives_by < lease.valid_until;
        is_valid.then_some(lease.fencing)
    }

    /// Time at which [`LeaseHolder::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Handles an input.
    pub fn handle(&mut self, now: MonoTime, input: HolderInput) -> Vec<HolderEffect> {
        let event = match input {
            HolderInput::Claimed {
                requested_at,
                revision,
            } => {
                self.context.input_requested_at = requested_at;
                self.context.input_revision = revision;
                HolderEvent::Claimed
            }
            HolderInput::Renewed { requested_at } => {
                self.context.input_requested_at = requested_at;
                HolderEvent::Renewed
            }
            HolderInput::Refused => HolderEvent::Refused,
            HolderInput::LeaseExpired => HolderEvent::LeaseExpired,
            HolderInput::StopRequested => HolderEvent::StopRequested,
        };
        self.context.now = now;
        machine().step(&mut self.instance, now, event, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }

    /// Handles a deadline that has passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<HolderEffect> {
        self.context.now = now;
        machine().expire(&mut self.instance, now, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }
}
