//! Messages by which a request is handed over.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use reachtally_protocol::handoff::{Data, Head, Header, Message, Offer, Refusal, Request};

fn header() -> Header {
    Header {
        name: "x-id".to_owned(),
        value: Bytes::from_static(b"\xffa"),
    }
}

#[test]
fn messages_are_decoded_as_they_were_encoded() {
    let request = Request {
        method: "POST".to_owned(),
        target: "/a?b".to_owned(),
        headers: vec![header(), header()],
        body: Bytes::from_static(b"body"),
        deadline: Duration::from_millis(1500),
        due: Duration::from_millis(700),
        last_event: Some(0),
        possible_runs: 1,
    };
    let head = Head {
        status: 200,
        headers: vec![header()],
    };
    let data = Data {
        data: Bytes::from_static(b"\0"),
        possible_runs: 2,
    };
    let offer = Offer {
        service: "pool".to_owned(),
        config_version: 7,
        request_bytes: Some(1 << 20),
    };
    let messages = [
        Message::Offer(offer),
        Message::Reply(Ok(())),
        Message::Reply(Err(Refusal::NoTarget)),
        Message::Reply(Err(Refusal::Outdated)),
        Message::Request(request),
        Message::Head(Ok(head)),
        Message::Head(Err(Refusal::Unavailable)),
        Message::Data(data),
        Message::End,
    ];
    for message in messages {
        let decoded = Message::decode(message.clone().encode());
        assert_eq!(decoded.expect("the message is valid"), message);
    }
}

#[test]
fn a_refusal_of_a_later_version_is_a_refusal() {
    // A reply whose refusal is 9.
    let frame = Bytes::from_static(&[0x12, 0x02, 0x08, 0x09]);
    let decoded = Message::decode(frame).expect("the message is valid");
    assert_eq!(decoded, Message::Reply(Err(Refusal::Unavailable)));
}

#[test]
fn a_message_without_content_is_an_error() {
    assert!(Message::decode(Bytes::new()).is_err());
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        let _ = Message::decode(bytes.into());
    }
}
