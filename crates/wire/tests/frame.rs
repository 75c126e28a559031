//! Framing of messages between nodes: round trip, compression, malformed input.
//! The seed of the property is that of `.cargo/config.toml`.

use bytes::{BufMut, BytesMut};
use parsleylatch_wire::{
    FrameError, MAX_FRAME_SIZE, PeerCodec,
    peer::{PeerMessage, peer_message::Body},
    relay::{RelayState, StoreDocument},
    uncompressed_frame_size,
};
use proptest::{prelude::*, sample::Index};
use prost::Message;
use test_case::test_case;
use tokio_util::codec::{Decoder, Encoder};

fn state(entries: usize) -> PeerMessage {
    let entries = (0..entries).map(|number| StoreDocument {
        key: format!("endpoints/i-{number}"),
        value: format!("{{\"service\":\"engines\",\"address\":\"10.1.0.{number}:80\"}}"),
        revision: number as u64,
        era: 0,
    });
    PeerMessage {
        body: Some(Body::RelayState(RelayState {
            entries: entries.collect(),
            ..RelayState::default()
        })),
    }
}

fn encode(message: &PeerMessage) -> BytesMut {
    let mut bytes = BytesMut::new();
    PeerCodec::default()
        .encode(message.clone(), &mut bytes)
        .unwrap();
    bytes
}

#[test_case(0 ; "empty")]
#[test_case(10 ; "small")]
#[test_case(3_000 ; "large")]
fn frame_round_trip(entries: usize) {
    let message = state(entries);
    let mut bytes = encode(&message);
    let read = PeerCodec::default().decode(&mut bytes).unwrap();
    assert_eq!(read, Some(message));
}

/// Compression shrinks a large relay state to less than a third of its size.
#[test]
fn frame_large_compressed() {
    let message = state(3_000);
    let uncompressed = uncompressed_frame_size(message.body.as_ref().unwrap()).get();
    let sent = encode(&message).len() as u64;
    assert!(sent * 3 < uncompressed, "{sent} of {uncompressed}");
}

fn frame_with(content: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::new();
    bytes.put_u32(content.len() as u32);
    bytes.put_slice(content);
    bytes
}

#[test_case(&[] ; "missing encoding")]
#[test_case(&[7, 1, 2] ; "unknown encoding")]
#[test_case(&[0, 255, 255] ; "corrupt message")]
#[test_case(&[1, 9] ; "truncated size")]
#[test_case(&[1, 9, 0, 0, 0, 200, 1] ; "corrupt block")]
#[test_case(&[1, 255, 255, 255, 255, 0] ; "size over the limit")]
fn frame_malformed_rejected(content: &[u8]) {
    let read = PeerCodec::default().decode(&mut frame_with(content));
    assert!(!matches!(read, Ok(_) | Err(FrameError::Io(_))), "{read:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Damaged frames are read or rejected; none of them panics.
    #[test]
    fn frame_damaged_handled(
        entries in prop_oneof![0..4_usize, Just(300)],
        changes in prop::collection::vec((any::<Index>(), any::<u8>()), 0..6),
        kept in any::<Index>(),
    ) {
        let mut bytes = encode(&state(entries));
        for (at, byte) in changes {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        bytes.truncate(kept.index(bytes.len() + 1));
        let size = bytes.len();
        let mut codec = PeerCodec::default();
        while let Ok(Some(message)) = codec.decode(&mut bytes) {
            prop_assert!(message.encoded_len() <= MAX_FRAME_SIZE.get() as usize, "{size} bytes");
        }
    }
}
