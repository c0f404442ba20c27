//! Tests of certificates: checks at the start, renewal, and broken renewals.

use super::*;

/// A directory that is removed after the test.
struct Directory(PathBuf);

impl Directory {
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

    /// Writes a fresh pair that signs itself.
    fn write_pair(&self) {
        let pair = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]).unwrap();
        fs::write(self.certificate(), pair.cert.pem()).unwrap();
        fs::write(self.key(), pair.signing_key.serialize_pem()).unwrap();
    }

    fn load(&self) -> Result<Certificates, TlsError> {
        Certificates::load(&self.certificate(), &self.key(), Protocol::Http1)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn renewed_pair_is_taken_into_use() {
    let directory = Directory::new("renewed");
    directory.write_pair();
    let certificates = directory.load().unwrap();
    let before = certificates.current();

    let first_look = certificates.reload();
    directory.write_pair();
    let second_look = certificates.reload();

    assert_eq!(first_look, Ok(Reload::Unchanged));
    assert_eq!(second_look, Ok(Reload::Renewed));
    assert!(!Arc::ptr_eq(&before, &certificates.current()));
}

#[test]
fn broken_renewal_keeps_the_old_pair_and_is_reported_once() {
    let directory = Directory::new("broken");
    directory.write_pair();
    let certificates = directory.load().unwrap();
    let before = certificates.current();

    fs::write(directory.certificate(), "not a certificate").unwrap();
    let first_look = certificates.reload();
    let second_look = certificates.reload();

    assert!(matches!(first_look, Err(TlsError::Certificate { .. })));
    assert_eq!(second_look, Ok(Reload::Unchanged));
    assert!(Arc::ptr_eq(&before, &certificates.current()));
}

#[test]
fn half_written_renewal_is_taken_once_it_is_whole() {
    let directory = Directory::new("half");
    directory.write_pair();
    let certificates = directory.load().unwrap();
    let old_key = fs::read(directory.key()).unwrap();
    directory.write_pair();
    let new_key = fs::read(directory.key()).unwrap();

    fs::write(directory.key(), old_key).unwrap();
    let half = certificates.reload();
    fs::write(directory.key(), new_key).unwrap();
    let whole = certificates.reload();

    assert!(matches!(half, Err(TlsError::Pair { .. })), "{half:?}");
    assert_eq!(whole, Ok(Reload::Renewed));
}

#[test]
fn faults_at_the_start_name_the_file() {
    let directory = Directory::new("start");
    directory.write_pair();

    fs::write(directory.key(), "no key").unwrap();
    let no_key = directory.load().err().unwrap().to_string();
    fs::remove_file(directory.certificate()).unwrap();
    let no_file = directory.load().err().unwrap().to_string();

    assert!(
        no_key.contains("key.pem: expected one private key"),
        "{no_key}"
    );
    assert!(
        no_file.contains("certificate.pem: cannot be read"),
        "{no_file}"
    );
}
