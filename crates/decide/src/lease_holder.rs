//! Election, by a lease in the store, of the node that sends commands to engines.
//!
//! The holder counts the term of a lease from the time of its request, by its own
//! monotonic clock, so it never considers the lease valid for longer than the
//! store does. It calls [`LeaseHolder::fencing_for_send`] right before each command
//! and gets a fencing number, or none from well before the lease expires. The
//! fencing number is the store's position of the claim, which only increases: a restored
//! store issues revisions again, but in a new era. A holder stops when the era changes,
//! because the copy may lack its lease and another node may acquire it at once.
//!
//! Engines that ignore fencing numbers are protected by time: a new holder sends
//! nothing until the last command of an earlier holder can no longer be in transit.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{FencingNumber, Millis, MonoTime, StorePosition};

use crate::charts::{self, LazyMachine};

/// Time after which a lease expires unless it is renewed.
pub const LEASE_TTL_MS: Millis = Millis::new(10_000);
/// Maximum time for which a command may be in transit. After that the sender
/// abandons it.
pub const COMMAND_TIMEOUT_MS: Millis = Millis::new(2_000);
/// Margin before the lease expires in which no command may still be in transit.
const SEND_MARGIN_MS: Millis = Millis::new(1_000);

chart_names! {
    /// States of a candidate.
    pub enum HolderState {
        /// Does not hold the lease.
        Waiting,
        /// Has requested the lease.
        Claiming,
        /// Holds the lease.
        Holding,
        /// Holds the lease and has requested a renewal.
        Renewing,
        /// The node stops and no longer competes for the lease.
        Released,
    }
}

chart_names! {
    /// Events of a candidate.
    pub enum HolderEvent {
        /// The store accepted the claim.
        Claimed,
        /// Another node holds the lease, or the store did not respond.
        Refused,
        /// The store renewed the lease.
        Renewed,
        /// The store reports that the lease has expired.
        LeaseExpired,
        /// The timeout of the state has passed.
        TimedOut,
        /// The store was restored from a copy, which may lack the lease.
        StoreRestored,
        /// The node is stopping.
        StopRequested,
    }
}

/// Input of a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderInput {
    /// The store accepted the claim that was requested at `requested_at`.
    Claimed {
        /// Time of the request.
        requested_at: MonoTime,
        /// Position of the claim in the store.
        position: StorePosition,
    },
    /// The store refused the claim, or did not respond.
    Refused,
    /// The store renewed the lease.
    Renewed {
        /// Time of the request.
        requested_at: MonoTime,
    },
    /// The store does not know the lease any more.
    LeaseExpired,
    /// The store was restored from a copy; the lease has to be acquired anew.
    StoreRestored,
    /// The node is stopping.
    StopRequested,
}

/// Effect that the candidate's node has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderEffect {
    /// Acquire a lease and write the claim under it, unless a claim exists.
    Claim {
        /// Time of the request, to be returned with the response.
        requested_at: MonoTime,
    },
    /// Renew the lease.
    Renew {
        /// Time of the request, to be returned with the response.
        requested_at: MonoTime,
    },
    /// Release the lease.
    Release,
}

/// Bits of a fencing number that hold the revision. At 3,200 writes per second they last for
/// 87 years, and leave room for a million eras.
const REVISION_BITS: u32 = 43;

/// Fencing number of a claim; larger for each later position.
fn fencing_of(position: StorePosition) -> FencingNumber {
    let limit = (1 << REVISION_BITS) - 1;
    let revision = position.revision.get().min(limit);
    FencingNumber::new(position.era.get() << REVISION_BITS | revision)
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
    input_position: StorePosition,
    lease: Option<Lease>,
    effects: Vec<HolderEffect>,
}

impl HolderContext {
    // Guards.

    /// Whether the response belongs to the latest request and the lease is still valid.
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
            fencing: fencing_of(self.input_position),
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

/// This node as a candidate for the lease.
pub struct LeaseHolder {
    instance: Instance<HolderState>,
    context: HolderContext,
}

impl LeaseHolder {
    /// Creates a candidate that does not hold the lease.
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

    /// Fencing number for a command that is sent now, or `None` if nothing may be sent.
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
                position,
            } => {
                self.context.input_requested_at = requested_at;
                self.context.input_position = position;
                HolderEvent::Claimed
            }
            HolderInput::Renewed { requested_at } => {
                self.context.input_requested_at = requested_at;
                HolderEvent::Renewed
            }
            HolderInput::Refused => HolderEvent::Refused,
            HolderInput::LeaseExpired => HolderEvent::LeaseExpired,
            HolderInput::StoreRestored => HolderEvent::StoreRestored,
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
