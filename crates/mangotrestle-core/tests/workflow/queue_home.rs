//! Tests of the home services of queues, and an exhaustive search of the ways in which two hosts with
//! different configurations may accept one job.

use std::collections::{BTreeSet, HashSet, VecDeque};

use mangotrestle_core::workflow::catalog::Queue;
use mangotrestle_core::workflow::queue_home::HomeRow;
use mangotrestle_core::workflow::spec::QueuePolicy;

/// Host name in the callers' requests.
const HOST: &str = "jobs.example";
/// Maximum number of steps of an explored course.
const MAX_STEPS: u32 = 14;
/// Maximum number of writes that are on their way.
const MAX_WRITES: usize = 2;

fn queue(name: &str, host: &str, service: &str) -> Queue {
    Queue {
        host: host.to_owned(),
        path_prefix: "/q/".to_owned(),
        pool: service.to_owned(),
        policy: QueuePolicy {
            queue: name.to_owned(),
            ..QueuePolicy::default()
        },
        timeout_ms: 0,
        public: false,
    }
}

#[test]
fn a_queue_that_is_sent_to_another_service_keeps_its_home() {
    let first = HomeRow::default().with(&queue("a", HOST, "alpha"));

    let moved = first.with(&queue("a", HOST, "beta"));
    let renamed = first.with(&queue("b", HOST, "beta"));

    assert_eq!(moved, first);
    assert_eq!(renamed.service_of(HOST), Some("alpha"));
    assert_eq!(renamed.queue_names().collect::<Vec<_>>(), ["a", "b"]);
    assert!(renamed.covers(&queue("b", HOST, "beta")) && !first.covers(&queue("b", HOST, "beta")));
}

#[test]
fn a_queue_for_one_host_keeps_the_home_that_its_jobs_had_in_a_queue_for_all() {
    let all = HomeRow::default().with(&queue("all", "", "alpha"));

    let with_one = all.with(&queue("one", HOST, "beta"));

    assert_eq!(with_one.service_of("Jobs.Example:8080"), Some("alpha"));
    assert_eq!(with_one.service_of("other.example"), Some("alpha"));
}

#[test]
fn queues_of_different_hosts_with_one_path_have_homes_of_their_own() {
    let one = HomeRow::default().with(&queue("one", HOST, "alpha"));

    let both = one.with(&queue("all", "", "beta"));

    assert_eq!(one.service_of("other.example"), None);
    assert_eq!(both.service_of(HOST), Some("alpha"));
    assert_eq!(both.service_of("other.example"), Some("beta"));
}

/// Guards against jobs that are looked for elsewhere once another queue with their path is added.
#[test]
fn a_home_that_is_known_stays_whichever_queues_are_added() {
    let hosts = ["", HOST, "other.example"];
    let services = ["alpha", "beta"];
    let queues: Vec<Queue> = hosts
        .iter()
        .flat_map(|host| services.map(|service| queue(service, host, service)))
        .collect();
    let mut rows = vec![HomeRow::default()];

    for _ in 0..3 {
        let added = rows.iter().flat_map(|row| {
            let pairs = queues.iter().map(|queue| (row.clone(), row.with(queue)));
            pairs.collect::<Vec<_>>()
        });
        let added: Vec<(HomeRow, HomeRow)> = added.collect();
        for (before, after) in &added {
            for host in [HOST, "other.example", "third.example"] {
                let known = before.service_of(host);
                assert!(known.is_none() || known == after.service_of(host), "{host}");
            }
        }
        rows = added.into_iter().map(|(_, after)| after).collect();
    }
}

#[test]
fn a_row_is_read_again_as_it_was_written() {
    let row = HomeRow::default().with(&queue("a", HOST, "alpha"));

    let text = serde_json::to_string(&row).expect("text");
    let read: HomeRow = serde_json::from_str(&text).expect("a row");

    let expected = r#"{"path":"/q/","services":{"jobs.example":"alpha"},"queues":["a"]}"#;
    assert_eq!((text.as_str(), &read), (expected, &row));
}

/// A write on its way to the store, with the version that it expects.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Write {
    Home {
        row: HomeRow,
        expected: u64,
    },
    /// An acceptance in the part of a service, if the part does not have the job.
    Accept {
        service: String,
    },
}

/// The store, and two hosts that know different configurations and get requests with one identifier.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct State {
    row: HomeRow,
    version: u64,
    /// What each host has read, with its version.
    known: [(HomeRow, u64); 2],
    writes: Vec<Write>,
    /// Services whose part of the store has the job.
    accepted_in: BTreeSet<String>,
}

impl State {
    fn successors(&self, queues: &[Queue; 2]) -> Vec<Self> {
        let mut next = Vec::new();
        for (host, queue) in queues.iter().enumerate() {
            let mut read = self.clone();
            read.known[host] = (self.row.clone(), self.version);
            next.push(read);
            if self.writes.len() < MAX_WRITES {
                next.push(self.with_request(host, queue));
            }
        }
        for index in 0..self.writes.len() {
            self.push_write_steps(index, &mut next);
        }
        next
    }

    /// Returns the state after a host has got a request and sent what it writes first.
    fn with_request(&self, host: usize, queue: &Queue) -> Self {
        let mut state = self.clone();
        let (row, expected) = &self.known[host];
        let service = row.service_of(HOST).filter(|_| row.covers(queue));
        state.writes.push(match service {
            Some(service) => Write::Accept {
                service: service.to_owned(),
            },
            None => Write::Home {
                row: row.with(queue),
                expected: *expected,
            },
        });
        state
    }

    /// Carries a write out, now or after any others, or loses it. Its host learns the outcome when it reads.
    fn push_write_steps(&self, index: usize, next: &mut Vec<Self>) {
        let mut lost = self.clone();
        let write = lost.writes.remove(index);
        let mut done = lost.clone();
        match write {
            Write::Home { row, expected } if expected == self.version => {
                done.row = row;
                done.version = self.version + 1;
            }
            Write::Home { .. } => {}
            Write::Accept { service } => {
                done.accepted_in.insert(service);
            }
        }
        next.extend([lost, done]);
    }
}

/// Explores all courses of two hosts with these queues. Returns the number of states, and of those in
/// which the job is accepted.
fn explore(queues: &[Queue; 2]) -> (usize, usize) {
    let mut seen = HashSet::from([State::default()]);
    let mut open = VecDeque::from([(State::default(), 0)]);
    while let Some((state, steps)) = open.pop_front() {
        let services = state.accepted_in.len();
        assert!(services <= 1, "after {steps} steps: {state:?}");
        if steps == MAX_STEPS {
            continue;
        }
        for next in state.successors(queues) {
            if seen.insert(next.clone()) {
                open.push_back((next, steps + 1));
            }
        }
    }
    let accepted = seen.iter().filter(|state| !state.accepted_in.is_empty());
    (seen.len(), accepted.count())
}

/// Guards against a job that is accepted in two services while hosts have different configurations.
#[test]
fn no_course_of_two_hosts_with_different_configurations_accepts_a_job_in_two_services() {
    let moves = [
        [queue("a", HOST, "alpha"), queue("a", HOST, "beta")],
        [queue("a", HOST, "alpha"), queue("b", HOST, "beta")],
        [queue("a", "", "alpha"), queue("a", HOST, "beta")],
        [queue("a", HOST, "alpha"), queue("b", "", "beta")],
    ];

    let explored = moves.map(|queues| explore(&queues));

    assert!(
        explored
            .iter()
            .all(|(states, accepted)| *states > 100 && *accepted > 10),
        "{explored:?} states, accepted"
    );
}
