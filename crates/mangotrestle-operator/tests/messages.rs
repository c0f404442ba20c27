//! Any received message is converted or refused with an error of bounded length.

use mangotrestle_core::job;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::time;
use mangotrestle_operator::auth;
use mangotrestle_operator::convert;
use mangotrestle_operator::generated as wire;
use mangotrestle_operator::message;
use mangotrestle_operator::server;
use prost::Message;
use quickcheck::{TestResult, quickcheck};

/// Maximum length of an error text, whatever the length of the message.
const MAX_ERROR_BYTES: usize = 512;

fn wire_spec() -> wire::JobSpec {
    wire::JobSpec {
        id: "furan-7".to_owned(),
        team: "spectral".to_owned(),
        pool: "gikondo".to_owned(),
        kind: wire::JobKind::Batch.into(),
        urgency: wire::Urgency::Normal.into(),
        tasks: 3,
        need: Some(wire::Resources {
            cpu_millicores: 500,
            memory_mib: 64,
            accelerators: 0,
            slots: 1,
        }),
        run_time_ms: Some(9_000),
        idempotent: false,
        preemptible: false,
        lost_worker: wire::LostWorkerPolicy::WaitForWorker.into(),
    }
}

fn conversion_error(spec: wire::JobSpec) -> convert::InvalidField {
    job::JobSpec::try_from(spec).unwrap_err()
}

fn is_ok_or_bounded_error<T>(converted: Result<T, convert::InvalidField>) -> bool {
    let error = converted.err();
    error.is_none_or(|error| !error.field.is_empty() && error.to_string().len() <= MAX_ERROR_BYTES)
}

#[test]
fn job_specifications_round_trip() {
    let spec = job::JobSpec::try_from(wire_spec()).unwrap();

    let back = wire::JobSpec::from(spec);

    assert_eq!(back, wire_spec());
}

#[test]
fn invalid_fields_are_named() {
    let no_kind = wire::JobSpec {
        kind: 0,
        ..wire_spec()
    };
    let unknown_urgency = wire::JobSpec {
        urgency: 77,
        ..wire_spec()
    };
    let no_need = wire::JobSpec {
        need: None,
        ..wire_spec()
    };
    let bad_team = wire::JobSpec {
        team: "Spectral".to_owned(),
        ..wire_spec()
    };

    let fields =
        [no_kind, unknown_urgency, no_need, bad_team].map(|spec| conversion_error(spec).field);

    assert_eq!(
        fields,
        ["spec.kind", "spec.urgency", "spec.need", "spec.team"]
    );
}

#[test]
fn errors_truncate_long_invalid_names() {
    let task = wire::TaskDetail {
        index: 0,
        attempt: 0,
        state: "x".repeat(100_000),
        worker: String::new(),
    };

    assert!(is_ok_or_bounded_error(message::TaskDetail::try_from(task)));
}

#[test]
fn refusals_round_trip_as_a_status() {
    for &code in ResultCode::ALL {
        let refusal = message::Refusal::new(code, "why").retry_after_ms(time::SpanMs(250));

        let back = server::refusal_of(&server::refusal_status(&refusal));

        assert_eq!(back, Some(refusal));
    }
}

#[test]
fn a_status_without_a_result_code_is_not_a_refusal() {
    assert_eq!(
        server::refusal_of(&tonic::Status::unavailable("gone")),
        None
    );
}

quickcheck! {
    fn arbitrary_bytes_convert_or_give_a_bounded_error(bytes: Vec<u8>) -> bool {
        let submitted = wire::SubmitJobRequest::decode(bytes.as_slice()).ok();
        let status = wire::StatusResponse::decode(bytes.as_slice()).ok();
        let spec = submitted.and_then(|request| request.spec);
        spec.is_none_or(|spec| is_ok_or_bounded_error(job::JobSpec::try_from(spec)))
            && status.is_none_or(|status| is_ok_or_bounded_error(message::Status::try_from(status)))
    }

    fn arbitrary_fields_convert_or_are_named_in_the_error(
        id: String,
        team: String,
        kind: i32,
        urgency: i32,
        tasks: u32
    ) -> bool {
        let spec = wire::JobSpec { id, team, kind, urgency, tasks, ..wire_spec() };
        is_ok_or_bounded_error(job::JobSpec::try_from(spec))
    }

    fn only_the_whole_token_is_accepted(header: Vec<u8>) -> TestResult {
        let token = "d41a7f0c63e94b1f";
        let credential = auth::Credential {
            token: auth::Token::new(token).unwrap(),
            principal: auth::Principal::cell_operator("eleni"),
        };
        let tokens = auth::Authentication::tokens(vec![credential]).unwrap();
        let valid_header = format!("Bearer {token}");
        if header == valid_header.as_bytes() {
            return TestResult::discard();
        }
        let prefix = &valid_header.as_bytes()[..header.len() % valid_header.len()];
        let longer = [valid_header.as_bytes(), header.as_slice(), b"x"].concat();
        TestResult::from_bool(
            tokens.authenticate(Some(&header)).is_none()
                && tokens.authenticate(Some(prefix)).is_none()
                && tokens.authenticate(Some(&longer)).is_none()
                && tokens.authenticate(Some(valid_header.as_bytes())).is_some(),
        )
    }
}
