//! Encoding of the messages between boxes that relay whole requests.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use reachtally_core::forward::changes::Cursor;
use reachtally_core::forward::count::DomainCount;
use reachtally_core::forward::era::{Era, Generation, Position};
use reachtally_core::forward::fingerprint::{FINGERPRINT_BYTES, Fingerprint};
use reachtally_core::forward::fleet::{Entry, RunMark, TargetRun};
use reachtally_core::forward::loads::{
    Load, MARKED_TARGETS_PER_MESSAGE, Message, Others, Part, QueueReport, Report, ReportAssembler,
    ReportPage, TARGETS_PER_MESSAGE, TargetLoad,
};
use reachtally_core::forward::peers::Member;
use reachtally_core::forward::quarantine::{
    AccountDigest, CrashRecord, MAX_CRASHES, RunDigest, SUSPECT_TTL, SUSPECTS_PER_MESSAGE,
    SuspectReport, Weight,
};
use reachtally_core::ids::Incarnation;
use reachtally_protocol::news::{TargetPage, Update, UpdateRequest};
use reachtally_protocol::suspects::{self, SuspectError};
use reachtally_protocol::{load, packed};

fn entry(card: Option<&str>) -> Entry {
    Entry {
        id: "run-1".into(),
        born: None,
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
fn update_requests_and_updates_round_trip() {
    let request = UpdateRequest {
        targets_end: Position {
            era: Era(3),
            offset: 812,
        },
        group_generation: Generation {
            era: Era(2),
            number: 6,
        },
        config_version: 9,
        targets: Cursor { run: 5, next: 77 },
        ip: Some(std::net::Ipv4Addr::new(10, 1, 0, 7).into()),
    };
    assert_eq!(
        UpdateRequest::decode(&request.encode()).expect("the request is valid"),
        request
    );
    let update = Update {
        targets_end: Position {
            era: Era(3),
            offset: 812,
        },
        era: Some(Era(4)),
        era_age: Some(Duration::from_millis(90)),
        group_generation: Generation {
            era: Era(2),
            number: 7,
        },
        members: vec![member()],
        confirmed_age: None,
        targets_age: None,
        config: Bytes::from_static(b"{}"),
        targets: Cursor { run: 5, next: 80 },
        page: Bytes::from_static(b"packed"),
    };
    assert_eq!(
        Update::decode(update.encode()).expect("the update is valid"),
        update
    );
}

#[test]
fn a_page_of_targets_round_trips_and_no_bytes_are_an_empty_page() {
    let page = TargetPage {
        is_whole: true,
        wrote: vec![entry(None), entry(Some("small"))],
        lapsed: vec!["run-1".to_owned()],
        gone: vec!["run-2".to_owned()],
    };
    let packed = page.compress().expect("compression succeeds");
    assert_eq!(
        TargetPage::decompress(&packed).expect("the data is valid"),
        page
    );
    let empty = TargetPage::decompress(&[]).expect("no bytes are an empty page");
    assert_eq!(empty, TargetPage::default());
    assert!(TargetPage::decompress(&packed[..packed.len() / 2]).is_err());
}

/// Without compression, a target took about 90 bytes.
#[test]
fn a_page_of_thousands_of_targets_takes_fewer_than_36_bytes_per_target() {
    let target = |number: u32| Entry {
        id: format!(
            "i-{:010x}",
            u64::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 24
        )
        .into(),
        address: ([10, 1, (number / 250) as u8, (number % 250) as u8], 8066).into(),
        layers: number % 70..number % 70 + 10,
        ..entry(Some("small"))
    };
    let page = TargetPage {
        is_whole: true,
        wrote: (0..3000).map(target).collect(),
        ..TargetPage::default()
    };
    let packed = page.compress().expect("compression succeeds");
    assert!(packed.len() < 3000 * 36, "{} bytes", packed.len());
}

#[test]
fn an_age_never_decreases_in_a_round_trip() {
    for micros in [0, 1, 999, 1_000, 1_001, 999_999] {
        let age = Duration::from_micros(micros);
        let update = Update {
            confirmed_age: Some(age),
            ..Update::default()
        };
        let decoded = Update::decode(update.encode()).expect("the update is valid");
        assert!(decoded.confirmed_age.expect("the age is present") >= age);
    }
}

/// Returns a target run with the largest mark, which has the longest encoding.
fn target_run(id: String) -> TargetRun {
    TargetRun {
        id: id.into(),
        mark: RunMark((1 << 14) - 1),
    }
}

fn target_load(number: u32) -> TargetLoad {
    TargetLoad {
        target: target_run(format!("some-run-of-a-target-{number}")),
        load: Load {
            pace: (number % 2 == 1).then_some(2.5),
            silent: number,
            running: number,
            tokens: 1000 * number,
            reading: 10 * number,
            queue: number.is_multiple_of(3).then_some(QueueReport {
                waiting: 7 * number,
                age: Duration::from_millis(375),
            }),
        },
    }
}

/// Returns the box counts of `domains` failure domains.
fn counts(domains: u32) -> Vec<DomainCount> {
    let count = |number| DomainCount {
        domain: format!("domain-{number}"),
        boxes: 200 + number,
    };
    (0..domains).map(count).collect()
}

#[test]
fn a_leave_message_round_trips() {
    let leave = Message::Leave(Incarnation(u64::MAX));
    assert_eq!(load::decode(&load::encode(&leave)), Ok(leave));
}

#[test]
fn a_load_message_is_truncated_to_one_datagram() {
    let loads: Vec<TargetLoad> = (0..500).map(target_load).collect();
    let report = Message::Report(ReportPage {
        run: Incarnation(3),
        number: 8,
        index: 1,
        count: 20,
        loads: loads.clone(),
    });
    let part = Message::Part(Part {
        run: Incarnation(u64::MAX),
        domain: "north".to_owned(),
        boxes: u32::MAX,
        loads: loads.clone(),
    });
    let others = Message::Others(Others {
        counts: counts(13),
        loads: loads.clone(),
    });
    for message in [report, part, others] {
        let bytes = load::encode(&message);
        assert!(bytes.len() <= load::MESSAGE_MAX);
        let decoded = load::decode(&bytes).expect("the datagram is valid");
        let received = match decoded {
            Message::Report(report) => report.loads,
            Message::Part(part) => part.loads,
            Message::Others(others) => {
                assert_eq!(others.counts, counts(13));
                others.loads
            }
            other => panic!("decoded as a message without loads: {other:?}"),
        };
        assert!(received.len() > 20);
        assert_eq!(received, loads[..received.len()]);
    }
}

#[test]
fn as_many_targets_as_are_told_at_once_fit_one_datagram() {
    let load = |target: TargetRun| TargetLoad {
        target,
        load: Load {
            pace: Some(1.5),
            silent: 2,
            running: 400,
            tokens: 200_000,
            reading: 4_000,
            queue: None,
        },
    };
    let marked = |number: usize| target_run(format!("i-{number:010x}"));
    let unmarked = |number: usize| TargetRun {
        mark: RunMark::default(),
        ..marked(number)
    };
    let marked: Vec<TargetLoad> = (0..MARKED_TARGETS_PER_MESSAGE)
        .map(marked)
        .map(load)
        .collect();
    let unmarked: Vec<TargetLoad> = (0..TARGETS_PER_MESSAGE).map(unmarked).map(load).collect();
    for loads in [marked, unmarked] {
        // Capacity planning (docs/CAPACITY.md) assumes thirteen failure domains.
        let others = Message::Others(Others {
            counts: counts(13),
            loads,
        });
        let decoded = load::decode(&load::encode(&others)).expect("the datagram is valid");
        assert_eq!(decoded, others);
    }
}

/// Reports used to be truncated to one datagram, so a busy box's load on most of its targets was
/// unknown to all other boxes.
#[test]
fn a_report_of_many_targets_reaches_the_collector_whole() {
    let sent: Vec<TargetLoad> = (0..200).map(target_load).collect();
    let report = Report {
        run: Incarnation(u64::MAX),
        number: u64::MAX,
        loads: sent.clone(),
    };
    let mut assembler = ReportAssembler::default();
    let mut received = None;
    for page in load::pages(&report) {
        let bytes = load::encode(&Message::Report(page));
        assert!(bytes.len() <= load::MESSAGE_MAX);
        let Ok(Message::Report(page)) = load::decode(&bytes) else {
            panic!("not decoded as a report page");
        };
        assert_eq!(received, None);
        received = assembler.add(page);
    }
    assert_eq!(received, Some(report));
}

/// Queue reports enlarge the loads, so that the usual number may not fit one datagram.
#[test]
fn collector_loads_are_split_into_as_many_datagrams_as_needed() {
    let mut loads: Vec<TargetLoad> = (0..100).map(target_load).collect();
    let part = Part {
        run: Incarnation(u64::MAX),
        domain: "north".to_owned(),
        boxes: u32::MAX,
        loads: loads.clone(),
    };
    let others = Others {
        counts: counts(13),
        loads: loads.clone(),
    };
    let datagrams = load::datagrams(&Message::Part(part)).into_iter();
    for bytes in datagrams.chain(load::datagrams(&Message::Others(others))) {
        assert!(bytes.len() <= load::MESSAGE_MAX);
        let received = match load::decode(&bytes) {
            Ok(Message::Part(part)) => part.loads,
            Ok(Message::Others(others)) => others.loads,
            other => panic!("decoded as a message without loads: {other:?}"),
        };
        if loads.is_empty() {
            loads = (0..100).map(target_load).collect();
        }
        let rest = loads.split_off(received.len());
        assert_eq!(received, loads);
        loads = rest;
    }
    assert!(loads.is_empty());
}

/// Versions that send single-datagram reports omit the page count.
#[test]
fn a_report_without_a_page_count_is_complete() {
    // Message kind 1: a report with a run of eight bytes and number 1.
    let bytes = [10, 11, 9, 7, 0, 0, 0, 0, 0, 0, 0, 16, 1];
    let decoded = load::decode(&bytes);
    let Ok(Message::Report(page)) = decoded else {
        panic!("not decoded as a report page");
    };
    assert!(ReportAssembler::default().add(page).is_some());
}

fn suspect(number: u8) -> SuspectReport {
    let crash = |run: usize| CrashRecord {
        run: RunDigest(u32::MAX - run as u32),
        weight: Weight::Strong,
        is_acquitted: run.is_multiple_of(2),
    };
    SuspectReport {
        fingerprint: Fingerprint([number; FINGERPRINT_BYTES]),
        account: AccountDigest(u32::MAX),
        life: SUSPECT_TTL,
        ends: (0..MAX_CRASHES).map(crash).collect(),
    }
}

#[test]
fn the_maximum_number_of_suspects_fits_one_datagram() {
    let sent: Vec<SuspectReport> = (0..SUSPECTS_PER_MESSAGE as u8).map(suspect).collect();
    let bytes = load::encode(&Message::Suspects(sent.clone()));
    assert!(bytes.len() <= load::MESSAGE_MAX, "{}", bytes.len());
    assert_eq!(load::decode(&bytes), Ok(Message::Suspects(sent)));
}

#[test]
fn a_stored_suspect_is_decoded_with_its_remaining_lifetime() {
    let report = suspect(3);
    let secs = Duration::from_secs;
    let stored = suspects::encode_stored(&report, secs(1_000));
    let read =
        |now| suspects::decode_stored(&stored, secs(now)).expect("the stored suspect is valid");
    let with_life = |life| SuspectReport {
        life: secs(life),
        ..report.clone()
    };
    assert_eq!(read(970), with_life(30));
    assert_eq!(read(1_001), with_life(0));
    assert!(suspects::decode_stored(b"another writer's", secs(0)).is_err());
    assert!(suspects::decode_stored(&[], secs(0)).is_err());
}

#[test]
fn a_fingerprint_of_the_wrong_length_is_rejected() {
    // Message kind 5: a suspect with a fingerprint of two bytes.
    let bytes = [0x2a, 6, 0x0a, 4, 0x0a, 2, 7, 7];
    assert_eq!(
        load::decode(&bytes),
        Err(load::LoadError::Suspect(SuspectError::Fingerprint(2)))
    );
}

#[test]
fn a_datagram_of_an_unknown_kind_is_rejected() {
    assert_eq!(load::decode(&[]), Err(load::LoadError::Unknown));
    // An unknown field, such as one added by a later version.
    assert_eq!(load::decode(&[0x7a, 0]), Err(load::LoadError::Unknown));
    let truncated = &load::encode(&Message::Others(Others {
        counts: counts(1),
        loads: vec![target_load(1)],
    }))[..9];
    assert!(matches!(
        load::decode(truncated),
        Err(load::LoadError::Malformed(_))
    ));
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = load::decode(&bytes);
        let _ = UpdateRequest::decode(&bytes);
        let _ = TargetPage::decompress(&bytes);
        let _ = Update::decode(bytes.into());
    }
}

proptest! {
    #[test]
    fn compressed_data_round_trips(text in proptest::collection::vec(any::<u8>(), 0..4096)) {
        let packed = packed::compress(&text).expect("compression succeeds");
        prop_assert_eq!(&packed::decompress(&packed).expect("the data is valid")[..], &text[..]);
    }

    #[test]
    fn decompressing_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        // Arbitrary bytes may be valid compressed data; the configuration's decoder validates the
        // result.
        let _ = packed::decompress(&bytes);
    }
}

#[test]
fn data_that_decompresses_beyond_the_limit_is_rejected() {
    let packed = packed::compress(&vec![0; reachtally_protocol::FRAME_MAX + 1])
        .expect("compression succeeds");
    assert!(packed.len() < 1 << 20);
    assert!(packed::decompress(&packed).is_err());
}
