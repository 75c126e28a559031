//! Cost of journal messages as a function of the streams that share a frame.

use parsleylatch_types::RequestId;
use parsleylatch_wire::{
    journal::{
        JournalAck, JournalAcks, JournalAppend, JournalBatch, JournalRecord, Token,
        journal_record::Record,
    },
    peer::{PeerMessage, peer_message::Body},
};
use prost::Message;

use crate::{report::Report, timing::nanos_per_call};

/// Numbers of streams that have one token each in a frame.
const STREAM_COUNTS: [usize; 4] = [1, 8, 32, 128];
const ORIGIN: u64 = 0x5eed_5eed_5eed_5eed;
/// Length prefix of each frame.
const FRAME_HEADER_BYTES: usize = 4;

pub(super) fn measure(report: &mut Report) {
    for streams in STREAM_COUNTS {
        measure_batch(streams, report);
        measure_acks(streams, report);
    }
}

fn measure_batch(streams: usize, report: &mut Report) {
    let message = PeerMessage {
        body: Some(Body::JournalBatch(batch(streams))),
    };
    report_message("journal_batch", streams, &message, report);
}

fn measure_acks(streams: usize, report: &mut Report) {
    let ack = |_| JournalAck {
        request_id: RequestId::generate().to_bytes().to_vec(),
        owner_epoch: 1,
        end_index: 900,
        origin: ORIGIN,
        ..JournalAck::default()
    };
    let acks = JournalAcks {
        acks: (0..streams).map(ack).collect(),
    };
    let message = PeerMessage {
        body: Some(Body::JournalAcks(acks)),
    };
    report_message("journal_acks", streams, &message, report);
}

fn batch(streams: usize) -> JournalBatch {
    let record = |stream: usize| {
        let token = Token {
            id: 20_000 + stream as u32,
            text: " w20000".to_owned(),
        };
        let append = JournalAppend {
            request_id: RequestId::generate().to_bytes().to_vec(),
            owner_epoch: 1,
            start_index: 900,
            tokens: vec![token],
            attempts_started: 1,
            endpoint_version: "model-1-v7".to_owned(),
            origin: ORIGIN,
        };
        JournalRecord {
            record: Some(Record::Append(append)),
        }
    };
    JournalBatch {
        records: (0..streams).map(record).collect(),
    }
}

fn report_message(name: &str, streams: usize, message: &PeerMessage, report: &mut Report) {
    let encoded = message.encode_to_vec();
    let per_token = |total: f64| total / streams as f64;
    let case = "for each token, by streams in a frame";
    let size = streams as u64;
    let bytes = per_token((encoded.len() + FRAME_HEADER_BYTES) as f64);
    report.add_sized(&format!("{name}_bytes"), case, size, bytes, "B");
    let encoding = nanos_per_call(|| message.encode_to_vec());
    report.add_sized(
        &format!("{name}_encode"),
        case,
        size,
        per_token(encoding),
        "ns",
    );
    let decoding = nanos_per_call(|| PeerMessage::decode(encoded.as_slice()));
    report.add_sized(
        &format!("{name}_decode"),
        case,
        size,
        per_token(decoding),
        "ns",
    );
}
