//! Checks mutual TLS between VMs: only VMs with a certificate of the fleet link, and keys are reloaded without a
//! restart.

use std::path::Path;
use std::time::Duration;

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

use crate::harness::{Fleet, PROPAGATION_TIMEOUT, until};

/// A certificate authority.
struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

impl Authority {
    fn new() -> Self {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::<String>::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let pem = params.self_signed(&key).unwrap().pem();
        Self {
            issuer: Issuer::new(params, key),
            pem,
        }
    }

    /// Writes the key, certificate and authority files of a VM and returns the peer settings that refer to them.
    fn write(&self, folder: &Path) -> String {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).unwrap();
        write("certificate.pem", &certificate.pem());
        write("key.pem", &key.serialize_pem());
        write("ca.pem", &self.pem);
        let folder = folder.display();
        format!(
            "tls: {{certificate: '{folder}/certificate.pem', key: '{folder}/key.pem', ca: '{folder}/ca.pem'}}"
        )
    }
}

#[test]
fn only_vms_with_a_fleet_certificate_link_and_keys_are_reloaded() {
    let authority = Authority::new();
    let folders: Vec<_> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
    let mut fleet = Fleet::start(0);
    let first = authority.write(folders[0].path());
    fleet.add_with(&first);
    let seed = fleet.peers()[0];
    let second = authority.write(folders[1].path());
    fleet.add_with(&format!("peers: ['{seed}'], {second}"));
    fleet.wait_live(2);
    // A VM with a certificate of another authority, and one without TLS.
    let untrusted = Authority::new().write(folders[2].path());
    let untrusted = fleet.add_with(&format!("peers: ['{seed}'], {untrusted}"));
    let plain = fleet.add_with(&format!("peers: ['{seed}']"));
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(fleet.links()[untrusted], 0);
    assert_eq!(fleet.links()[plain], 0);
    // The untrusted VM gets a certificate of the fleet and links without a restart.
    authority.write(folders[2].path());
    until(
        PROPAGATION_TIMEOUT * 2,
        || fleet.links()[untrusted] > 0,
        || format!("{:?}", fleet.links()),
    );
    fleet.stop();
}
