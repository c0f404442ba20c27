//! Checks of parsed settings: ranges, and settings that depend on each other.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::Fault;
use super::Settings;
use super::SettingsBuilder;
use super::Source;
use super::TABLE;

/// Minimum number of renewal intervals in one lease term, so that two renewals can be lost before
/// the lease lapses.
const MIN_RENEWALS_PER_TERM: u64 = 3;

/// Adds a fault for each number outside the range of its setting.
pub(super) fn ranges(
    settings: &Settings,
    source_of: &impl Fn(&str) -> Source,
    faults: &mut Vec<Fault>,
) {
    for (declaration, number) in TABLE.iter().zip(settings.numbers()) {
        let (Some(range), Some(value)) = (&declaration.range, number) else {
            continue;
        };
        if !range.contains(&value) {
            faults.push(Fault {
                setting: declaration.name.to_owned(),
                given: Some(value.to_string()),
                source: source_of(declaration.name),
                expected: format!("{} to {} {}", range.start(), range.end(), declaration.unit),
            });
        }
    }
}

/// Adds faults of settings that contradict each other; a setting that could not be parsed is not
/// checked.
pub(super) fn relations(
    builder: &SettingsBuilder,
    source_of: &impl Fn(&str) -> Source,
    faults: &mut Vec<Fault>,
) {
    let mut add_fault = |setting: &str, given: String, expected: String| {
        faults.push(Fault {
            setting: setting.to_owned(),
            given: Some(given),
            source: source_of(setting),
            expected,
        });
    };
    if let (Some(interval), Some(term)) = (builder.lease_renew_interval_ms, builder.lease_term_ms) {
        let max_interval_ms = term.0 / MIN_RENEWALS_PER_TERM;
        if interval.0 > max_interval_ms {
            let expected = format!("at most {max_interval_ms} ms, a third of lease_term_ms");
            add_fault("lease_renew_interval_ms", interval.to_string(), expected);
        }
    }
    check_pair(
        ("caller_tls_certificate", &builder.caller_tls_certificate),
        ("caller_tls_key", &builder.caller_tls_key),
        &mut add_fault,
    );
    check_pair(
        (
            "operator_tls_certificate",
            &builder.operator_tls_certificate,
        ),
        ("operator_tls_key", &builder.operator_tls_key),
        &mut add_fault,
    );
    check_addresses(builder, &mut add_fault);
    if let (Some(listen), Some(None)) = (builder.operator_listen, &builder.operator_token_file)
        && !listen.ip().is_loopback()
    {
        let expected = "a loopback address, or operator_token_file to be set as well";
        add_fault("operator_listen", listen.to_string(), expected.to_owned());
    }
}

/// Name of a setting and its path: `None` if it could not be parsed, `Some(None)` if it is not set.
type NamedPath<'a> = (&'static str, &'a Option<Option<PathBuf>>);

/// Requires a certificate to be set together with its key.
fn check_pair(
    certificate: NamedPath<'_>,
    key: NamedPath<'_>,
    add_fault: &mut impl FnMut(&str, String, String),
) {
    let (Some(certificate_path), Some(key_path)) = (certificate.1, key.1) else {
        return;
    };
    if certificate_path.is_some() && key_path.is_none() {
        let expected = format!("a path, because {} is set", certificate.0);
        add_fault(key.0, String::new(), expected);
    }
    if key_path.is_some() && certificate_path.is_none() {
        let expected = format!("a path, because {} is set", key.0);
        add_fault(certificate.0, String::new(), expected);
    }
}

/// Requires each service to listen on an address of its own, unless the system chooses the port.
fn check_addresses(builder: &SettingsBuilder, add_fault: &mut impl FnMut(&str, String, String)) {
    let services: [(&str, Option<SocketAddr>); 4] = [
        ("operator_listen", builder.operator_listen),
        ("caller_listen", builder.caller_listen),
        ("peer_listen", builder.peer_listen),
        ("health_listen", builder.health_listen),
    ];
    for (index, (name, address)) in services.iter().enumerate() {
        let Some(address) = address.filter(|address| address.port() != 0) else {
            continue;
        };
        let conflicting = services[..index]
            .iter()
            .find(|(_, other)| *other == Some(address));
        if let Some((other, _)) = conflicting {
            let expected = format!("an address other than that of {other}");
            add_fault(name, address.to_string(), expected);
        }
    }
}
