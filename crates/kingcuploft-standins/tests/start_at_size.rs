//! Start of a VM while many services are in force: the number of its store calls must not grow with them.

use kingcuploft::manifest::reader;
use kingcuploft_platform::client::{Client, ClientSettings};
use kingcuploft_platform::manifest_root::{self, ApplyOutcome};
use kingcuploft_standins::platform::Platform;
use kingcuploftd::daemon::Daemon;

/// Guards against a start that is slow with many services. A VM that reads the objects of 200 services one by one uses
/// up its budget of store calls after the first hundred and is not ready for seconds. It lists all objects instead, so
/// the number of its calls does not depend on the number of services.
#[test]
fn a_new_vm_reads_many_services_in_few_calls() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let platform = Platform::start(&runtime).unwrap();
    let mut manifest_text = String::from("services:\n");
    for i in 0..200 {
        manifest_text += &format!(
            "  - {{name: s{i}, hosts: [s{i}.example], backend_servers: [], rules: [{{name: r, path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: 1000}}]}}\n"
        );
    }
    let manifest = reader::read("plan", &manifest_text).unwrap();
    let settings = ClientSettings {
        calls_per_s: 1e6,
        calls_burst: 1e6,
        ..ClientSettings::default()
    };
    let client = Client::with_settings(&platform.address().to_string(), settings, 1);
    let applied = manifest_root::apply(&client, manifest, "start").unwrap();
    assert_eq!(applied, ApplyOutcome::Accepted(1));

    let before = platform.calls();
    let settings_text = format!(
        "vm: entry-0\navailability_zone: a\nlisten: 127.0.0.1:0\nadmin_listen: 127.0.0.1:0\nplatform: {}\n",
        platform.address()
    );
    let daemon = Daemon::start(serde_saphyr::from_str(&settings_text).unwrap()).unwrap();
    while !daemon.shared().ready() {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    let after = platform.calls();
    assert!(after.gets - before.gets < 20, "{after:?}");
    assert!(after.lists - before.lists < 20, "{after:?}");
    daemon.stop();
}
