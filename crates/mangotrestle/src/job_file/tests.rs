//! Tests of job files: every fault has a place, and no text makes the reader panic.

use quickcheck::quickcheck;

use super::*;

const GOOD: &str = r#"id = "furan-fit-0412"
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
fn good_file_is_read_with_defaults() {
    let spec = parse(GOOD).unwrap();

    assert_eq!(spec.need.accelerators, 2);
    assert!(spec.idempotent);
    assert!(!spec.preemptible);
}

#[test]
fn wrong_type_names_line_and_field() {
    let text = GOOD.replace("slots = 1", "slots = \"one\"");

    let fault = first_fault(&text);

    assert_eq!((fault.line, fault.field.as_str()), (13, "need.slots"));
    assert!(fault.problem.contains("expected u32"), "{fault}");
}

#[test]
fn wrong_name_of_a_kind_lists_the_known_ones() {
    let text = GOOD.replace("\"gang\"", "\"band\"");

    let fault = first_fault(&text);

    assert_eq!((fault.line, fault.field.as_str()), (4, "kind"));
    assert!(fault.problem.contains("`service`"), "{fault}");
}

#[test]
fn unknown_field_is_named() {
    let text = GOOD.replace("tasks = 4", "task = 4");

    let fault = first_fault(&text);

    assert_eq!((fault.line, fault.field.as_str()), (6, "task"));
    assert!(fault.problem.contains("unknown field"), "{fault}");
}

#[test]
fn unknown_resource_is_named() {
    let text = GOOD.replace("slots = 1", "slots = 1\ngpus = 2");

    let fault = first_fault(&text);

    assert_eq!((fault.line, fault.field.as_str()), (14, "need.gpus"));
}

#[test]
fn missing_field_is_named() {
    let text = GOOD.replace("team = \"spectral\"\n", "");

    let fault = first_fault(&text);

    assert!(fault.problem.contains("missing field `team`"), "{fault}");
}

#[test]
fn bad_identifier_names_the_character() {
    let text = GOOD.replace("furan-fit-0412", "Furan fit");

    let fault = first_fault(&text);

    assert_eq!((fault.line, fault.field.as_str()), (1, "id"));
    assert!(fault.problem.contains("'F'"), "{fault}");
}

#[test]
fn syntax_fault_has_a_place() {
    let text = GOOD.replace("tasks = 4", "tasks = ");

    let fault = first_fault(&text);

    assert_eq!(fault.line, 6);
}

#[test]
fn faults_of_the_whole_are_all_reported() {
    let text = GOOD
        .replace("tasks = 4", "tasks = 0\npreemptible = true")
        .replace("slots = 1", "slots = 0");

    let faults = parse(&text).unwrap_err().faults;

    let places: Vec<_> = faults
        .iter()
        .map(|fault| (fault.line, fault.field.as_str()))
        .collect();
    assert_eq!(places, [(6, "tasks"), (10, "need"), (7, "preemptible")]);
}

#[test]
fn oversized_file_is_refused_before_it_is_read() {
    let text = "#".repeat(usize::try_from(MAX_FILE_BYTES).unwrap() + 1);

    let fault = first_fault(&text);

    assert!(fault.problem.contains("more than 65536 bytes"), "{fault}");
}

quickcheck! {
    fn any_text_is_read_or_refused_with_bounded_words(text: String) -> bool {
        match parse(&text) {
            Ok(_) => true,
            Err(error) => error.to_string().len() <= 4_096,
        }
    }

    fn any_change_of_a_good_file_is_read_or_refused(at: usize, length: usize, insert: String) -> bool {
        let start = at % GOOD.len();
        let end = (start + length % 16).min(GOOD.len());
        let text = format!("{}{insert}{}", &GOOD[..start], &GOOD[end..]);
        match parse(&text) {
            Ok(spec) => spec.validate().is_ok(),
            Err(error) => !error.faults.is_empty() && error.to_string().len() <= 4_096,
        }
    }
}
