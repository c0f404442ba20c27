//! Any received message is converted or refused with an error message; nothing panics.

use mangotrestle_core::id;
use mangotrestle_core::lease::message;
use mangotrestle_core::task;
use mangotrestle_core::time;
use mangotrestle_worker::convert::{InvalidMessage, MAX_LIST_ENTRIES};
use mangotrestle_worker::generated;
use prost::Message;
use quickcheck::quickcheck;

/// Decodes bytes as a message and converts it. Returns true on success and on an error with
/// a non-empty message.
fn converts_or_explains<G, C>(bytes: &[u8]) -> bool
where
    G: Message + Default,
    C: TryFrom<G, Error = InvalidMessage>,
{
    match G::decode(bytes).map(C::try_from) {
        Ok(Ok(_)) => true,
        Ok(Err(fault)) => !fault.to_string().is_empty(),
        Err(fault) => !fault.to_string().is_empty(),
    }
}

fn converts_or_explains_as_any_message(bytes: &[u8]) -> bool {
    converts_or_explains::<generated::ClaimRequest, message::ClaimRequest>(bytes)
        && converts_or_explains::<generated::RenewRequest, message::RenewRequest>(bytes)
        && converts_or_explains::<generated::StartRequest, message::StartRequest>(bytes)
        && converts_or_explains::<generated::StopRequest, message::StopRequest>(bytes)
        && converts_or_explains::<generated::ClaimGranted, message::ClaimGranted>(bytes)
        && converts_or_explains::<generated::RenewGranted, message::RenewGranted>(bytes)
        && converts_or_explains::<generated::StartResults, message::StartAnswer>(bytes)
        && converts_or_explains::<generated::StopAccepted, message::StopAccepted>(bytes)
        && converts_or_explains::<generated::WatchEvent, message::WatchEvent>(bytes)
        && converts_or_explains::<generated::Refusal, message::Refusal>(bytes)
}

fn generated_run(job: String, index: u32, attempt: u32) -> generated::RunId {
    generated::RunId {
        job,
        index,
        attempt,
    }
}

quickcheck! {
    fn arbitrary_bytes_do_not_panic(bytes: Vec<u8>) -> bool {
        converts_or_explains_as_any_message(&bytes)
    }

    fn corrupted_messages_do_not_panic(job: String, outcome: i32, offset: usize, value: u8) -> bool {
        let granted = generated::RenewGranted {
            worker_time_ms: 7,
            ended: vec![generated::EndedRun {
                run: Some(generated_run(job, 1, 2)),
                outcome,
            }],
            usage: vec![generated::TaskUsage { run: None, used: None }],
            leaving: true,
        };
        let mut bytes = granted.encode_to_vec();
        let length = bytes.len();
        bytes[offset % length] = value;
        converts_or_explains_as_any_message(&bytes)
    }

    fn run_ids_round_trip(index: u32, attempt: u32) -> bool {
        let job = id::JobId::new("plates").unwrap();
        let run = task::RunId { task: task::TaskId { job, index }, attempt };
        let generated = generated::RunId::from(&run);
        task::RunId::try_from(generated) == Ok(run)
    }

    fn job_names_are_validated(job: String) -> bool {
        let valid = id::JobId::new(&job).is_ok();
        task::RunId::try_from(generated_run(job, 0, 1)).is_ok() == valid
    }

    fn unknown_result_codes_are_refused(code: u32) -> bool {
        let refusal = generated::Refusal { code, worker_time_ms: 0 };
        let known = u16::try_from(code)
            .ok()
            .and_then(mangotrestle_core::result_code::ResultCode::from_number);
        message::Refusal::try_from(refusal).is_ok() == known.is_some()
    }
}

#[test]
fn a_missing_field_is_named() {
    let granted = generated::ClaimGranted {
        rack: "rack".to_owned(),
        ..generated::ClaimGranted::default()
    };

    let fault = message::ClaimGranted::try_from(granted).unwrap_err();

    assert_eq!(fault.to_string(), "capacity: missing");
}

#[test]
fn long_lists_are_refused_before_they_are_converted() {
    let run = generated_run("not a name".to_owned(), 0, 0);
    let request = generated::RenewRequest {
        acknowledged: vec![run; MAX_LIST_ENTRIES + 1],
        ..generated::RenewRequest::default()
    };

    let fault = message::RenewRequest::try_from(request).unwrap_err();

    let expected = InvalidMessage::TooMany {
        field: "acknowledged",
        count: MAX_LIST_ENTRIES + 1,
    };
    assert_eq!(fault, expected);
}

#[test]
fn renewals_round_trip() {
    let request = message::RenewRequest {
        worker_incarnation: id::Incarnation(1),
        epoch: message::Epoch(2),
        roster_version: message::RosterVersion(3),
        lease_expires_ms: time::WorkerTimeMs(4),
        acknowledged: Vec::new(),
    };

    let generated = generated::RenewRequest::from(&request);

    assert_eq!(message::RenewRequest::try_from(generated), Ok(request));
}
