//! Tests of settings: precedence of sources, complete lists of faults, and no panic on any text.

use quickcheck::quickcheck;

use super::*;

fn complete_environment() -> Vec<(String, String)> {
    [
        ("MANGOTRESTLE_ENTRY_HOST", "marousi-1"),
        ("MANGOTRESTLE_AVAILABILITY_ZONE", "marousi"),
        ("MANGOTRESTLE_TABLE_ADDRESS", "127.0.0.1:7500"),
        ("MANGOTRESTLE_OBJECT_STORE_ADDRESS", "127.0.0.1:7501"),
        ("MANGOTRESTLE_HOST_LIST_ADDRESS", "127.0.0.1:7502"),
    ]
    .map(|(name, value)| (name.to_owned(), value.to_owned()))
    .to_vec()
}

fn with_variable(name: &str, value: &str) -> Vec<(String, String)> {
    let mut environment = complete_environment();
    environment.retain(|(other, _)| other != name);
    environment.push((name.to_owned(), value.to_owned()));
    environment
}

fn names_of_faulty_settings(
    arguments: &ServeArguments,
    environment: &[(String, String)],
) -> Vec<String> {
    let error = Settings::resolve(arguments, environment).unwrap_err();
    error
        .faults
        .into_iter()
        .map(|fault| fault.setting)
        .collect()
}

#[test]
fn flag_takes_precedence_over_environment_and_environment_over_default() {
    let arguments = ServeArguments {
        lease_term_ms: Some("20000".to_owned()),
        ..ServeArguments::default()
    };
    let mut environment = with_variable("MANGOTRESTLE_LEASE_TERM_MS", "15000");
    environment.push(("MANGOTRESTLE_SEED".to_owned(), "7".to_owned()));

    let settings = Settings::resolve(&arguments, &environment).unwrap();

    assert_eq!(settings.lease_term_ms, time::SpanMs(20_000));
    assert_eq!(settings.seed, 7);
    assert_eq!(settings.heartbeat_interval_ms, time::SpanMs(1_000));
}

#[test]
fn all_faults_are_reported_together_in_the_order_of_the_table() {
    let arguments = ServeArguments {
        entry_host: Some("Marousi 1".to_owned()),
        caller_listen: Some("localhost:80".to_owned()),
        lease_term_ms: Some("soon".to_owned()),
        traffic_threads: Some("0".to_owned()),
        log_level: Some("loud".to_owned()),
        ..ServeArguments::default()
    };
    let environment = vec![("MANGOTRESTLE_ENTRY_HOTS".to_owned(), "x".to_owned())];

    let faulty_names = names_of_faulty_settings(&arguments, &environment);

    let expected = [
        "entry_host",
        "availability_zone",
        "caller_listen",
        "table_address",
        "object_store_address",
        "host_list_address",
        "lease_term_ms",
        "log_level",
        "MANGOTRESTLE_ENTRY_HOTS",
    ];
    assert_eq!(faulty_names, expected);
}

#[test]
fn value_out_of_range_is_reported_with_the_value_and_the_range() {
    let environment = with_variable("MANGOTRESTLE_TRAFFIC_THREADS", "0");

    let error = Settings::resolve(&ServeArguments::default(), &environment).unwrap_err();

    let text = error.to_string();
    assert!(text.contains("traffic_threads"), "{text}");
    assert!(text.contains("\"0\" given (environment)"), "{text}");
    assert!(text.contains("expected 1 to 1024 threads"), "{text}");
}

#[test]
fn contradicting_settings_are_faults() {
    let arguments = ServeArguments {
        lease_renew_interval_ms: Some("5000".to_owned()),
        caller_tls_certificate: Some("caller.pem".to_owned()),
        operator_tls_key: Some("key.pem".to_owned()),
        operator_listen: Some("10.1.2.3:7400".to_owned()),
        peer_listen: Some("127.0.0.1:7401".to_owned()),
        ..ServeArguments::default()
    };

    let faulty_names = names_of_faulty_settings(&arguments, &complete_environment());

    let expected = [
        "operator_listen",
        "peer_listen",
        "lease_renew_interval_ms",
        "caller_tls_key",
        "operator_tls_certificate",
    ];
    assert_eq!(faulty_names, expected);
}

#[test]
fn declared_defaults_are_unchanged_after_parsing_and_formatting() {
    let settings = Settings::resolve(&ServeArguments::default(), &complete_environment()).unwrap();

    let texts = settings.texts();

    for (declaration, text) in TABLE.iter().zip(texts) {
        if let Some(default) = declaration.default {
            assert_eq!(text, default, "{}", declaration.name);
        }
    }
}

#[test]
fn builder_and_environment_give_the_same_settings() {
    let from_environment =
        Settings::resolve(&ServeArguments::default(), &complete_environment()).unwrap();

    let built = Settings::builder()
        .entry_host(id::EntryHostId::new("marousi-1").unwrap())
        .availability_zone(id::AvailabilityZoneId::new("marousi").unwrap())
        .table_address("127.0.0.1:7500".parse().unwrap())
        .object_store_address("127.0.0.1:7501".parse().unwrap())
        .host_list_address("127.0.0.1:7502".parse().unwrap())
        .build()
        .unwrap();

    assert_eq!(built, from_environment);
}

#[test]
fn printed_settings_show_the_source_of_each_value() {
    let arguments = ServeArguments {
        seed: Some("11".to_owned()),
        ..ServeArguments::default()
    };

    let printed = render(&effective(&arguments, &complete_environment()));

    assert_eq!(printed.lines().count(), TABLE.len());
    let line_of = |name: &str| printed.lines().find(|line| line.starts_with(name)).unwrap();
    assert!(line_of("seed ").ends_with("flag"));
    assert!(line_of("entry_host").ends_with("environment"));
    assert!(line_of("log_level").ends_with("default"));
}

quickcheck! {
    fn any_text_gives_settings_or_a_fault_of_bounded_size(index: usize, text: String) -> bool {
        let declaration = &TABLE[index % TABLE.len()];
        let environment = with_variable(&declaration.variable(), &text);
        match Settings::resolve(&ServeArguments::default(), &environment) {
            Ok(settings) => settings.texts().len() == TABLE.len(),
            Err(error) => {
                let length_bytes = error.to_string().len();
                !error.faults.is_empty() && length_bytes <= 4_096 + 12 * text.len()
            }
        }
    }
}
