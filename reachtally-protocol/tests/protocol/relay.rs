//! Messages between boxes that relay whole requests.

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
    SuspectReport,
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
fn questions_and_answers_survive() {
    let ask = UpdateRequest {
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
    };
    assert_eq!(
        UpdateRequest::decode(&ask.encode()).expect("it decodes"),
        ask
    );
    let news = Update {
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
    assert_eq!(Update::decode(news.encode()).expect("it decodes"), news);
}

#[test]
fn a_page_of_targets_survives_and_nothing_is_no_page() {
    let page = TargetPage {
        is_whole: true,
        wrote: vec![entry(None), entry(Some("small"))],
        lapsed: vec!["run-1".to_owned()],
        gone: vec!["run-2".to_owned()],
    };
    let packed = page.compress().expect("it packs");
    assert_eq!(TargetPage::decompress(&packed).expect("it unpacks"), page);
    let nothing = TargetPage::decompress(&[]).expect("it is no page");
    assert_eq!(nothing, TargetPage::default());
    assert!(TargetPage::decompress(&packed[..packed.len() / 2]).is_err());
}

/// Figure before: some 90 bytes a target.
#[test]
fn a_page_of_thousands_of_targets_takes_a_few_dozen_bytes_for_each() {
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
    let packed = page.compress().expect("it packs");
    assert!(packed.len() < 3000 * 36, "{} bytes", packed.len());
}

#[test]
fn an_age_never_becomes_smaller_on_the_way() {
    for micros in [0, 1, 999, 1_000, 1_001, 999_999] {
        let age = Duration::from_micros(micros);
        let news = Update {
            confirmed_age: Some(age),
            ..Update::default()
        };
        let decoded = Update::decode(news.encode()).expect("it decodes");
        assert!(decoded.confirmed_age.expect("it is told") >= age);
    }
}

/// A run with the longest mark.
fn run(id: String) -> TargetRun {
    TargetRun {
        id: id.into(),
        mark: RunMark((1 << 14) - 1),
    }
}

fn target_load(number: u32) -> TargetLoad {
    TargetLoad {
        target: run(format!("some-run-of-a-target-{number}")),
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

/// Boxes of `domains` failure domains.
fn counts(domains: u32) -> Vec<DomainCount> {
    let count = |number| DomainCount {
        domain: format!("domain-{number}"),
        boxes: 200 + number,
    };
    (0..domains).map(count).collect()
}

#[test]
fn a_box_that_leaves_its_collector_says_so() {
    let leave = Message::Leave(Incarnation(u64::MAX));
    assert_eq!(load::decode(&load::encode(&leave)), Ok(leave));
}

#[test]
fn a_message_of_loads_keeps_to_one_datagram() {
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
        let decoded = load::decode(&bytes).expect("it decodes");
        let kept = match decoded {
            Message::Report(report) => report.loads,
            Message::Part(part) => part.loads,
            Message::Others(others) => {
                assert_eq!(others.counts, counts(13));
                others.loads
            }
            other => panic!("it holds loads: {other:?}"),
        };
        assert!(kept.len() > 20);
        assert_eq!(kept, loads[..kept.len()]);
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
    let marked = |number: usize| run(format!("i-{number:010x}"));
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
        // In the size of two years there are thirteen failure domains.
        let others = Message::Others(Others {
            counts: counts(13),
            loads,
        });
        let decoded = load::decode(&load::encode(&others)).expect("it decodes");
        assert_eq!(decoded, others);
    }
}

/// A report was cut to one datagram, so that a busy box's load on most of its targets was unknown to all others.
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
            panic!("it is a page of a report");
        };
        assert_eq!(received, None);
        received = assembler.add(page);
    }
    assert_eq!(received, Some(report));
}

/// Queues make loads longer, so that as many as usual may not fit one datagram.
#[test]
fn loads_of_collectors_take_as_many_datagrams_as_they_need() {
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
            other => panic!("it holds loads: {other:?}"),
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

/// Versions that send reports of one datagram name no number of pages.
#[test]
fn a_report_without_a_number_of_pages_is_whole() {
    // Kind 1 of a datagram, a report with a run of eight bytes and number 1.
    let bytes = [10, 11, 9, 7, 0, 0, 0, 0, 0, 0, 0, 16, 1];
    let decoded = load::decode(&bytes);
    let Ok(Message::Report(page)) = decoded else {
        panic!("it is a page of a report");
    };
    assert!(ReportAssembler::default().add(page).is_some());
}

fn suspect(number: u8) -> SuspectReport {
    let end = |run: usize| CrashRecord {
        run: RunDigest(u32::MAX - run as u32),
        had_begun: true,
        is_acquitted: run.is_multiple_of(2),
    };
    SuspectReport {
        fingerprint: Fingerprint([number; FINGERPRINT_BYTES]),
        account: AccountDigest(u32::MAX),
        life: SUSPECT_TTL,
        ends: (0..MAX_CRASHES).map(end).collect(),
    }
}

#[test]
fn as_many_suspects_as_are_told_at_once_fit_one_datagram() {
    let told: Vec<SuspectReport> = (0..SUSPECTS_PER_MESSAGE as u8).map(suspect).collect();
    let bytes = load::encode(&Message::Suspects(told.clone()));
    assert!(bytes.len() <= load::MESSAGE_MAX, "{}", bytes.len());
    assert_eq!(load::decode(&bytes), Ok(Message::Suspects(told)));
}

#[test]
fn what_is_kept_of_a_request_is_read_with_the_time_that_is_left() {
    let told = suspect(3);
    let secs = Duration::from_secs;
    let kept = suspects::encode_stored(&told, secs(1_000));
    let read = |now| suspects::decode_stored(&kept, secs(now)).expect("it decodes");
    let left = |life| SuspectReport {
        life: secs(life),
        ..told.clone()
    };
    assert_eq!(read(970), left(30));
    assert_eq!(read(1_001), left(0));
    assert!(suspects::decode_stored(b"another writer's", secs(0)).is_err());
    assert!(suspects::decode_stored(&[], secs(0)).is_err());
}

#[test]
fn a_fingerprint_of_another_length_is_refused() {
    // Kind 5 of a datagram, a suspect with a fingerprint of two bytes.
    let bytes = [0x2a, 6, 0x0a, 4, 0x0a, 2, 7, 7];
    assert_eq!(
        load::decode(&bytes),
        Err(load::LoadError::Suspect(SuspectError::Fingerprint(2)))
    );
}

#[test]
fn a_datagram_of_an_unknown_kind_is_refused() {
    assert_eq!(load::decode(&[]), Err(load::LoadError::Unknown));
    // A field that a later version may add.
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
    fn strangers_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = load::decode(&bytes);
        let _ = UpdateRequest::decode(&bytes);
        let _ = TargetPage::decompress(&bytes);
        let _ = Update::decode(bytes.into());
    }
}

proptest! {
    #[test]
    fn a_packed_text_is_unpacked_whole(text in proptest::collection::vec(any::<u8>(), 0..4096)) {
        let packed = packed::compress(&text).expect("it packs");
        prop_assert_eq!(&packed::decompress(&packed).expect("it unpacks")[..], &text[..]);
    }

    #[test]
    fn nonsense_is_refused_or_unpacked_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        // Some nonsense is a packed text by chance; the configuration's decoder judges that.
        let _ = packed::decompress(&bytes);
    }
}

#[test]
fn a_text_that_unpacks_without_end_is_refused() {
    let packed = packed::compress(&vec![0; reachtally_protocol::FRAME_MAX + 1]).expect("it packs");
    assert!(packed.len() < 1 << 20);
    assert!(packed::decompress(&packed).is_err());
}
