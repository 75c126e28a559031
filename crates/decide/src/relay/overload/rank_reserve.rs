//! Room that streams of a lower rank leave to those of a higher one.
//!
//! Load pattern: a burst of a kind of low rank fills all engines, on nodes that each hold a few
//! streams. A node orders its own streams by rank, but a stream of high rank at another node
//! finds the engines full all the same, and waits as long as the others. A stream of a lower
//! rank is therefore placed only where the engine keeps room for one more stream of its size
//! (trunk reservation). No message between nodes is needed: engines report the same room to
//! all of them. A late stream of a lower rank gives up its claim to the reserve as well, except
//! in the turn that late streams have in the queue.

use parsleylatch_types::{Rank, TokenCount};
use strum::Display;

use super::engine_load::StreamSize;

/// Position of a stream's rank among those of the streams of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RankClass {
    /// All streams have the same rank, or ranks are not told apart.
    #[default]
    Only,
    /// Others have lower ranks.
    Highest,
    /// Others have higher ranks.
    Lower,
}

impl RankClass {
    /// Class of `rank` among `ranks`, the ranks of all streams of a service.
    pub fn among<Ranks>(rank: Rank, ranks: Ranks) -> Self
    where
        Ranks: IntoIterator<Item = Rank>,
    {
        let mut class = Self::Only;
        for other in ranks {
            if other < rank {
                return Self::Lower;
            }
            if other > rank {
                class = Self::Highest;
            }
        }
        class
    }
}

/// Room that an engine must have for a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomClaim {
    /// Size of the stream.
    pub size: StreamSize,
    /// Class of its rank.
    pub rank_class: RankClass,
    /// Whether it is late, so that it leaves room for one that is not.
    pub is_late: bool,
}

impl From<StreamSize> for RoomClaim {
    fn from(size: StreamSize) -> Self {
        Self {
            size,
            rank_class: RankClass::Only,
            is_late: false,
        }
    }
}

impl RoomClaim {
    /// The same claim without a reserve for higher ranks.
    pub(super) fn bare(self) -> Self {
        let rank_class = match self.rank_class {
            RankClass::Lower => RankClass::Only,
            other => other,
        };
        Self { rank_class, ..self }
    }

    /// Room for the stream itself; twice its size if it is late.
    pub fn own_room(self) -> StreamSize {
        let times = 1 + u32::from(self.is_late);
        let multiple = |tokens: TokenCount| TokenCount::new(tokens.get().saturating_mul(times));
        StreamSize {
            prompt: multiple(self.size.prompt),
            output: multiple(self.size.output),
        }
    }

    /// Streams of the same size for which the engine keeps room.
    pub(super) fn reserved_streams(self) -> u32 {
        u32::from(self.rank_class == RankClass::Lower)
    }
}
