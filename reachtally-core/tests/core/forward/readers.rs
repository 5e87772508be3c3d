//! Tests of which boxes read the store and which boxes the others ask instead.

use std::net::{IpAddr, Ipv4Addr};

use reachtally_core::forward::peers::Member;
use reachtally_core::forward::readers::{GroupView, ReadSource};
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

/// Nine boxes in the own domain, and one in each of two others.
fn usual() -> Vec<Member> {
    let home = (1..=9).map(|run| ("north", run));
    group(
        &home
            .chain([("south", 21), ("west", 31)])
            .collect::<Vec<_>>(),
    )
}

fn origin(members: &[Member], run: u64, avoid: &[u64], is_store_current: bool) -> ReadSource {
    let avoid: Vec<IpAddr> = avoid.iter().map(|run| ip(*run)).collect();
    GroupView {
        members,
        home: "north",
        run: Incarnation(run),
        ip: ip(run),
        seeds: &[],
        avoid: &avoid,
        stale: &[],
        contacts: &[],
        has_just_started: false,
        is_store_current,
    }
    .origin()
}

/// The view of a box that knows nothing but its seeds.
fn first_view<'a>(run: u64, seeds: &'a [IpAddr], avoid: &'a [IpAddr]) -> GroupView<'a> {
    GroupView {
        members: &[],
        home: "north",
        run: Incarnation(run),
        ip: ip(run),
        seeds,
        avoid,
        stale: &[],
        contacts: &[],
        has_just_started: false,
        is_store_current: false,
    }
}

/// The view of a box that knows the group.
fn view(members: &[Member], run: u64) -> GroupView<'_> {
    GroupView {
        members,
        ..first_view(run, &[], &[])
    }
}

#[test]
fn boxes_ask_seeds_and_seeds_read_the_store_until_the_group_is_known() {
    let seeds = [ip(1), ip(21)];
    assert_eq!(first_view(7, &seeds, &[]).origin(), ReadSource::Box(ip(1)));
    assert_eq!(
        first_view(7, &seeds, &[ip(1)]).origin(),
        ReadSource::Box(ip(21))
    );
    assert_eq!(first_view(7, &seeds, &seeds).origin(), ReadSource::Store);
    assert_eq!(first_view(21, &seeds, &[]).origin(), ReadSource::Store);
    // Seeds may be stale, so a known group takes precedence.
    let group = group(&[("north", 2)]);
    let with_group = GroupView {
        members: &group,
        ..first_view(7, &seeds, &[])
    };
    assert_eq!(with_group.origin(), ReadSource::Box(ip(2)));
}

#[test]
fn starting_box_waits_for_seeds_that_are_also_starting() {
    let seeds = [ip(1), ip(21)];
    let starting = GroupView {
        has_just_started: true,
        ..first_view(7, &seeds, &seeds)
    };
    assert_eq!(starting.origin(), ReadSource::Unavailable);
    let without_seeds = GroupView {
        seeds: &[],
        ..starting
    };
    assert_eq!(without_seeds.origin(), ReadSource::Store);
}

#[test]
fn boxes_outside_the_group_do_not_read_the_store_while_it_fails_for_readers() {
    let group = usual();
    let all = [1, 2, 3, 21, 31].map(ip);
    let waiting = GroupView {
        stale: &all[..1],
        avoid: &all[1..],
        ..view(&group, 50)
    };
    assert_eq!(waiting.origin(), ReadSource::Unavailable);
    let without_stale = GroupView {
        stale: &[],
        avoid: &all,
        ..waiting
    };
    assert_eq!(without_stale.origin(), ReadSource::Store);
    // The readers of the group keep trying the store.
    let reader = GroupView {
        stale: &all,
        avoid: &[],
        ..view(&group, 2)
    };
    assert_eq!(reader.origin(), ReadSource::Store);
}

#[test]
fn box_that_has_lost_the_store_asks_its_contacts_after_all_readers_it_knows() {
    let group = usual();
    let all = [1, 2, 3, 21, 31].map(ip);
    let contacts = [ip(1), ip(50), ip(51)];
    let cut = GroupView {
        contacts: &contacts,
        ..view(&group, 1)
    };
    assert_eq!(cut.origin(), ReadSource::Box(ip(2)));
    let after_readers = GroupView { stale: &all, ..cut };
    assert_eq!(after_readers.origin(), ReadSource::Box(ip(50)));
    let after_one = GroupView {
        avoid: &contacts[..2],
        ..after_readers
    };
    assert_eq!(after_one.origin(), ReadSource::Box(ip(51)));
    let after_all = GroupView {
        avoid: &contacts,
        ..after_readers
    };
    assert_eq!(after_all.origin(), ReadSource::Store);
    let seeds = [ip(1)];
    let unlisted = GroupView {
        contacts: &contacts,
        ..first_view(1, &seeds, &[])
    };
    assert_eq!(unlisted.origin(), ReadSource::Box(ip(50)));
}

#[test]
fn box_does_not_ask_its_own_earlier_run() {
    let group = usual();
    // Box 1 restarted; the group still lists its earlier run.
    let restarted = GroupView {
        ip: ip(1),
        is_store_current: true,
        ..view(&group, 77)
    };
    assert_eq!(restarted.origin(), ReadSource::Store);
    assert!(restarted.is_first());
    assert_eq!(restarted.collector(), None);
}

#[test]
fn box_outside_the_group_reads_the_store_only_if_no_reader_answers() {
    let group = usual();
    assert_eq!(origin(&group, 50, &[], true), ReadSource::Box(ip(1)));
    assert_eq!(
        origin(&group, 50, &[1, 2, 3], true),
        ReadSource::Box(ip(21))
    );
    // The first reader of each other domain, then the second readers.
    let mut more = group.clone();
    more.extend(self::group(&[("south", 22)]));
    assert_eq!(
        origin(&more, 50, &[1, 2, 3, 21], true),
        ReadSource::Box(ip(31))
    );
    let avoid = [1, 2, 3, 21, 31];
    assert_eq!(origin(&more, 50, &avoid, true), ReadSource::Box(ip(22)));
    // A reader asks only the first readers of other domains, and then reads the store.
    assert_eq!(origin(&more, 2, &avoid, false), ReadSource::Store);
    assert_eq!(
        origin(&group, 50, &[1, 2, 3, 21, 31], true),
        ReadSource::Store
    );
}

#[test]
fn failure_domain_keeps_only_the_needed_boxes_in_the_group() {
    let full = usual();
    assert!(!view(&full, 5).is_surplus());
    assert!(view(&full, 6).is_surplus());
    assert!(!view(&full, 50).is_surplus());
    assert_eq!(view(&full, 50).join_probability(300), 0.0);
    // While earlier runs of restarted boxes are still listed, no box is surplus because of them.
    let mut restarted = group(&[("north", 1), ("north", 2), ("north", 3)]);
    let earlier = restarted.clone().into_iter().map(|member| Member {
        run: Incarnation(member.run.0 + 100),
        ..member
    });
    restarted.extend(earlier);
    assert!(!view(&restarted, 3).is_surplus());
    assert_eq!(view(&restarted, 50).missing_readers(), 0);
    let few = group(&[("north", 1), ("south", 21), ("west", 31)]);
    assert_eq!(view(&few, 50).missing_readers(), 2);
    // Two of a hundred boxes in the own domain.
    assert_eq!(view(&few, 50).join_probability(300), 0.02);
}

#[test]
fn first_reader_reads_the_store_and_others_ask_it() {
    let group = usual();
    assert_eq!(origin(&group, 1, &[], true), ReadSource::Store);
    for run in 2..=9 {
        assert_eq!(origin(&group, run, &[], true), ReadSource::Box(ip(1)));
    }
}

#[test]
fn next_reader_replaces_a_failed_one() {
    let group = usual();
    assert_eq!(origin(&group, 2, &[1], true), ReadSource::Store);
    assert_eq!(origin(&group, 3, &[1], true), ReadSource::Box(ip(2)));
    assert_eq!(origin(&group, 9, &[1], false), ReadSource::Box(ip(2)));
}

#[test]
fn reader_asks_only_earlier_readers_and_others_ask_other_domains_before_the_store() {
    let group = usual();
    assert_eq!(origin(&group, 3, &[1, 2], true), ReadSource::Store);
    assert_eq!(origin(&group, 9, &[1, 2], true), ReadSource::Box(ip(3)));
    assert_eq!(origin(&group, 9, &[1, 2, 3], true), ReadSource::Box(ip(21)));
    assert_eq!(
        origin(&group, 9, &[1, 2, 3, 21, 31], true),
        ReadSource::Store
    );
}

#[test]
fn box_whose_store_reads_fail_asks_all_readers() {
    let group = usual();
    assert_eq!(origin(&group, 1, &[], false), ReadSource::Box(ip(2)));
    assert_eq!(origin(&group, 1, &[2, 3], false), ReadSource::Box(ip(21)));
    assert_eq!(
        origin(&group, 9, &[1, 2, 3, 21], false),
        ReadSource::Box(ip(31))
    );
    assert_eq!(
        origin(&group, 9, &[1, 2, 3, 21, 31], false),
        ReadSource::Store
    );
}

#[test]
fn unlisted_box_asks_a_reader() {
    let group = usual();
    assert_eq!(origin(&group, 100, &[], false), ReadSource::Box(ip(1)));
    assert_eq!(origin(&[], 100, &[], false), ReadSource::Store);
}

#[test]
fn boxes_with_fast_links_are_preferred_as_readers() {
    let mut group = usual();
    group[6].link_mbps = 200;
    assert_eq!(origin(&group, 1, &[], true), ReadSource::Box(ip(7)));
    assert_eq!(origin(&group, 7, &[], true), ReadSource::Store);
    assert_eq!(origin(&group, 3, &[7], true), ReadSource::Box(ip(1)));
}
