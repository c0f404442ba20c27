//! Tests of the limits on what clients make a server hold.

use mangotrestle_core::intake::{ConnectionId, Intake, Limits, Room, Wait};
use mangotrestle_core::time::TimeMs;
use quickcheck::quickcheck;

fn intake(max_connections: usize, max_body_bytes: u64) -> Intake {
    Intake::new(Limits {
        max_connections,
        max_body_bytes,
    })
}

fn open(intake: &mut Intake, now_ms: u64) -> ConnectionId {
    let opened = intake.open(TimeMs(now_ms)).expect("a connection");
    assert_eq!(opened.evicted, None);
    opened.id
}

/// Opens a connection with an incomplete body.
fn open_body(intake: &mut Intake, now_ms: u64, bytes: u64) -> ConnectionId {
    let id = open(intake, now_ms);
    intake.set_wait(id, Wait::Head, TimeMs(now_ms));
    intake.set_wait(id, Wait::Body, TimeMs(now_ms));
    let room = intake.grow(id, bytes);
    assert_eq!(room, granted(&[]));
    id
}

fn granted(evicted: &[ConnectionId]) -> Room {
    Room::Granted {
        evicted: evicted.to_vec(),
    }
}

#[test]
fn a_new_connection_replaces_the_one_that_has_waited_longest() {
    let mut intake = intake(3, 0);
    let (first, second, third) = (
        open(&mut intake, 1),
        open(&mut intake, 2),
        open(&mut intake, 3),
    );
    intake.set_wait(first, Wait::Head, TimeMs(4));
    intake.set_wait(third, Wait::Body, TimeMs(5));

    let opened = intake.open(TimeMs(6)).expect("a connection");

    assert_eq!(opened.evicted, Some(second));
}

#[test]
fn a_connection_that_is_being_closed_goes_first() {
    let mut intake = intake(2, 0);
    let _waiting = open(&mut intake, 1);
    let closing = open(&mut intake, 2);
    intake.set_wait(closing, Wait::Close, TimeMs(9));

    let opened = intake.open(TimeMs(10)).expect("a connection");

    assert_eq!(opened.evicted, Some(closing));
}

#[test]
fn complete_requests_do_not_give_way() {
    let mut intake = intake(2, 100);
    let requests = [open_body(&mut intake, 1, 50), open_body(&mut intake, 2, 50)];
    for request in requests {
        intake.set_wait(request, Wait::Nothing, TimeMs(3));
    }

    assert_eq!(intake.open(TimeMs(4)), None);
    assert_eq!(intake.grow(requests[1], 1), Room::Refused);
}

#[test]
fn a_body_gets_the_room_of_those_that_have_waited_longer() {
    let mut intake = intake(9, 100);
    let first = open_body(&mut intake, 1, 40);
    let second = open_body(&mut intake, 2, 40);
    let third = open_body(&mut intake, 3, 20);

    let room = intake.grow(third, 50);

    assert_eq!(room, granted(&[first, second]));
    assert_eq!(intake.body_bytes(), 70);
}

#[test]
fn a_body_does_not_get_the_room_of_those_that_came_later() {
    let mut intake = intake(9, 100);
    let first = open_body(&mut intake, 1, 40);
    let second = open_body(&mut intake, 2, 60);

    assert_eq!(intake.grow(first, 1), Room::Refused);
    assert_eq!(intake.grow(second, 1), granted(&[first]));
}

#[test]
fn no_connection_is_evicted_for_a_body_that_does_not_fit() {
    let mut intake = intake(9, 100);
    open_body(&mut intake, 1, 40);
    let second = open_body(&mut intake, 2, 10);

    assert_eq!(intake.grow(second, 91), Room::Refused);
    assert_eq!(intake.body_bytes(), 50);
}

#[test]
fn an_evicted_connection_gets_no_room() {
    let mut intake = intake(9, 100);
    let first = open_body(&mut intake, 1, 100);
    let second = open_body(&mut intake, 2, 0);

    let room = intake.grow(second, 50);

    assert_eq!(room, granted(&[first]));
    assert_eq!(intake.grow(first, 1), Room::Refused);
}

#[test]
fn a_request_that_is_sent_slowly_counts_from_its_first_byte() {
    let mut intake = intake(9, 100);
    let slow = open(&mut intake, 1);
    intake.set_wait(slow, Wait::Head, TimeMs(2));
    let quick = open_body(&mut intake, 3, 60);
    intake.set_wait(slow, Wait::Body, TimeMs(4));
    assert_eq!(intake.grow(slow, 40), granted(&[]));

    let room = intake.grow(quick, 1);

    assert_eq!(room, granted(&[slow]));
}

/// What happens to a connection, by a number.
fn step(intake: &mut Intake, open: &mut Vec<ConnectionId>, now: TimeMs, action: u8, bytes: u8) {
    let chosen = open.get(usize::from(bytes) % open.len().max(1)).copied();
    let evicted = match (action % 6, chosen) {
        (0, _) => {
            let opened = intake.open(now);
            open.extend(opened.map(|opened| opened.id));
            opened
                .and_then(|opened| opened.evicted)
                .into_iter()
                .collect()
        }
        (1, Some(id)) => {
            intake.close(id);
            vec![id]
        }
        (2, Some(id)) => {
            intake.set_wait(id, Wait::Nothing, now);
            Vec::new()
        }
        (3, Some(id)) => {
            intake.release_body(id);
            intake.set_wait(id, Wait::Request, now);
            Vec::new()
        }
        (_, Some(id)) => match intake.grow(id, u64::from(bytes)) {
            Room::Granted { evicted } => evicted,
            Room::Refused => Vec::new(),
        },
        (_, None) => Vec::new(),
    };
    for id in evicted {
        intake.close(id);
        open.retain(|&other| other != id);
    }
}

quickcheck! {
    fn limits_hold_whatever_clients_do(actions: Vec<(u8, u8)>) -> bool {
        let mut intake = intake(4, 300);
        let mut open = Vec::new();
        (0..).zip(actions).all(|(now_ms, (action, bytes))| {
            step(&mut intake, &mut open, TimeMs(now_ms), action, bytes);
            intake.connections() == open.len()
                && intake.connections() <= 4
                && intake.body_bytes() <= 300
        })
    }

    fn nothing_is_held_once_all_connections_are_closed(actions: Vec<(u8, u8)>) -> bool {
        let mut intake = intake(4, 300);
        let mut open = Vec::new();
        for (now_ms, (action, bytes)) in (0..).zip(actions) {
            step(&mut intake, &mut open, TimeMs(now_ms), action, bytes);
        }
        for id in open {
            intake.close(id);
        }
        intake.connections() == 0 && intake.body_bytes() == 0
    }
}
