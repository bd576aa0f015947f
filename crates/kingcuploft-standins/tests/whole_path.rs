//! End-to-end test with real processes: the tool applies a manifest, and a daemon serves calls under it.

use std::io::Write;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use kingcuploft_standins::backend_server::{BackendServer, Work};
use kingcuploft_standins::platform::Platform;

/// A child process that is killed when the value is dropped.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

fn free_port() -> u16 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

fn binary(name: &str) -> std::path::PathBuf {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    path.join(name)
}

#[test]
fn a_call_goes_through_a_daemon_process_under_an_applied_manifest() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let platform = Platform::start(&runtime).unwrap();
    let work = Work {
        slots: 2,
        mean: Duration::from_millis(1),
        seed: 1,
        ..Work::default()
    };
    let server = BackendServer::start(&runtime, work).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let manifest = folder.path().join("manifest.yaml");
    let yaml = format!(
        "services:
  - name: trip
    hosts: [trip.example]
    backend_servers:
      - {{name: trip-1, address: '{}', availability_zone: a, slots: 2, connections: 220}}
    rules:
      - {{name: lookup, path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: 2000}}
      - {{name: hold, methods: [POST], path_prefix: /holds, contract: at_most_once, priority: protected, deadline_ms: 2000}}
",
        server.address()
    );
    std::fs::write(&manifest, yaml).unwrap();
    let settings = folder.path().join("settings.yaml");
    let (port, admin_port) = (free_port(), free_port());
    let yaml = format!(
        "vm: entry-1\navailability_zone: a\nlisten: 127.0.0.1:{port}\nadmin_listen: 127.0.0.1:{admin_port}\nplatform: {}\n",
        platform.address()
    );
    std::fs::File::create(&settings)
        .unwrap()
        .write_all(yaml.as_bytes())
        .unwrap();

    let apply = Command::new(binary("kingcuploftctl"))
        .args([
            "--platform",
            &platform.address().to_string(),
            "manifest",
            "apply",
        ])
        .arg(&manifest)
        .output()
        .unwrap();
    assert!(
        apply.status.success(),
        "{}",
        String::from_utf8_lossy(&apply.stderr)
    );

    let daemon = Command::new(binary("kingcuploftd"))
        .arg("--settings")
        .arg(&settings)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let daemon = KillOnDrop(daemon);
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        let ready = agent
            .get(format!("http://127.0.0.1:{admin_port}/ready"))
            .call();
        if ready.is_ok_and(|ready| ready.status() == 200) {
            break;
        }
        assert!(Instant::now() < deadline, "the daemon is not ready");
        std::thread::sleep(Duration::from_millis(10));
    }
    let base = format!("http://127.0.0.1:{port}");
    let mut lookup = agent
        .get(format!("{base}/itinerary"))
        .header("host", "trip.example")
        .call()
        .unwrap();
    assert_eq!(lookup.status(), 200);
    assert_eq!(
        lookup.body_mut().read_to_string().unwrap(),
        "GET /itinerary\n"
    );
    for _ in 0..2 {
        let mut hold = agent
            .post(format!("{base}/holds"))
            .header("host", "trip.example")
            .header("idempotency-key", "squad-7")
            .send("beds")
            .unwrap();
        assert_eq!(hold.status(), 200);
        assert_eq!(hold.body_mut().read_to_string().unwrap(), "POST /holds\n");
    }
    assert_eq!(server.runs("squad-7"), 1);

    // The store goes down: lookups are still served. A protected action is refused at once, and the refusal says that
    // earlier requests with its key were not checked.
    platform.set_down(true);
    let lookup = agent
        .get(format!("{base}/itinerary"))
        .header("host", "trip.example")
        .call()
        .unwrap();
    assert_eq!(lookup.status(), 200);
    let refused = agent
        .post(format!("{base}/holds"))
        .header("host", "trip.example")
        .header("idempotency-key", "squad-8")
        .send("beds")
        .unwrap();
    let header = |name| refused.headers().get(name).unwrap().to_str().unwrap();
    assert_eq!(header("x-kingcuploft-reason"), "store_unavailable");
    assert_eq!(header("x-kingcuploft-outcome"), "not_run");
    assert_eq!(header("x-kingcuploft-earlier"), "not_checked");
    assert_eq!(server.runs("squad-8"), 0);
    drop(daemon);
}
