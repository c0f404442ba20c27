//! Checks of settings that reading each alone does not make: ranges, and settings that only make
//! sense together.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::Fault;
use super::Settings;
use super::SettingsBuilder;
use super::Source;
use super::TABLE;

/// Renewals that fit into one term, so that two can be lost before the lease lapses.
const RENEWALS_PER_TERM: u64 = 3;

/// Compares every number with the range of its setting.
pub(super) fn ranges(
    settings: &Settings,
    source_of: &impl Fn(&str) -> Source,
    faults: &mut Vec<Fault>,
) {
    for (declaration, magnitude) in TABLE.iter().zip(settings.magnitudes()) {
        let (Some(range), Some(value)) = (&declaration.range, magnitude) else {
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

/// Compares settings with each other; settings that could not be read are left out.
pub(super) fn relations(
    builder: &SettingsBuilder,
    source_of: &impl Fn(&str) -> Source,
    faults: &mut Vec<Fault>,
) {
    let mut report = |setting: &str, given: String, expected: String| {
        faults.push(Fault {
            setting: setting.to_owned(),
            given: Some(given),
            source: source_of(setting),
            expected,
        });
    };
    if let (Some(interval), Some(term)) = (builder.lease_renew_interval_ms, builder.lease_term_ms) {
        let longest = term.0 / RENEWALS_PER_TERM;
        if interval.0 > longest {
            let expected = format!("at most {longest} ms, a third of lease_term_ms");
            report("lease_renew_interval_ms", interval.to_string(), expected);
        }
    }
    check_pair(
        ("caller_tls_certificate", &builder.caller_tls_certificate),
        ("caller_tls_key", &builder.caller_tls_key),
        &mut report,
    );
    check_pair(
        (
            "operator_tls_certificate",
            &builder.operator_tls_certificate,
        ),
        ("operator_tls_key", &builder.operator_tls_key),
        &mut report,
    );
    check_addresses(builder, &mut report);
    if let (Some(listen), Some(None)) = (builder.operator_listen, &builder.operator_token_file)
        && !listen.ip().is_loopback()
    {
        let expected = "a loopback address, or operator_token_file to be set as well";
        report("operator_listen", listen.to_string(), expected.to_owned());
    }
}

type NamedPath<'a> = (&'static str, &'a Option<Option<PathBuf>>);

/// A certificate is of no use without its key, and the other way round.
fn check_pair(
    certificate: NamedPath<'_>,
    key: NamedPath<'_>,
    report: &mut impl FnMut(&str, String, String),
) {
    let (Some(certificate_path), Some(key_path)) = (certificate.1, key.1) else {
        return;
    };
    if certificate_path.is_some() && key_path.is_none() {
        let expected = format!("a path, because {} is set", certificate.0);
        report(key.0, String::new(), expected);
    }
    if key_path.is_some() && certificate_path.is_none() {
        let expected = format!("a path, because {} is set", key.0);
        report(certificate.0, String::new(), expected);
    }
}

/// Two services cannot listen on one address, unless the system chooses the port.
fn check_addresses(builder: &SettingsBuilder, report: &mut impl FnMut(&str, String, String)) {
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
        let earlier = services[..index]
            .iter()
            .find(|(_, other)| *other == Some(address));
        if let Some((other, _)) = earlier {
            let expected = format!("another address than {other}");
            report(name, address.to_string(), expected);
        }
    }
}
