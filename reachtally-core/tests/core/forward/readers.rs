//! Which box reads the store for others, and which is asked.

use std::net::{IpAddr, Ipv4Addr};

use reachtally_core::forward::peers::Member;
use reachtally_core::forward::readers::{Origin, View};
use reachtally_core::ids::Incarnation;

fn ip(run: u64) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, run as u8).into()
}

fn group(boxes: &[(&str, u64)]) -> Vec<Member> {
    let member = |(domain, run): &(&str, u64)| Member {
        domain: (*domain).to_owned(),
        ip: ip(*run),
        run: Incarnation(*run),
        link_mbps: 20,
    };
    boxes.iter().map(member).collect()
}

/// Nine boxes at home, two abroad.
fn usual() -> Vec<Member> {
    let home = (1..=9).map(|run| ("north", run));
    group(
        &home
            .chain([("south", 21), ("west", 31)])
            .collect::<Vec<_>>(),
    )
}

fn origin(members: &[Member], run: u64, avoid: &[u64], is_sound: bool) -> Origin {
    let avoid: Vec<IpAddr> = avoid.iter().map(|run| ip(*run)).collect();
    View {
        members,
        home: "north",
        run: Incarnation(run),
        avoid: &avoid,
        is_sound,
    }
    .origin()
}

#[test]
fn the_first_reader_reads_the_store_and_the_others_ask_it() {
    let group = usual();
    assert_eq!(origin(&group, 1, &[], true), Origin::Store);
    for run in 2..=9 {
        assert_eq!(origin(&group, run, &[], true), Origin::Box(ip(1)));
    }
}

#[test]
fn the_next_reader_takes_the_place_of_one_that_failed() {
    let group = usual();
    assert_eq!(origin(&group, 2, &[1], true), Origin::Store);
    assert_eq!(origin(&group, 3, &[1], true), Origin::Box(ip(2)));
    assert_eq!(origin(&group, 9, &[1], false), Origin::Box(ip(2)));
}

#[test]
fn a_box_asks_no_more_than_the_readers_before_it_reads_the_store() {
    let group = usual();
    assert_eq!(origin(&group, 9, &[1, 2], true), Origin::Box(ip(3)));
    assert_eq!(origin(&group, 9, &[1, 2, 3], true), Origin::Store);
}

#[test]
fn a_box_whose_own_reads_fail_asks_wherever_it_can() {
    let group = usual();
    assert_eq!(origin(&group, 1, &[], false), Origin::Box(ip(2)));
    assert_eq!(origin(&group, 1, &[2, 3], false), Origin::Box(ip(21)));
    assert_eq!(
        origin(&group, 9, &[1, 2, 3, 21], false),
        Origin::Box(ip(31))
    );
    assert_eq!(origin(&group, 9, &[1, 2, 3, 21, 31], false), Origin::Store);
}

#[test]
fn a_box_that_the_group_does_not_list_yet_asks_too() {
    let group = usual();
    assert_eq!(origin(&group, 100, &[], false), Origin::Box(ip(1)));
    assert_eq!(origin(&[], 100, &[], false), Origin::Store);
}

#[test]
fn boxes_with_wide_links_are_readers_first() {
    let mut group = usual();
    group[6].link_mbps = 200;
    assert_eq!(origin(&group, 1, &[], true), Origin::Box(ip(7)));
    assert_eq!(origin(&group, 7, &[], true), Origin::Store);
    assert_eq!(origin(&group, 3, &[7], true), Origin::Box(ip(1)));
}
