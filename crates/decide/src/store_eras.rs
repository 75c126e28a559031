//! Eras of the store: when it was restored from a copy, and which responses are late.

use parsleylatch_types::{EraReading, Millis, RequestId, StoreEra, UnixMillis};

/// Largest step from one era to the next that is believed. A store is restored a few times
/// in the life of a node; a larger step is a fault of the header, and a node that followed
/// it would ignore the store from then on.
const MAX_ERA_STEP: u64 = 1_000;

/// Number of nodes from which rewrites after a restore are spread. Each node makes about
/// three calls that count as writes, and the store takes 400 per second or more.
const SPREAD_NODES: usize = 100;
/// Time over which they are spread.
const REWRITE_SPREAD_MS: Millis = Millis::new(1_000);

/// Longest random delay before a node writes its own entry to a restored store.
pub fn rewrite_delay_limit(nodes: usize) -> Millis {
    match nodes >= SPREAD_NODES {
        true => REWRITE_SPREAD_MS,
        false => Millis::ZERO,
    }
}

/// What a response's era tells about the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraFinding {
    /// The response is of the known era, or of the first one that is known.
    Current,
    /// The store was restored since the response before; everything has to be read again.
    Restored {
        /// Era before the restore.
        earlier: StoreEra,
    },
    /// The response is of an era that has ended; it must not be used.
    Late,
    /// The era can't be read; the response counts as being of the known era.
    Unreadable {
        /// Whether this is the first unreadable era.
        is_first: bool,
    },
}

impl EraFinding {
    /// Whether the response may be used.
    pub fn is_usable(self) -> bool {
        self != Self::Late
    }
}

/// Newest era of the store that a node knows.
#[derive(Clone, Debug, Default)]
pub struct StoreEras {
    known: Option<StoreEra>,
    has_unreadable: bool,
}

impl StoreEras {
    /// Known era; zero before the first response.
    pub fn known(&self) -> StoreEra {
        self.known.unwrap_or_default()
    }

    /// Records the era of a response of the store or of another node.
    pub fn observe(&mut self, reading: &EraReading) -> EraFinding {
        let EraReading::Read(era) = reading else {
            return self.record_unreadable();
        };
        let Some(known) = self.known else {
            self.known = Some(*era);
            return EraFinding::Current;
        };
        if *era < known {
            return EraFinding::Late;
        }
        if era.saturating_sub(known) > StoreEra::new(MAX_ERA_STEP) {
            return self.record_unreadable();
        }
        self.known = Some(*era);
        match *era == known {
            true => EraFinding::Current,
            false => EraFinding::Restored { earlier: known },
        }
    }

    fn record_unreadable(&mut self) -> EraFinding {
        let is_first = !std::mem::replace(&mut self.has_unreadable, true);
        EraFinding::Unreadable { is_first }
    }
}

/// Eras of the store, and which claims of once-only calls a restore may have lost.
#[derive(Clone, Debug, Default)]
pub struct ClaimEras {
    eras: StoreEras,
    /// Time by which the store was restored last; `None` if it never was.
    restored_by_unix_ms: Option<UnixMillis>,
}

impl ClaimEras {
    /// Newest known era.
    pub fn known(&self) -> StoreEra {
        self.eras.known()
    }

    /// Records the era of a response that arrived at `now`. If the first response shows that
    /// the store was restored once, the restore may have been just before.
    pub fn observe(&mut self, now: UnixMillis, reading: &EraReading) -> EraFinding {
        let earlier = self.eras.known();
        let finding = self.eras.observe(reading);
        if self.eras.known() > earlier {
            self.restored_by_unix_ms = Some(now);
        }
        finding
    }

    /// Whether the claim of a request may be missing because the store was restored. A claim
    /// that was made before the restore is on an id that is older still.
    pub fn may_lack_claim(&self, id: RequestId) -> bool {
        let restored_by = self.restored_by_unix_ms;
        restored_by.is_some_and(|restored_by| id.created_at() <= restored_by)
    }
}
