//! Breadth-first exploration of the lease protocol, over the states of the production code.
//!
//! Visits every execution of three workers and two leaders within a bounded number of faults and
//! time steps; no state is visited twice. CI uses small bounds. A larger manual run:
//! `LEASE_FAULTS=1 LEASE_STEPS=14 cargo test --release -p mangotrestle-core --test
//! lease_exploration -- --nocapture`.

// The test `lease_faults` uses parts of the module that this test does not.
#[allow(dead_code)]
mod lease_world;

use std::collections::HashSet;
use std::hash::{BuildHasher, Hash};
use std::sync::Arc;

use lease_world::{
    Action, FAST_MS_PER_STEP, Link, Mutation, NORMAL_MS_PER_STEP, Shape, Table, World,
};
use rustc_hash::FxBuildHasher;

const SHAPE: Shape = Shape {
    leaders: 2,
    workers: 3,
    tasks: 1,
    leader_rates: [NORMAL_MS_PER_STEP; 3],
    worker_rate: NORMAL_MS_PER_STEP,
    mutation: Mutation::None,
};

/// Last action on the path to a state, linked to the actions before it.
struct Step {
    action: Action,
    before: Option<Arc<Step>>,
}

#[derive(Clone)]
struct Node {
    world: World,
    /// Number of faults on the path to this state.
    faults: u32,
    path: Option<Arc<Step>>,
}

/// Result of an exploration.
#[derive(Debug, Default)]
struct Exploration {
    states: usize,
    transitions: usize,
    violation: Option<String>,
}

#[derive(Clone, Copy)]
struct Bounds {
    faults: u32,
    steps: u64,
}

fn explore(shape: &Shape, bounds: Bounds) -> Exploration {
    let mut exploration = Exploration::default();
    let start = World::established(shape);
    let last_step = start.step + bounds.steps;
    let mut seen = HashSet::new();
    let mut level = vec![Node {
        world: start,
        faults: 0,
        path: None,
    }];
    while !level.is_empty() {
        let mut next = Vec::new();
        for node in &level {
            for (action, fault_count) in actions(&node.world, last_step) {
                if node.faults + fault_count > bounds.faults {
                    continue;
                }
                exploration.transitions += 1;
                let after = successor(shape, node, action, fault_count);
                if let Some(violation) = after.world.violation(shape) {
                    exploration.violation = Some(describe(&after, &violation));
                    return exploration;
                }
                if seen.insert(fingerprint(&after)) {
                    next.push(after);
                }
            }
        }
        exploration.states += next.len();
        level = next;
    }
    exploration
}

fn successor(shape: &Shape, node: &Node, action: Action, fault_count: u32) -> Node {
    let mut world = node.world.clone();
    world.apply(shape, action);
    Node {
        world,
        faults: node.faults + fault_count,
        path: Some(Arc::new(Step {
            action,
            before: node.path.clone(),
        })),
    }
}

fn fingerprint(node: &Node) -> u128 {
    let hash_half = |salt: u64| {
        let value = (salt, node.faults, &node.world);
        FxBuildHasher.hash_one(HashRef(value))
    };
    u128::from(hash_half(1)) << 64 | u128::from(hash_half(2))
}

/// Hashes a state by reference.
struct HashRef<'a>((u64, u32, &'a World));

impl Hash for HashRef<'_> {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

fn describe(node: &Node, violation: &str) -> String {
    let mut actions = Vec::new();
    let mut path = node.path.as_ref();
    while let Some(step) = path {
        actions.push(format!("{:?}", step.action));
        path = step.before.as_ref();
    }
    actions.reverse();
    format!("{violation} after\n  {}", actions.join("\n  "))
}

/// Returns all actions that are possible now, each with the number of faults that it counts as.
fn actions(world: &World, last_step: u64) -> Vec<(Action, u32)> {
    let mut actions = Vec::new();
    if world.step < last_step {
        actions.push((Action::Advance, 0));
    }
    if world.submitted.is_empty() {
        actions.push((Action::Submit { task: 0 }, 0));
    }
    for index in 0..world.in_transit.len() {
        actions.push((
            Action::Deliver {
                index,
                keep_copy: false,
            },
            0,
        ));
        actions.push((
            Action::Deliver {
                index,
                keep_copy: true,
            },
            1,
        ));
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
            push_link_faults(world, leader, worker, &mut actions);
        }
    }
    for leader in 0..world.leaders.len() {
        // Events for a paused leader would only be queued.
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

fn push_link_faults(world: &World, leader: usize, worker: usize, actions: &mut Vec<(Action, u32)>) {
    let faulty_links = [
        Link::RequestsLost,
        Link::AnswersLost,
        Link::RequestDelayed,
        Link::AnswerDelayed,
        Link::Repeated,
    ];
    for link in faulty_links {
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

fn bound_from_env(name: &str, default: u32) -> u32 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn no_task_runs_twice() {
    let bounds = Bounds {
        faults: bound_from_env("LEASE_FAULTS", 1),
        steps: bound_from_env("LEASE_STEPS", 4).into(),
    };
    let rates = [
        [NORMAL_MS_PER_STEP, NORMAL_MS_PER_STEP, NORMAL_MS_PER_STEP],
        [NORMAL_MS_PER_STEP, FAST_MS_PER_STEP, NORMAL_MS_PER_STEP],
        [FAST_MS_PER_STEP, NORMAL_MS_PER_STEP, NORMAL_MS_PER_STEP],
    ];
    for leader_rates in rates {
        let shape = Shape {
            leader_rates,
            ..SHAPE
        };

        let exploration = explore(&shape, bounds);

        println!(
            "rates={leader_rates:?} faults={} steps={} states={} transitions={}",
            bounds.faults, bounds.steps, exploration.states, exploration.transitions
        );
        assert_eq!(exploration.violation, None);
    }
}

/// Guards against a fault that the exploration found: one leader left a worker out of the roster
/// while another leader, which had not received the change, ran a task on it and then completed the
/// change.
#[test]
fn a_worker_left_out_by_another_leader_is_kept() {
    let shape = Shape {
        leader_rates: [NORMAL_MS_PER_STEP, FAST_MS_PER_STEP, NORMAL_MS_PER_STEP],
        ..SHAPE
    };
    let mut world = World::established(&shape);
    let lose_requests = Action::SetLink {
        leader: 0,
        worker: 1,
        link: Link::RequestsLost,
    };
    let prefer_rival = Action::Prefer {
        leader: 1,
        preferred: true,
    };
    let mut actions = vec![Action::Advance; 3];
    actions.push(lose_requests);
    actions.extend([Action::Advance; 5]);
    actions.extend([prefer_rival, Action::Advance, Action::Submit { task: 0 }]);
    actions.extend([Action::Advance; 20]);

    for action in actions {
        world.apply(&shape, action);

        assert_eq!(world.violation(&shape), None);
    }
}
