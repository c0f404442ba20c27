//! Explores the lease protocol breadth first over the states of the code that runs.
//!
//! Every execution of three workers and two leaders with up to a number of faults and a number of
//! time steps is visited; states that were seen are not visited again. CI runs a bounded part. By
//! hand: `LEASE_FAULTS=1 LEASE_STEPS=14 cargo test --release -p mangotrestle-core --test
//! lease_exploration -- --nocapture`.

// The random driver uses parts of the world that the exploration does not.
#[allow(dead_code)]
mod lease_world;

use std::collections::HashSet;
use std::hash::{BuildHasher, Hash};
use std::sync::Arc;

use lease_world::{Action, FAST_RATE, Link, Mutation, NORMAL_RATE, Shape, Table, World};
use rustc_hash::FxBuildHasher;

const SHAPE: Shape = Shape {
    leaders: 2,
    workers: 3,
    tasks: 1,
    leader_rates: [NORMAL_RATE; 3],
    worker_rate: NORMAL_RATE,
    mutation: Mutation::None,
};

/// The way to a state.
struct Step {
    action: Action,
    before: Option<Arc<Step>>,
}

#[derive(Clone)]
struct Node {
    world: World,
    faults: u32,
    way: Option<Arc<Step>>,
}

/// What an exploration saw.
#[derive(Debug, Default)]
struct Explored {
    states: usize,
    transitions: usize,
    violation: Option<String>,
}

#[derive(Clone, Copy)]
struct Bounds {
    faults: u32,
    steps: u64,
}

fn explore(shape: &Shape, bounds: Bounds) -> Explored {
    let mut explored = Explored::default();
    let start = World::established(shape);
    let last_step = start.step + bounds.steps;
    let mut seen = HashSet::new();
    let mut level = vec![Node {
        world: start,
        faults: 0,
        way: None,
    }];
    while !level.is_empty() {
        let mut next = Vec::new();
        for node in &level {
            for (action, cost) in actions(&node.world, last_step) {
                if node.faults + cost > bounds.faults {
                    continue;
                }
                explored.transitions += 1;
                let after = follow(shape, node, action, cost);
                if let Some(what) = after.world.violation(shape) {
                    explored.violation = Some(describe(&after, &what));
                    return explored;
                }
                if seen.insert(fingerprint(&after)) {
                    next.push(after);
                }
            }
        }
        explored.states += next.len();
        level = next;
    }
    explored
}

fn follow(shape: &Shape, node: &Node, action: Action, cost: u32) -> Node {
    let mut world = node.world.clone();
    world.apply(shape, action);
    Node {
        world,
        faults: node.faults + cost,
        way: Some(Arc::new(Step {
            action,
            before: node.way.clone(),
        })),
    }
}

fn fingerprint(node: &Node) -> u128 {
    let half = |salt: u64| {
        let value = (salt, node.faults, &node.world);
        FxBuildHasher.hash_one(Shown(value))
    };
    u128::from(half(1)) << 64 | u128::from(half(2))
}

/// Hashes by reference.
struct Shown<'a>((u64, u32, &'a World));

impl Hash for Shown<'_> {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

fn describe(node: &Node, what: &str) -> String {
    let mut actions = Vec::new();
    let mut way = node.way.as_ref();
    while let Some(step) = way {
        actions.push(format!("{:?}", step.action));
        way = step.before.as_ref();
    }
    actions.reverse();
    format!("{what} after\n  {}", actions.join("\n  "))
}

/// Everything that can happen now, each with the number of faults that it counts as.
fn actions(world: &World, last_step: u64) -> Vec<(Action, u32)> {
    let mut actions = Vec::new();
    if world.step < last_step {
        actions.push((Action::Advance, 0));
    }
    if world.submitted.is_empty() {
        actions.push((Action::Submit { task: 0 }, 0));
    }
    for index in 0..world.bag.len() {
        actions.push((Action::Deliver { index, keep: false }, 0));
        actions.push((Action::Deliver { index, keep: true }, 1));
    }
    for leader in 0..world.leaders.len() {
        if world.leaders[leader].paused {
            actions.push((Action::Resume { leader }, 0));
        } else {
            actions.push((Action::Pause { leader }, 1));
        }
        if world.links[leader].iter().all(|&link| link == Link::Up) {
            actions.push((Action::Isolate { leader }, 1));
        } else {
            actions.push((Action::Reconnect { leader }, 0));
        }
        for worker in 0..world.workers.len() {
            links(world, leader, worker, &mut actions);
        }
    }
    for leader in 0..world.leaders.len() {
        // Events for a leader that stands still would only pile up.
        if world.leaders[leader].paused {
            continue;
        }
        for preferred in [true, false] {
            actions.push((Action::Prefer { leader, preferred }, u32::from(!preferred)));
        }
    }
    for worker in 0..world.workers.len() {
        actions.push((Action::RestartWorker { worker }, 1));
    }
    for table in [Table::Down, Table::AnswersLost, Table::Delayed] {
        if world.table != table {
            actions.push((Action::SetTable { table }, 1));
        }
    }
    actions
}

fn links(world: &World, leader: usize, worker: usize, actions: &mut Vec<(Action, u32)>) {
    let faulty = [
        Link::RequestsLost,
        Link::AnswersLost,
        Link::RequestDelayed,
        Link::AnswerDelayed,
        Link::Repeated,
    ];
    for link in faulty {
        if world.links[leader][worker] == Link::Up {
            let action = Action::SetLink {
                leader,
                worker,
                link,
            };
            actions.push((action, 1));
        }
    }
}

fn bound(name: &str, default: u32) -> u32 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn no_task_runs_twice() {
    let bounds = Bounds {
        faults: bound("LEASE_FAULTS", 1),
        steps: bound("LEASE_STEPS", 4).into(),
    };
    let rates = [
        [NORMAL_RATE, NORMAL_RATE, NORMAL_RATE],
        [NORMAL_RATE, FAST_RATE, NORMAL_RATE],
        [FAST_RATE, NORMAL_RATE, NORMAL_RATE],
    ];
    for leader_rates in rates {
        let shape = Shape {
            leader_rates,
            ..SHAPE
        };

        let explored = explore(&shape, bounds);

        println!(
            "rates={leader_rates:?} faults={} steps={} states={} transitions={}",
            bounds.faults, bounds.steps, explored.states, explored.transitions
        );
        assert_eq!(explored.violation, None);
    }
}

/// Found by the exploration: a leader left a worker out of the roster while another leader, which
/// had not heard of it, ran a task there; that leader then finished the change.
#[test]
fn a_worker_left_out_by_another_leader_is_kept() {
    let shape = Shape {
        leader_rates: [NORMAL_RATE, FAST_RATE, NORMAL_RATE],
        ..SHAPE
    };
    let mut world = World::established(&shape);
    let cut_off = Action::SetLink {
        leader: 0,
        worker: 1,
        link: Link::RequestsLost,
    };
    let rival = Action::Prefer {
        leader: 1,
        preferred: true,
    };
    let mut actions = vec![Action::Advance; 3];
    actions.push(cut_off);
    actions.extend([Action::Advance; 5]);
    actions.extend([rival, Action::Advance, Action::Submit { task: 0 }]);
    actions.extend([Action::Advance; 20]);

    for action in actions {
        world.apply(&shape, action);

        assert_eq!(world.violation(&shape), None);
    }
}
