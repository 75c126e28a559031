//! Newtypes for ids, sizes, rates and times.
//!
//! Values that cross a module boundary have a dedicated type here. The `Display`
//! and `FromStr` implementations of each type are inverses of each other. Text ids
//! are serialized as strings. Quantities are serialized as plain numbers, because
//! the field that contains them names the unit in its suffix (`pace_ms`,
//! `body_bytes`).

mod id;
mod quantity;
mod request_id;
mod store_position;
mod time;

pub use id::{
    AdapterName, EndpointId, EndpointVersion, ExchangeId, FailureDomain, HolderId, ModelId, MoveId,
    NodeId, OperationName, ParseIdError, PromptPartId, Region, RouteName, ServiceName, WorkspaceId,
};
pub use quantity::{
    AttemptNumber, ByteCount, BytesPerSecond, ConnectionCount, ConnectionNumber, DescriptorCount,
    EntrySequence, FencingNumber, Incarnation, MicrosPerKilobyte, OwnerEpoch, PacePercent,
    ParseQuantityError, Percent, Priority, Rank, RequestCount, RequestsPerSecond, Revision, Seed,
    Share, SlotCount, StoreEra, StreamEventId, TokenCount, TokenId, TokenIndex, TokensPerSecond,
    TrialNumber, Weight,
};
pub use request_id::{ParseRequestIdError, RequestId};
pub use store_position::{EraReading, ParsePositionError, StorePosition};
pub use time::{Micros, Millis, MonoTime, UnixMillis};
