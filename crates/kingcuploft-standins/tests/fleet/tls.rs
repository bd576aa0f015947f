//! Mutual TLS between VMs: only the fleet's own may link, and keys change without a restart.

use std::path::Path;
use std::time::Duration;

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

use crate::harness::{Bench, IN_FORCE, until};

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

    /// Writes a VM's files and returns the settings that name them.
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
fn only_vms_of_the_fleet_may_link_and_keys_are_read_again() {
    let fleet = Authority::new();
    let folders: Vec<_> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
    let mut bench = Bench::start(0);
    let first = fleet.write(folders[0].path());
    bench.add_with(&first);
    let seed = bench.peers()[0];
    let second = fleet.write(folders[1].path());
    bench.add_with(&format!("peers: ['{seed}'], {second}"));
    bench.live(2);
    // A VM with another authority's certificate, and one without TLS.
    let stranger = Authority::new().write(folders[2].path());
    let stranger = bench.add_with(&format!("peers: ['{seed}'], {stranger}"));
    let plain = bench.add_with(&format!("peers: ['{seed}']"));
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(bench.links()[stranger], 0);
    assert_eq!(bench.links()[plain], 0);
    // The stranger gets a certificate of the fleet and links without a restart.
    fleet.write(folders[2].path());
    until(
        IN_FORCE * 2,
        || bench.links()[stranger] > 0,
        || format!("{:?}", bench.links()),
    );
    bench.stop();
}
