//! Encoding of rate limits and permits.

use std::time::Duration;

use reachtally_core::forward::fleet::{RunMark, TargetRun};
use reachtally_core::forward::limit::{
    DemandPart, DemandRate, Grant, Grants, LimitReport, PermitRequest, RateLimit, ServiceDemand,
};
use reachtally_core::forward::loads::Message;
use reachtally_core::ids::Incarnation;
use reachtally_protocol::limits::LIMITS_IN_MESSAGE;
use reachtally_protocol::load::{self, MESSAGE_MAX};

fn target(number: usize) -> TargetRun {
    TargetRun {
        id: format!("i-{number:010x}").into(),
        mark: RunMark(16_383),
    }
}

fn limits(count: usize) -> Vec<LimitReport> {
    let limit = |number| LimitReport {
        target: target(number),
        limit: RateLimit::new(30.5),
        age: Duration::from_millis(4_000_000),
    };
    (0..count).map(limit).collect()
}

fn demands() -> Vec<ServiceDemand> {
    vec![ServiceDemand {
        service: "pool".into(),
        rate: DemandRate::new(88.125),
        held: 5,
    }]
}

#[test]
fn messages_round_trip() {
    let ended_limit = LimitReport {
        limit: None,
        ..limits(1).remove(0)
    };
    let grants = (0..40).map(|number| Grant {
        target: target(number),
        count: 3,
    });
    let messages = [
        Message::Limits(vec![ended_limit]),
        Message::Limits(limits(LIMITS_IN_MESSAGE)),
        Message::PermitRequest(PermitRequest {
            run: Incarnation(7),
            number: 9,
            demands: demands(),
        }),
        Message::DemandPart(DemandPart {
            run: Incarnation(7),
            domain: "north".to_owned(),
            demands: demands(),
        }),
        Message::Grants(Grants {
            number: 9,
            grants: grants.collect(),
        }),
    ];
    for message in messages {
        let bytes = load::encode(&message);
        assert!(bytes.len() <= MESSAGE_MAX, "{}", bytes.len());
        assert_eq!(load::decode(&bytes), Ok(message));
    }
}

#[test]
fn a_limit_below_the_wire_resolution_is_not_decoded_as_ended() {
    let lowest = LimitReport {
        limit: RateLimit::new(0.0),
        ..limits(1).remove(0)
    };
    let decoded = load::decode(&load::encode(&Message::Limits(vec![lowest])));
    let Ok(Message::Limits(reports)) = decoded else {
        panic!("{decoded:?}");
    };
    assert!(reports[0].limit.is_some());
}
