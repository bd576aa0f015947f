//! The admin port: which pages need the token, and how a changed token takes effect.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime};

use kingcuploftd::daemon::Daemon;
use kingcuploftd::settings::parse;

fn status(address: SocketAddr, path: &str, token: Option<&str>) -> u16 {
    let token = token.map(|token| format!("authorization: Bearer {token}\r\n"));
    let token = token.unwrap_or_default();
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{token}\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer[9..12].parse().unwrap()
}

/// Guards against access without the token: anyone on the network could read the refusals of bookings or drain a
/// backend server. Only the balancer's two pages answer without the token. A token that is replaced in its file becomes
/// valid without a restart, and the old one invalid.
#[test]
fn only_the_balancers_pages_need_no_token_and_a_new_token_needs_no_restart() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("token");
    std::fs::write(&file, "first\n").unwrap();
    let settings = format!(
        "{{vm: entry-1, availability_zone: a, listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0', platform: '127.0.0.1:1', admin_token_file: {}}}",
        file.display()
    );
    let daemon = Daemon::start(parse("s.yaml", &settings).unwrap()).unwrap();
    let address = daemon.admin_address();
    assert_eq!(status(address, "/live", None), 200);
    assert_eq!(status(address, "/ready", None), 503);
    for path in [
        "/metrics",
        "/status",
        "/fleet/members",
        "/nowhere",
        "/live/../status",
    ] {
        assert_eq!(status(address, path, None), 401, "{path}");
        assert_eq!(status(address, path, Some("guess")), 401, "{path}");
        assert_eq!(status(address, path, Some("")), 401, "{path}");
    }
    assert_eq!(status(address, "/metrics", Some("first")), 200);
    assert_eq!(status(address, "/status", Some("first")), 200);
    std::fs::write(&file, "second\n").unwrap();
    let later = SystemTime::now() + Duration::from_secs(5);
    let changed = std::fs::File::open(&file).unwrap();
    changed.set_modified(later).unwrap();
    assert_eq!(status(address, "/status", Some("second")), 200);
    assert_eq!(status(address, "/status", Some("first")), 401);
    std::fs::remove_file(&file).unwrap();
    assert_eq!(status(address, "/status", Some("second")), 200);
    daemon.stop();
}
