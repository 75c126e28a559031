//! `Display` and `FromStr` are inverses of each other, and invalid input is rejected.

use std::{fmt::Display, str::FromStr};

use parsleylatch_types::{
    ByteCount, BytesPerSecond, EndpointId, FencingNumber, Micros, MicrosPerKilobyte, Millis,
    MonoTime, NodeId, PacePercent, Percent, RequestId, RequestsPerSecond, Revision, Share,
    StoreEra, TokenCount, TokenIndex, TokensPerSecond, UnixMillis, WorkspaceId,
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
