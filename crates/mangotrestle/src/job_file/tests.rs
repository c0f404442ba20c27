//! Tests of job files: faults have a position, and no text makes the parser panic.

use quickcheck::quickcheck;

use super::*;

const VALID_JOB_FILE: &str = r#"id = "furan-fit-0412"
team = "spectral"
pool = "gikondo"
kind = "gang"
urgency = "normal"
tasks = 4
run_time_ms = 90_000

[need]
cpu_millicores = 8_000
memory_mib = 16_384
accelerators = 2
slots = 1
"#;

fn first_fault(text: &str) -> Fault {
    parse(text).unwrap_err().faults.remove(0)
}

#[test]
fn valid_file_is_parsed_with_defaults() {
    let spec = parse(VALID_JOB_FILE).unwrap();

    assert_eq!(spec.need.accelerators, 2);
    assert!(spec.idempotent);
    assert!(!spec.preemptible);
}

#[test]
fn wrong_type_is_reported_with_line_and_field() {
    let text = VALID_JOB_FILE.replace("slots = 1", "slots = \"one\"");

    let fault = first_fault(&text);

    assert_eq!((fault.line, fault.field.as_str()), (13, "need.slots"));
    assert!(fault.problem.contains("expected u32"), "{fault}");
}

#[test]
fn unknown_kind_is_reported_with_the_known_ones() {
    let text = VALID_JOB_FILE.replace("\"gang\"", "\"band\"");

    let fault = first_fault(&text);

    assert_eq!((fault.line, fault.field.as_str()), (4, "kind"));
    assert!(fault.problem.contains("`service`"), "{fault}");
}

#[test]
fn unknown_field_is_reported() {
    let text = VALID_JOB_FILE.replace("tasks = 4", "task = 4");

    let fault = first_fault(&text);

    assert_eq!((fault.line, fault.field.as_str()), (6, "task"));
    assert!(fault.problem.contains("unknown field"), "{fault}");
}

#[test]
fn unknown_resource_is_reported() {
    let text = VALID_JOB_FILE.replace("slots = 1", "slots = 1\ngpus = 2");

    let fault = first_fault(&text);

    assert_eq!((fault.line, fault.field.as_str()), (14, "need.gpus"));
}

#[test]
fn missing_field_is_reported() {
    let text = VALID_JOB_FILE.replace("team = \"spectral\"\n", "");

    let fault = first_fault(&text);

    assert!(fault.problem.contains("missing field `team`"), "{fault}");
}

#[test]
fn invalid_identifier_is_reported_with_the_character() {
    let text = VALID_JOB_FILE.replace("furan-fit-0412", "Furan fit");

    let fault = first_fault(&text);

    assert_eq!((fault.line, fault.field.as_str()), (1, "id"));
    assert!(fault.problem.contains("'F'"), "{fault}");
}

#[test]
fn syntax_error_has_a_position() {
    let text = VALID_JOB_FILE.replace("tasks = 4", "tasks = ");

    let fault = first_fault(&text);

    assert_eq!(fault.line, 6);
}

#[test]
fn all_validation_faults_are_reported() {
    let text = VALID_JOB_FILE
        .replace("tasks = 4", "tasks = 0\npreemptible = true")
        .replace("slots = 1", "slots = 0");

    let faults = parse(&text).unwrap_err().faults;

    let positions: Vec<_> = faults
        .iter()
        .map(|fault| (fault.line, fault.field.as_str()))
        .collect();
    assert_eq!(positions, [(6, "tasks"), (10, "need"), (7, "preemptible")]);
}

#[test]
fn oversized_file_is_refused_before_it_is_parsed() {
    let text = "#".repeat(usize::try_from(MAX_FILE_BYTES).unwrap() + 1);

    let fault = first_fault(&text);

    assert!(fault.problem.contains("more than 65536 bytes"), "{fault}");
}

quickcheck! {
    fn any_text_is_parsed_or_refused_with_a_bounded_error(text: String) -> bool {
        match parse(&text) {
            Ok(_) => true,
            Err(error) => error.to_string().len() <= 4_096,
        }
    }

    fn any_change_of_a_valid_file_is_parsed_or_refused(
        offset: usize,
        length: usize,
        insert: String
    ) -> bool {
        let start = offset % VALID_JOB_FILE.len();
        let end = (start + length % 16).min(VALID_JOB_FILE.len());
        let text = format!("{}{insert}{}", &VALID_JOB_FILE[..start], &VALID_JOB_FILE[end..]);
        match parse(&text) {
            Ok(spec) => spec.validate().is_ok(),
            Err(error) => !error.faults.is_empty() && error.to_string().len() <= 4_096,
        }
    }
}
