//! Messages between boxes that relay whole requests.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use reachtally_core::forward::changes::Cursor;
use reachtally_core::forward::fleet::Entry;
use reachtally_core::forward::peers::{Member, PeerLoad, PeerReport};
use reachtally_core::ids::Incarnation;
use reachtally_protocol::news::{Ask, News};
use reachtally_protocol::{load, packed};

fn entry(card: Option<&str>) -> Entry {
    Entry {
        id: "run-1".into(),
        service: "pool".into(),
        address: ([10, 1, 2, 3], 8080).into(),
        domain: "north".into(),
        draining: true,
        slots: 192,
        card: card.map(Into::into),
        layers: 7..19,
    }
}

fn member() -> Member {
    Member {
        domain: "north".to_owned(),
        ip: std::net::Ipv4Addr::LOCALHOST.into(),
        run: Incarnation(5),
        link_mbps: 20,
    }
}

#[test]
fn questions_and_answers_survive() {
    let ask = Ask {
        targets_end: 812,
        group_generation: 6,
        config_version: 9,
        targets: Cursor { run: 5, next: 77 },
    };
    assert_eq!(Ask::decode(&ask.encode()).expect("it decodes"), ask);
    let news = News {
        targets_end: 812,
        group_generation: 7,
        members: vec![member()],
        lapsed: vec!["i-1".to_owned()],
        confirmed_age: None,
        targets_age: None,
        config: Bytes::from_static(b"{}"),
        targets: Cursor { run: 5, next: 80 },
        is_whole: true,
        wrote: vec![entry(None), entry(Some("small"))],
        gone: vec!["run-2".to_owned()],
    };
    assert_eq!(News::decode(news.encode()).expect("it decodes"), news);
}

#[test]
fn an_age_never_becomes_smaller_on_the_way() {
    for micros in [0, 1, 999, 1_000, 1_001, 999_999] {
        let age = Duration::from_micros(micros);
        let news = News {
            confirmed_age: Some(age),
            ..News::default()
        };
        let decoded = News::decode(news.encode()).expect("it decodes");
        assert!(decoded.confirmed_age.expect("it is told") >= age);
    }
}

#[test]
fn a_report_keeps_to_one_datagram() {
    let load = |number: u32| PeerLoad {
        pace: (number % 2 == 1).then_some(2.5),
        target: format!("some-run-of-a-target-{number}").into(),
        running: number,
        tokens: 1000 * number,
    };
    let report = PeerReport {
        run: Incarnation(3),
        number: 8,
        loads: (0..500).map(load).collect(),
    };
    let bytes = load::encode(&report);
    assert!(bytes.len() <= load::REPORT_MAX);
    let decoded = load::decode(&bytes).expect("it decodes");
    assert!(decoded.loads.len() > 20);
    assert_eq!(decoded.loads, report.loads[..decoded.loads.len()]);
}

proptest! {
    #[test]
    fn strangers_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = load::decode(&bytes);
        let _ = Ask::decode(&bytes);
        let _ = News::decode(bytes.into());
    }
}

proptest! {
    #[test]
    fn a_packed_text_is_unpacked_whole(text in proptest::collection::vec(any::<u8>(), 0..4096)) {
        let packed = packed::pack(&text).expect("it packs");
        prop_assert_eq!(&packed::unpack(&packed).expect("it unpacks")[..], &text[..]);
    }

    #[test]
    fn nonsense_is_refused_or_unpacked_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        // Some nonsense is a packed text by chance; the configuration's decoder judges that.
        let _ = packed::unpack(&bytes);
    }
}

#[test]
fn a_text_that_unpacks_without_end_is_refused() {
    let packed = packed::pack(&vec![0; reachtally_protocol::FRAME_MAX + 1]).expect("it packs");
    assert!(packed.len() < 1 << 20);
    assert!(packed::unpack(&packed).is_err());
}
