//! Tests of the rate of calls to the store, in virtual time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mangotrestle_platform::budget::{Budget, Priority};
use tokio::time::Instant;

/// Rate that a store allows all clients together, in requests per second.
const STORE_RATE_PER_S: u32 = 1_000;

/// Returns the number of requests that a client sends in a time, each as soon as its budget allows.
async fn requests_within(budget: &Budget, time: Duration) -> u32 {
    let end = Instant::now() + time;
    let mut sent = 0;
    while Instant::now() < end {
        budget.acquire(Priority::Normal).await;
        sent += 1;
    }
    sent
}

#[tokio::test(start_paused = true)]
async fn a_client_that_is_refused_falls_to_its_equal_share_and_rises_again() {
    let budget = Budget::new(300.0);
    budget.set_rate_range_per_s(100.0, 300.0);

    for _ in 0..4 {
        budget.slow_down();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let slowed_rate_per_s = budget.rate_per_s();
    tokio::time::sleep(Duration::from_secs(10)).await;
    requests_within(&budget, Duration::from_millis(1)).await;

    assert!(slowed_rate_per_s < 150.0, "{slowed_rate_per_s}");
    assert!(budget.rate_per_s() > 299.0, "{}", budget.rate_per_s());
}

#[tokio::test(start_paused = true)]
async fn refusals_of_requests_that_were_sent_together_slow_a_client_down_once() {
    let budget = Budget::new(300.0);
    budget.set_rate_range_per_s(10.0, 300.0);

    for _ in 0..50 {
        budget.slow_down();
    }

    assert!(budget.rate_per_s() >= 150.0, "{}", budget.rate_per_s());
}

/// A store that refuses all requests of a second beyond its rate.
#[derive(Default)]
struct Store {
    counts: Mutex<BTreeMap<u64, u32>>,
}

impl Store {
    /// Counts a request; returns whether it is within the rate.
    fn admits(&self, began: Instant) -> bool {
        let mut counts = self.counts.lock().expect("the counts");
        let count = counts.entry(began.elapsed().as_secs()).or_default();
        *count += 1;
        *count <= STORE_RATE_PER_S
    }
}

#[tokio::test(start_paused = true)]
async fn most_requests_are_served_although_each_client_may_use_three_shares() {
    let (store, began) = (Arc::new(Store::default()), Instant::now());
    let mut clients = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let (store, budget) = (Arc::clone(&store), Budget::new(1.0));
        budget.set_rate_range_per_s(112.5, 337.5);
        clients.spawn(async move {
            let (mut served, mut refused) = (0, 0);
            while began.elapsed() < Duration::from_secs(20) {
                budget.acquire(Priority::Normal).await;
                if store.admits(began) {
                    served += 1;
                } else {
                    refused += 1;
                    budget.slow_down();
                }
            }
            (served, refused)
        });
    }

    let counts = clients.join_all().await;

    let served: u32 = counts.iter().map(|(served, _)| served).sum();
    let refused: u32 = counts.iter().map(|(_, refused)| refused).sum();
    assert!(served > 20 * STORE_RATE_PER_S * 7 / 10, "{served} served");
    assert!(refused < served / 4, "{refused} refused, {served} served");
}

#[tokio::test(start_paused = true)]
async fn urgent_requests_do_not_wait_behind_others() {
    let budget = Budget::new(50.0);
    let mut others = tokio::task::JoinSet::new();
    for _ in 0..20 {
        let budget = budget.clone();
        others.spawn(async move { requests_within(&budget, Duration::from_mins(1)).await });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;

    let began = Instant::now();
    for _ in 0..30 {
        budget.acquire(Priority::Urgent).await;
    }

    // At 50 requests a second, 30 take 0.6 s if no other gets in between.
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "{:?}",
        began.elapsed()
    );
}
