//! The owner's side of a journal when its process is paused.

use parsleylatch_decide::journal::{
    JournalEffect, JournalInput, JournalOwner, JournalState, JournalStatus,
};
use parsleylatch_types::{Millis, MonoTime, NodeId, OwnerEpoch, TokenIndex};
use test_case::test_case;

const EPOCH: OwnerEpoch = OwnerEpoch::new(1);

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

fn peer() -> NodeId {
    "peer-1".parse().unwrap()
}

fn acked(end: u32, status: JournalStatus) -> JournalInput {
    JournalInput::Acked {
        peer: peer(),
        epoch: EPOCH,
        end: TokenIndex::new(end),
        status,
    }
}

/// An owner whose peer has acknowledged 5 of 8 tokens, at 10 ms.
fn pending() -> JournalOwner {
    let (mut owner, _) = JournalOwner::start(at(0), EPOCH, TokenIndex::new(5), None);
    owner.handle(at(1), JournalInput::PeerChosen(peer()));
    owner.handle(at(2), acked(5, JournalStatus::Held));
    let end = TokenIndex::new(8);
    owner.handle(at(10), JournalInput::TokensAccepted { end });
    assert_eq!(owner.state(), JournalState::Pending);
    owner
}

#[test]
fn ack_in_time_accepted() {
    let mut owner = pending();
    let effects = owner.handle(at(20), acked(8, JournalStatus::Held));
    let end = TokenIndex::new(8);
    assert_eq!(effects, [JournalEffect::Held { end }]);
}

/// An acknowledgement received after a pause may predate a take-over by another
/// owner, so it must not release tokens.
#[test]
fn ack_after_pause_ignored() {
    let mut owner = pending();
    assert_eq!(owner.handle(at(1_000), acked(8, JournalStatus::Held)), []);
    assert_eq!(owner.handle(at(1_010), acked(8, JournalStatus::Held)), []);
    let resent_at = owner.next_deadline().unwrap();
    let (start, end) = (TokenIndex::new(5), TokenIndex::new(8));
    let peer = peer();
    let append = JournalEffect::Append { peer, start, end };
    assert_eq!(owner.expire(resent_at), [append]);
    let effects = owner.handle(resent_at, acked(8, JournalStatus::Held));
    assert_eq!(effects, [JournalEffect::Held { end }]);
}

/// Tokens buffered in the connection during a pause are sent only after the peer
/// has acknowledged again, which shows that no other node owns the generation.
#[test_case(false ; "all acknowledged")]
#[test_case(true ; "some pending")]
fn pause_detected_resends(is_pending: bool) {
    let mut owner = pending();
    if !is_pending {
        owner.handle(at(20), acked(8, JournalStatus::Held));
    }
    assert_eq!(owner.handle(at(1_000), JournalInput::PauseDetected), []);
    // Acknowledgements from before the pause are ignored.
    assert_eq!(owner.handle(at(1_010), acked(8, JournalStatus::Held)), []);
    let resent_at = owner.next_deadline().unwrap();
    let start = TokenIndex::new(if is_pending { 5 } else { 8 });
    let end = TokenIndex::new(8);
    let peer = peer();
    let append = JournalEffect::Append { peer, start, end };
    assert_eq!(owner.expire(resent_at), [append]);
    let effects = owner.handle(resent_at, acked(8, JournalStatus::Held));
    assert_eq!(effects, [JournalEffect::Held { end }]);
}

#[test_case(1_000 ; "immediately")]
#[test_case(1_120 ; "after the resend")]
fn stale_epoch_after_pause_supersedes(acked_at: u64) {
    let mut owner = pending();
    owner.handle(at(1_000), acked(8, JournalStatus::Held));
    if acked_at > 1_100 {
        owner.expire(at(1_100));
    }
    let effects = owner.handle(at(acked_at), acked(0, JournalStatus::StaleEpoch));
    assert_eq!(effects, [JournalEffect::Superseded]);
}
