//! Tests of which host claims a pool, and when.

use mangotrestle_core::id::EntryHostId;
use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::leadership::{
    self, Candidate, ClaimTurn, LEADER_TIMEOUT, LeadRow, LoadTiming, MAX_COMMIT_INTERVAL,
    MIN_CLAIM_STAGGER, TERM_STEP, Watch,
};
use quickcheck::quickcheck;

/// Time within which a quarter of the requests must be served once the hosts are back, in the smaller
/// deployments.
const RECOVERY_TIME: SpanMs = SpanMs(12_000);
/// Maximum number of pages that a pool of the smaller deployments is loaded from: one for each of its
/// four tables.
const PAGES_OF_SMALL_POOL: u64 = 4;

fn host(name: &str) -> EntryHostId {
    EntryHostId::new(name).expect("a valid host name")
}

fn row(term: u64, released: bool) -> LeadRow {
    LeadRow {
        holder: host("a"),
        address: "127.0.0.1:1".to_owned(),
        incarnation: 7,
        term,
        sequence: 3,
        released,
    }
}

#[test]
fn a_fencing_token_rises_with_the_life_of_a_worker_and_more_with_the_term() {
    let first = leadership::fencing_token(TERM_STEP, 0);
    let later_life = leadership::fencing_token(TERM_STEP, 1);
    let last_life = leadership::fencing_token(TERM_STEP, u32::MAX);
    let next_term = leadership::fencing_token(2 * TERM_STEP, 0);

    assert!(first < later_life && later_life < last_life && last_life < next_term);
}

#[test]
fn a_row_that_cannot_be_read_is_claimed_by_its_version_with_a_higher_term() {
    let mut watch = Watch::default();
    watch.observe(TimeMs(1_000), row(3 * TERM_STEP, false), 40);

    watch.observe_unreadable(TimeMs(2_000), 50);
    watch.observe_unchanged(TimeMs(2_000) + LEADER_TIMEOUT);

    assert_eq!(watch.version(), 50);
    assert!(watch.is_claim_due(0, MIN_CLAIM_STAGGER, false, false));
    let claimed = watch.claim(&host("b"), "127.0.0.1:2", 9);
    assert_eq!(claimed.term, 4 * TERM_STEP);
}

#[test]
fn the_term_after_an_absurd_one_is_not_lower() {
    for term in [u64::MAX, u64::MAX - 1, u64::MAX / TERM_STEP * TERM_STEP] {
        let mut watch = Watch::default();
        watch.observe(TimeMs(1_000), row(term, false), 40);

        let claimed = watch.claim(&host("b"), "127.0.0.1:2", 9).term;

        assert!(claimed >= term, "{claimed} after {term}");
        assert!(leadership::fencing_token(claimed, u32::MAX) >= claimed);
    }
}

#[test]
fn leaders_of_an_earlier_release_and_of_this_one_can_follow_each_other() {
    let claim_after = |term| {
        let mut watch = Watch::default();
        watch.observe(TimeMs(1_000), row(term, false), 40);
        watch.claim(&host("b"), "127.0.0.1:2", 9).term
    };
    let own_term = claim_after(7);

    // A host of an earlier release raises the term by one, and its term is its token.
    let earlier_release = own_term + 1;

    assert_eq!(own_term, TERM_STEP);
    assert!(earlier_release > leadership::fencing_token(own_term, 0));
    assert_eq!(claim_after(earlier_release), 2 * TERM_STEP);
}

#[test]
fn a_pool_without_a_row_is_claimed_at_once_by_the_first_host_and_later_by_others() {
    let mut watch = Watch::default();
    watch.observe_unchanged(TimeMs(1_000));

    assert!(watch.is_claim_due(0, MIN_CLAIM_STAGGER, false, false));
    assert!(!watch.is_claim_due(1, MIN_CLAIM_STAGGER, false, false));
}

#[test]
fn a_leader_that_commits_is_not_replaced() {
    let mut watch = Watch::default();
    for number in 1..20 {
        watch.observe(TimeMs(number * 500), row(1, false), number);
        assert!(!watch.is_claim_due(0, MIN_CLAIM_STAGGER, false, false));
    }
}

#[test]
fn the_leader_timeout_counts_only_time_with_answered_polls() {
    let mut watch = Watch::default();
    watch.observe(TimeMs(1_000), row(1, false), 5);

    // A long time passes in which this host could not poll.
    let due_before = watch.is_claim_due(0, MIN_CLAIM_STAGGER, false, false);
    watch.observe_unchanged(TimeMs(1_000) + LEADER_TIMEOUT);
    let due_after = watch.is_claim_due(0, MIN_CLAIM_STAGGER, false, false);

    assert!(!due_before);
    assert!(due_after);
}

#[test]
fn the_leader_timeout_restarts_after_an_outage() {
    let mut watch = Watch::default();
    watch.observe(TimeMs(1_000), row(1, false), 5);

    watch.restart_timeout(TimeMs(60_000));

    assert!(!watch.is_claim_due(0, MIN_CLAIM_STAGGER, false, false));
}

#[test]
fn a_released_or_ended_leadership_is_claimed_at_once() {
    let mut released = Watch::default();
    released.observe(TimeMs(1_000), row(1, true), 5);
    let mut ended = Watch::default();
    ended.observe(TimeMs(1_000), row(1, false), 5);

    assert!(released.is_claim_due(0, MIN_CLAIM_STAGGER, false, false));
    assert!(ended.is_claim_due(0, MIN_CLAIM_STAGGER, true, false));
}

#[test]
fn the_leader_timeout_is_longer_while_the_store_is_slow() {
    let mut watch = Watch::default();
    watch.observe(TimeMs(1_000), row(1, false), 5);
    watch.observe_unchanged(TimeMs(1_000) + LEADER_TIMEOUT + SpanMs(1));

    assert!(watch.is_claim_due(0, MIN_CLAIM_STAGGER, false, false));
    assert!(!watch.is_claim_due(0, MIN_CLAIM_STAGGER, false, true));
}

#[test]
fn a_claim_raises_the_term_and_older_versions_are_ignored() {
    let mut watch = Watch::default();
    watch.observe(TimeMs(1_000), row(4, false), 9);
    watch.observe(TimeMs(1_100), row(2, false), 6);

    let claim = watch.claim(&host("b"), "127.0.0.1:2", 8);

    assert_eq!(claim.term, TERM_STEP);
    assert_eq!(watch.version(), 9);
}

fn candidate(host: &EntryHostId, cpu_millicores: u32, other_pools_led: u32) -> Candidate<'_> {
    Candidate {
        host,
        cpu_millicores,
        other_pools_led,
    }
}

#[test]
fn hosts_with_more_processor_time_rank_first_and_equal_hosts_share_the_pools() {
    let names: Vec<EntryHostId> = (0..8).map(|index| host(&format!("host-{index}"))).collect();
    let millicores = |index: usize| if index < 4 { 500 } else { 120 };
    let hosts = || {
        (0..)
            .zip(&names)
            .map(|(index, name)| candidate(name, millicores(index), 0))
    };
    let pools: Vec<String> = (0..40).map(|pool| format!("pool-{pool}")).collect();

    let rankings: Vec<_> = pools
        .iter()
        .map(|pool| leadership::rank_candidates(pool, hosts()))
        .collect();

    let strong_hosts = &names[..4];
    for ranked in &rankings {
        assert_eq!(ranked.len(), names.len());
        assert!(ranked[..4].iter().all(|name| strong_hosts.contains(name)));
    }
    for name in strong_hosts {
        assert!(rankings.iter().any(|ranked| ranked[0] == name));
    }
}

#[test]
fn a_host_that_leads_a_pool_ranks_below_its_equals_and_above_weaker_hosts() {
    let names: Vec<EntryHostId> = (0..4).map(|index| host(&format!("host-{index}"))).collect();
    let hosts = || names.iter().zip([500, 500, 120, 120]);
    let idle = hosts().map(|(name, millicores)| candidate(name, millicores, 0));
    let first_host = leadership::rank_candidates("pool", idle)[0];

    let busy = hosts()
        .map(|(name, millicores)| candidate(name, millicores, u32::from(name == first_host)));
    let ranked = leadership::rank_candidates("pool", busy);

    assert_eq!(ranked.iter().position(|name| *name == first_host), Some(1));
    assert!(names[..2].contains(ranked[0]));
}

#[test]
fn a_late_leader_passes_its_pool_on_only_to_a_host_with_much_more_processor_time() {
    let (own, other) = (host("own"), host("other"));
    let late = SpanMs(300);
    let passes_on = |own_millicores, lag, busy_per_mille, other_millicores, other_pools| {
        let own = candidate(&own, own_millicores, 0);
        let others = [candidate(&other, other_millicores, other_pools)];
        leadership::passes_on(&own, lag, busy_per_mille, others)
    };

    assert!(passes_on(120, late, 300, 500, 0));
    assert!(passes_on(120, SpanMs(5), 900, 500, 1));
    assert!(!passes_on(120, SpanMs(5), 300, 500, 0), "it is in time");
    assert!(
        !passes_on(500, late, 900, 500, 0),
        "the other is no stronger"
    );
    assert!(
        !passes_on(120, late, 900, 500, 3),
        "the other leads three pools"
    );
    assert!(
        !passes_on(0, late, 900, 500, 0),
        "its processor time is unknown"
    );
}

#[test]
fn hosts_claim_one_after_the_other_also_if_the_leader_was_silent_for_long() {
    let stagger = SpanMs(250);
    let found_gone_at = TimeMs(10_000);

    let turns = |rank: u64| {
        let mut turn = ClaimTurn::default();
        assert!(!turn.update(TimeMs(9_000), false, rank, stagger));
        let times = (0..8).map(|round| found_gone_at + SpanMs(round * 100));
        let mut times = times.filter(|now| turn.update(*now, true, rank, stagger));
        times.next().map(|at| at.since(found_gone_at).0)
    };

    assert_eq!([0, 1, 2].map(turns), [Some(0), Some(300), Some(500)]);
}

#[test]
fn a_host_gets_its_turn_although_the_claim_is_not_due_for_moments_in_between() {
    let slow_stagger = SpanMs(1_000);
    let mut turn = ClaimTurn::default();

    // What is known of a silent leader lapses, and is found out again, while the store is slow.
    let polls = (0..20).map(|poll| (TimeMs(10_000 + poll * 800), poll % 2 == 0));
    let turns = polls.map(|(now, is_due)| turn.update(now, is_due, 2, slow_stagger));

    assert!(turns.collect::<Vec<_>>().contains(&true));
}

#[test]
fn a_busy_weak_leader_passes_its_pool_on_to_a_host_with_many_times_its_processor_time() {
    let (weak, strong) = (host("weak"), host("strong"));
    let candidate = |host, cpu_millicores| Candidate {
        host,
        cpu_millicores,
        other_pools_led: 0,
    };
    let passes_on = |busy_per_mille, cpu_millicores| {
        let other = candidate(&strong, cpu_millicores);
        leadership::passes_on(&candidate(&weak, 90), SpanMs(0), busy_per_mille, [other])
    };

    assert!(passes_on(400, 500));
    assert!(!passes_on(200, 500), "idle enough");
    assert!(!passes_on(400, 200), "little is gained");
}

#[test]
fn a_pool_is_claimed_in_time_however_many_hosts_before_the_first_are_gone_for_good() {
    let hosts = 300;

    let rank = leadership::turn_rank(hosts - 1, hosts, false);

    let turn = SpanMs(MIN_CLAIM_STAGGER.0 * rank);
    assert!(
        LEADER_TIMEOUT + turn < SpanMs(RECOVERY_TIME.0 / 2),
        "{turn:?}"
    );
}

#[test]
fn a_host_that_gave_a_pool_up_goes_after_the_first_of_the_others() {
    for hosts in 2..20 {
        let ranks = 0..hosts;
        let given_up = leadership::turn_rank(0, hosts, true);

        let first_other = ranks
            .skip(1)
            .map(|rank| leadership::turn_rank(rank, hosts, false));

        assert!(first_other.min().is_some_and(|other| other < given_up));
    }
}

#[test]
fn a_pool_that_one_host_cannot_load_is_loaded_by_the_next_within_the_time_to_recover() {
    let timing = LoadTiming::new(f64::from(60));

    // The leader is known to be gone only by its silence, the first host takes as long as it may, and the
    // next sees with its next poll that the pool is released, and takes a turn of one rank.
    let poll = MAX_COMMIT_INTERVAL.0;
    let first_claim = poll + LEADER_TIMEOUT.0;
    let second_claim = timing.limit(PAGES_OF_SMALL_POOL).0 + poll + MIN_CLAIM_STAGGER.0;
    let second_load = timing.limit(PAGES_OF_SMALL_POOL).0;

    let sum = SpanMs(first_claim + second_claim + second_load);
    assert!(sum < RECOVERY_TIME, "{sum:?}");
}

quickcheck! {
    fn a_load_that_gets_its_share_of_the_rate_is_never_given_up(hosts: u8, pages: u16) -> bool {
        let share = 2_000.0 / (f64::from(hosts) + 1.0);
        let needed_ms = f64::from(pages) * 1_000.0 / share;

        let limit = LoadTiming::new(share).limit(pages.into());

        limit.as_duration() > std::time::Duration::from_secs_f64(needed_ms / 1_000.0)
    }
}

/// Returns a watch that has seen leaders follow each other after these tenures, and the time at which
/// the last one took the pool.
fn watch_after(tenures_ms: &[u64]) -> (Watch, TimeMs) {
    let mut watch = Watch::default();
    let mut now = TimeMs(1_000);
    watch.observe(now, row(1, false), 1);
    for (number, &tenure_ms) in (2..).zip(tenures_ms) {
        now = now + SpanMs(tenure_ms);
        watch.observe(now, row(number, false), number);
    }
    (watch, now)
}

#[test]
fn slow_leaders_are_not_replaced_by_others_as_slow_before_they_have_taken_over_the_backlog() {
    let replaced_after = |tenures_ms: &[u64]| {
        let (mut watch, taken_at) = watch_after(tenures_ms);
        (0..20_000)
            .step_by(100)
            .find(|&waited_ms| {
                watch.observe_unchanged(taken_at + SpanMs(waited_ms));
                watch.is_claim_due(0, MIN_CLAIM_STAGGER, false, false)
            })
            .map(SpanMs)
    };

    assert_eq!(replaced_after(&[]), Some(LEADER_TIMEOUT));
    assert_eq!(replaced_after(&[1_600]), Some(SpanMs(2 * LEADER_TIMEOUT.0)));
    assert_eq!(
        replaced_after(&[1_600, 3_200, 6_400]),
        Some(SpanMs(4 * LEADER_TIMEOUT.0))
    );
    assert_eq!(replaced_after(&[1_600, 60_000]), Some(LEADER_TIMEOUT));
}

#[test]
fn a_leader_that_has_ended_is_replaced_at_once_after_short_tenures_as_well() {
    let (mut watch, taken_at) = watch_after(&[1_600, 3_200]);

    watch.observe_unchanged(taken_at + SpanMs(100));

    assert!(watch.is_claim_due(0, MIN_CLAIM_STAGGER, true, false));
}

#[test]
fn a_planned_change_of_leader_does_not_lengthen_the_timeouts() {
    let mut watch = Watch::default();
    watch.observe(TimeMs(1_000), row(1, false), 1);
    watch.observe(TimeMs(2_000), row(1, true), 2);
    watch.observe(TimeMs(2_100), row(2, false), 3);

    watch.observe_unchanged(TimeMs(2_100) + LEADER_TIMEOUT);

    assert!(watch.is_claim_due(0, MIN_CLAIM_STAGGER, false, false));
}

#[test]
fn a_pool_is_loaded_in_the_end_although_all_hosts_read_slowly() {
    let page_ms = 700;
    let pages = 20;
    let timing = LoadTiming::new(1_000.0);

    let failures = (0..10).find(|&failures| {
        let limit = timing.after_failures(failures).limit(pages);
        limit >= SpanMs(pages * page_ms)
    });

    assert_eq!(failures, Some(1));
}
