//! Tests of the fingerprint that identifies equal requests.

use reachtally_core::forward::fingerprint::{Fingerprint, RequestIdentity};

const REQUEST: RequestIdentity<'static> = RequestIdentity {
    method: "POST",
    host: "shop.example",
    path: "/chat/report?a=1",
    account: Some("acme"),
    body: b"{}",
};

#[test]
fn fingerprint_is_stable_across_boxes_and_versions() {
    let fingerprints = Fingerprint::of(&REQUEST).to_string();
    insta::assert_snapshot!(fingerprints, @"a94fbc0cd83c789758dea94b1ca73c7a");
}

#[test]
fn fingerprint_ignores_the_case_of_the_host() {
    let upper_case = RequestIdentity {
        host: "SHOP.example",
        ..REQUEST
    };
    assert_eq!(Fingerprint::of(&upper_case), Fingerprint::of(&REQUEST));
}

#[test]
fn fingerprint_depends_on_every_other_field() {
    let others = [
        RequestIdentity {
            method: "GET",
            ..REQUEST
        },
        RequestIdentity {
            host: "other.example",
            ..REQUEST
        },
        RequestIdentity {
            path: "/chat/report?a=2",
            ..REQUEST
        },
        RequestIdentity {
            account: Some("other"),
            ..REQUEST
        },
        RequestIdentity {
            account: None,
            ..REQUEST
        },
        RequestIdentity {
            account: Some(""),
            ..REQUEST
        },
        RequestIdentity {
            body: b"",
            ..REQUEST
        },
        // Bytes that move from one field to the next.
        RequestIdentity {
            account: Some("acme{"),
            body: b"}",
            ..REQUEST
        },
        RequestIdentity {
            host: "shop.example/",
            path: "chat/report?a=1",
            ..REQUEST
        },
    ];
    let mut fingerprints: Vec<Fingerprint> = others.iter().map(Fingerprint::of).collect();
    fingerprints.push(Fingerprint::of(&REQUEST));
    fingerprints.sort();
    fingerprints.dedup();
    assert_eq!(fingerprints.len(), others.len() + 1);
}
