//! Round trips of peer messages, and decoding of arbitrary bytes without a panic.

use bytes::BytesMut;
use proptest::prelude::*;
use reachtally_core::Incarnation;
use reachtally_core::event::Read;
use reachtally_core::fold::Operation;
use reachtally_core::member::MemberState;
use reachtally_protocol::Message;
use reachtally_protocol::codec::Codec;
use tokio_util::codec::{Decoder, Encoder};

fn round_trip(message: Message) -> Message {
    let mut buf = BytesMut::new();
    Codec::default()
        .encode(message, &mut buf)
        .expect("the message is encodable");
    let decoded = Codec::default()
        .decode(&mut buf)
        .expect("the frame is valid");
    decoded.expect("the frame is complete")
}

fn member(number: u64) -> MemberState {
    MemberState {
        incarnation: Incarnation(number),
        box_name: format!("b{number}"),
        domain: "d".to_owned(),
        address: "127.0.0.1:7072".to_owned(),
        heartbeat: 7,
        config_next: 9,
        stopping: number == 2,
    }
}

#[test]
fn every_message_round_trips() {
    let record = Read {
        offset: 3,
        at_ms: 5,
        record: Operation {
            id: "o".to_owned(),
            actor: "anna".to_owned(),
            edits: Vec::new(),
        },
    };
    let messages = [
        Message::Digest(vec![member(1), member(2)]),
        Message::Records(vec![record]),
        Message::Pull(42),
        Message::Snapshot(Box::default()),
    ];
    for message in messages {
        assert_eq!(round_trip(message.clone()), message);
    }
}

#[test]
fn an_incomplete_frame_waits_for_the_remaining_bytes() {
    let mut buf = BytesMut::new();
    Codec::default()
        .encode(Message::Pull(1), &mut buf)
        .expect("the message is encodable");
    let mut incomplete = buf.split_to(buf.len() - 1);
    let mut codec = Codec::default();
    assert!(
        codec
            .decode(&mut incomplete)
            .expect("an incomplete frame is no error")
            .is_none()
    );
    incomplete.unsplit(buf);
    assert_eq!(
        codec.decode(&mut incomplete).expect("the frame is valid"),
        Some(Message::Pull(1))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn arbitrary_bytes_never_panic_the_codec(bytes in proptest::collection::vec(any::<u8>(), 0..256)) {
        let mut buf = BytesMut::from(&bytes[..]);
        // Any result is accepted; decoding must not panic or hang.
        let _ = Codec::default().decode(&mut buf);
        let mut framed = BytesMut::new();
        framed.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        framed.extend_from_slice(&bytes);
        let _ = Codec::default().decode(&mut framed);
    }
}

mod handoff;
mod limits;
mod relay;
mod shares;
