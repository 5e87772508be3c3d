//! Which box reads the store for others, and which is asked.

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

/// Nine boxes at home, two abroad.
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
        has_just_started: false,
        is_store_current,
    }
    .origin()
}

/// The view of a box before anything is known, but for seeds.
fn first_view<'a>(run: u64, seeds: &'a [IpAddr], avoid: &'a [IpAddr]) -> GroupView<'a> {
    GroupView {
        members: &[],
        home: "north",
        run: Incarnation(run),
        ip: ip(run),
        seeds,
        avoid,
        stale: &[],
        has_just_started: false,
        is_store_current: false,
    }
}

/// The view of a box on a group.
fn view(members: &[Member], run: u64) -> GroupView<'_> {
    GroupView {
        members,
        ..first_view(run, &[], &[])
    }
}

#[test]
fn before_the_group_is_known_boxes_ask_a_seed_and_seeds_read_the_store() {
    let seeds = [ip(1), ip(21)];
    assert_eq!(first_view(7, &seeds, &[]).origin(), ReadSource::Box(ip(1)));
    assert_eq!(
        first_view(7, &seeds, &[ip(1)]).origin(),
        ReadSource::Box(ip(21))
    );
    assert_eq!(first_view(7, &seeds, &seeds).origin(), ReadSource::Store);
    assert_eq!(first_view(21, &seeds, &[]).origin(), ReadSource::Store);
    // Seeds may be stale; once the group is known it decides.
    let group = group(&[("north", 2)]);
    let knowing = GroupView {
        members: &group,
        ..first_view(7, &seeds, &[])
    };
    assert_eq!(knowing.origin(), ReadSource::Box(ip(2)));
}

#[test]
fn a_box_that_has_just_started_waits_for_seeds_that_start_too() {
    let seeds = [ip(1), ip(21)];
    let young = GroupView {
        has_just_started: true,
        ..first_view(7, &seeds, &seeds)
    };
    assert_eq!(young.origin(), ReadSource::Unavailable);
    let without_seeds = GroupView {
        seeds: &[],
        ..young
    };
    assert_eq!(without_seeds.origin(), ReadSource::Store);
}

#[test]
fn while_the_store_is_away_for_the_readers_boxes_outside_of_the_group_leave_it_alone() {
    let group = usual();
    let all = [1, 2, 3, 21, 31].map(ip);
    let waiting = GroupView {
        stale: &all[..1],
        avoid: &all[1..],
        ..view(&group, 50)
    };
    assert_eq!(waiting.origin(), ReadSource::Unavailable);
    let alone = GroupView {
        stale: &[],
        avoid: &all,
        ..waiting
    };
    assert_eq!(alone.origin(), ReadSource::Store);
    // Its readers go on asking the store.
    let reader = GroupView {
        stale: &all,
        avoid: &[],
        ..view(&group, 2)
    };
    assert_eq!(reader.origin(), ReadSource::Store);
}

#[test]
fn an_earlier_run_of_this_box_is_not_asked() {
    let group = usual();
    // Box 1 restarted with another run; the group has not missed the earlier one yet.
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
fn a_box_outside_of_the_group_reads_the_store_only_where_nobody_answers() {
    let group = usual();
    assert_eq!(origin(&group, 50, &[], true), ReadSource::Box(ip(1)));
    assert_eq!(
        origin(&group, 50, &[1, 2, 3], true),
        ReadSource::Box(ip(21))
    );
    // Of each other domain the first reader, then the second ones.
    let mut more = group.clone();
    more.extend(self::group(&[("south", 22)]));
    assert_eq!(
        origin(&more, 50, &[1, 2, 3, 21], true),
        ReadSource::Box(ip(31))
    );
    let avoid = [1, 2, 3, 21, 31];
    assert_eq!(origin(&more, 50, &avoid, true), ReadSource::Box(ip(22)));
    // A reader asks only the first ones, and then reads the store.
    assert_eq!(origin(&more, 2, &avoid, false), ReadSource::Store);
    assert_eq!(
        origin(&group, 50, &[1, 2, 3, 21, 31], true),
        ReadSource::Store
    );
}

#[test]
fn a_failure_domain_keeps_as_many_boxes_in_the_group_as_it_needs() {
    let full = usual();
    assert!(!view(&full, 5).is_surplus());
    assert!(view(&full, 6).is_surplus());
    assert!(!view(&full, 50).is_surplus());
    assert_eq!(view(&full, 50).join_probability(300), 0.0);
    // While the earlier runs of boxes that restarted are still listed, nobody is superfluous for them.
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
    // Two of a hundred boxes at home.
    assert_eq!(view(&few, 50).join_probability(300), 0.02);
}

#[test]
fn the_first_reader_reads_the_store_and_the_others_ask_it() {
    let group = usual();
    assert_eq!(origin(&group, 1, &[], true), ReadSource::Store);
    for run in 2..=9 {
        assert_eq!(origin(&group, run, &[], true), ReadSource::Box(ip(1)));
    }
}

#[test]
fn the_next_reader_takes_the_place_of_one_that_failed() {
    let group = usual();
    assert_eq!(origin(&group, 2, &[1], true), ReadSource::Store);
    assert_eq!(origin(&group, 3, &[1], true), ReadSource::Box(ip(2)));
    assert_eq!(origin(&group, 9, &[1], false), ReadSource::Box(ip(2)));
}

#[test]
fn a_reader_asks_no_more_than_those_before_it_and_others_ask_abroad_before_the_store() {
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
fn a_box_whose_own_reads_fail_asks_wherever_it_can() {
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
fn a_box_that_the_group_does_not_list_yet_asks_too() {
    let group = usual();
    assert_eq!(origin(&group, 100, &[], false), ReadSource::Box(ip(1)));
    assert_eq!(origin(&[], 100, &[], false), ReadSource::Store);
}

#[test]
fn boxes_with_wide_links_are_readers_first() {
    let mut group = usual();
    group[6].link_mbps = 200;
    assert_eq!(origin(&group, 1, &[], true), ReadSource::Box(ip(7)));
    assert_eq!(origin(&group, 7, &[], true), ReadSource::Store);
    assert_eq!(origin(&group, 3, &[7], true), ReadSource::Box(ip(1)));
}
