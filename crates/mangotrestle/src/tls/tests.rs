//! Tests of certificates: checks at start, renewals, and unusable renewals.

use super::*;

/// A directory that is removed after the test.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("mangotrestle-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn certificate(&self) -> PathBuf {
        self.0.join("certificate.pem")
    }

    fn key(&self) -> PathBuf {
        self.0.join("key.pem")
    }

    /// Writes a new self-signed certificate and its key.
    fn write_pair(&self) {
        let pair = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]).unwrap();
        fs::write(self.certificate(), pair.cert.pem()).unwrap();
        fs::write(self.key(), pair.signing_key.serialize_pem()).unwrap();
    }

    fn load(&self) -> Result<Certificates, TlsError> {
        Certificates::load(&self.certificate(), &self.key(), Protocol::Http1)
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn renewed_pair_is_put_into_force() {
    let directory = TestDirectory::new("renewed");
    directory.write_pair();
    let certificates = directory.load().unwrap();
    let old_config = certificates.current();

    let first_reload = certificates.reload();
    directory.write_pair();
    let second_reload = certificates.reload();

    assert_eq!(first_reload, Ok(Reload::Unchanged));
    assert_eq!(second_reload, Ok(Reload::Renewed));
    assert!(!Arc::ptr_eq(&old_config, &certificates.current()));
}

#[test]
fn unusable_renewal_keeps_the_old_pair_and_is_reported_once() {
    let directory = TestDirectory::new("broken");
    directory.write_pair();
    let certificates = directory.load().unwrap();
    let old_config = certificates.current();

    fs::write(directory.certificate(), "not a certificate").unwrap();
    let first_reload = certificates.reload();
    let second_reload = certificates.reload();

    assert!(matches!(first_reload, Err(TlsError::Certificate { .. })));
    assert_eq!(second_reload, Ok(Reload::Unchanged));
    assert!(Arc::ptr_eq(&old_config, &certificates.current()));
}

#[test]
fn half_written_renewal_is_put_into_force_once_it_is_complete() {
    let directory = TestDirectory::new("half");
    directory.write_pair();
    let certificates = directory.load().unwrap();
    let old_key = fs::read(directory.key()).unwrap();
    directory.write_pair();
    let new_key = fs::read(directory.key()).unwrap();

    fs::write(directory.key(), old_key).unwrap();
    let with_old_key = certificates.reload();
    fs::write(directory.key(), new_key).unwrap();
    let complete = certificates.reload();

    assert!(
        matches!(with_old_key, Err(TlsError::Pair { .. })),
        "{with_old_key:?}"
    );
    assert_eq!(complete, Ok(Reload::Renewed));
}

#[test]
fn errors_at_start_name_the_file() {
    let directory = TestDirectory::new("start");
    directory.write_pair();

    fs::write(directory.key(), "no key").unwrap();
    let invalid_key = directory.load().err().unwrap().to_string();
    fs::remove_file(directory.certificate()).unwrap();
    let missing_certificate = directory.load().err().unwrap().to_string();

    assert!(
        invalid_key.contains("key.pem: expected one private key"),
        "{invalid_key}"
    );
    assert!(
        missing_certificate.contains("certificate.pem: cannot be read"),
        "{missing_certificate}"
    );
}
