//! What makes two requests the same one.

use reachtally_core::forward::fingerprint::{Fingerprint, RequestIdentity};

const REQUEST: RequestIdentity<'static> = RequestIdentity {
    method: "POST",
    host: "shop.example",
    path: "/chat/report?a=1",
    account: Some("acme"),
    body: b"{}",
};

#[test]
fn it_is_the_same_on_all_boxes_and_versions() {
    let told = Fingerprint::of(&REQUEST).to_string();
    insta::assert_snapshot!(told, @"a94fbc0cd83c789758dea94b1ca73c7a");
}

#[test]
fn the_case_of_the_host_does_not_count() {
    let shouted = RequestIdentity {
        host: "SHOP.example",
        ..REQUEST
    };
    assert_eq!(Fingerprint::of(&shouted), Fingerprint::of(&REQUEST));
}

#[test]
fn all_else_counts() {
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
        // What moves from one field to the next.
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
    let mut told: Vec<Fingerprint> = others.iter().map(Fingerprint::of).collect();
    told.push(Fingerprint::of(&REQUEST));
    told.sort();
    told.dedup();
    assert_eq!(told.len(), others.len() + 1);
}
