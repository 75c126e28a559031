//! `Display` and `FromStr` are inverses of each other, and invalid input is rejected.

use std::{fmt::Display, str::FromStr};

use parsleylatch_types::{
    ByteCount, BytesPerSecond, EndpointId, EraReading, FencingNumber, Micros, MicrosPerKilobyte,
    Millis, MonoTime, NodeId, PacePercent, Percent, RequestId, RequestsPerSecond, Revision, Share,
    StoreEra, StorePosition, TokenCount, TokenIndex, TokensPerSecond, UnixMillis, WorkspaceId,
};
use proptest::prelude::*;
use test_case::test_case;

fn round_trips<Value>(value: &Value) -> bool
where
    Value: Display + FromStr + PartialEq,
{
    value
        .to_string()
        .parse::<Value>()
        .is_ok_and(|parsed| parsed == *value)
}

proptest! {
    #[test]
    fn round_trip_quantities(number in any::<u64>(), small in any::<u32>()) {
        prop_assert!(round_trips(&ByteCount::new(number)));
        prop_assert!(round_trips(&BytesPerSecond::new(number)));
        prop_assert!(round_trips(&FencingNumber::new(number)));
        prop_assert!(round_trips(&Micros::new(number)));
        prop_assert!(round_trips(&Millis::new(number)));
        prop_assert!(round_trips(&MonoTime::new(number)));
        prop_assert!(round_trips(&RequestsPerSecond::new(number)));
        prop_assert!(round_trips(&Revision::new(number)));
        prop_assert!(round_trips(&StoreEra::new(number)));
        let era = StoreEra::new(u64::from(small));
        prop_assert!(round_trips(&StorePosition::new(era, Revision::new(number))));
        prop_assert!(round_trips(&MicrosPerKilobyte::new(number)));
        prop_assert!(round_trips(&PacePercent::new(small)));
        prop_assert!(round_trips(&TokensPerSecond::new(number)));
        prop_assert!(round_trips(&UnixMillis::new(number)));
        prop_assert!(round_trips(&Percent::new(small)));
        prop_assert!(round_trips(&Share::new(small)));
        prop_assert!(round_trips(&TokenCount::new(small)));
        prop_assert!(round_trips(&TokenIndex::new(small)));
    }

    #[test]
    fn round_trip_text_ids(text in "[a-zA-Z0-9._:-]{1,128}") {
        prop_assert!(round_trips(&text.parse::<NodeId>().unwrap()));
        prop_assert!(round_trips(&text.parse::<EndpointId>().unwrap()));
        let workspace: WorkspaceId = text.parse().unwrap();
        let json = serde_json::to_string(&workspace).unwrap();
        prop_assert_eq!(serde_json::from_str::<WorkspaceId>(&json).unwrap(), workspace);
    }

    #[test]
    fn round_trip_request_ids(created_at in 0_u64..1 << 48, random in any::<u128>()) {
        let id = RequestId::from_parts(UnixMillis::new(created_at), random);
        prop_assert!(round_trips(&id));
        prop_assert_eq!(id.created_at(), UnixMillis::new(created_at));
        prop_assert_eq!(RequestId::from_bytes(&id.to_bytes()), Some(id));
    }
}

#[test_case("" ; "empty")]
#[test_case("two words" ; "space")]
#[test_case("a/b" ; "slash")]
fn parse_id_refused(text: &str) {
    assert!(text.parse::<NodeId>().is_err());
}

#[test_case("12" ; "no unit")]
#[test_case("12 ms" ; "space before unit")]
#[test_case("-1ms" ; "negative")]
#[test_case("12us" ; "other unit")]
fn parse_millis_refused(text: &str) {
    let error = text.parse::<Millis>().unwrap_err();
    assert!(error.to_string().contains(text));
}

#[test_case("7f7b2a5e-6a5c-4b5c-9d3e-3f1c2b4a5d6e" ; "version 4")]
#[test_case("not-a-uuid" ; "not a uuid")]
fn parse_request_id_refused(text: &str) {
    assert!(text.parse::<RequestId>().is_err());
}

/// A revision issued again after a restore must not look older than one of an earlier era.
#[test]
fn store_position_era_first() {
    let position = |era, revision| StorePosition::new(StoreEra::new(era), Revision::new(revision));
    assert!(position(1, 3) > position(0, 900));
    assert!(position(1, 4) > position(1, 3));
}

/// An era that can't be an era must not move a node into a far future.
#[test_case(None, Some(0) ; "absent")]
#[test_case(Some("0"), Some(0) ; "zero")]
#[test_case(Some(" 17 "), Some(17) ; "spaces")]
#[test_case(Some("9007199254740992"), Some(9_007_199_254_740_992) ; "largest")]
#[test_case(Some("9007199254740993"), None ; "over the limit")]
#[test_case(Some("-1"), None ; "negative")]
#[test_case(Some("+1"), None ; "signed")]
#[test_case(Some("1.5"), None ; "fraction")]
#[test_case(Some("one"), None ; "letters")]
#[test_case(Some(""), None ; "empty")]
#[test_case(Some("99999999999999999999999"), None ; "beyond the type")]
fn era_reading_parse(text: Option<&str>, expected: Option<u64>) {
    let read = match EraReading::parse(text) {
        EraReading::Read(era) => Some(era.get()),
        EraReading::Unreadable(_) => None,
    };
    assert_eq!(read, expected);
}
