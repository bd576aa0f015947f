//! A daemon in this process with a manifest in force, and callers on raw sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Child;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::manifest::{AcceptedManifest, Manifest};
use kingcuploft_standins::platform::Platform;
use kingcuploftd::daemon::Daemon;
use kingcuploftd::settings::Settings;
use tokio::runtime::Runtime;

/// A daemon with its platform and the runtimes of its backend servers.
pub(crate) struct Bench {
    pub(crate) daemon: Daemon,
    _runtimes: Vec<Runtime>,
    _platform: Platform,
}

impl Bench {
    /// Returns a runtime for backend servers.
    pub(crate) fn runtime() -> Runtime {
        Runtime::new().unwrap()
    }

    /// Keeps the runtime alive as long as the daemon, so that the backend servers on it stay up.
    pub(crate) fn with_runtime(mut self, runtime: Runtime) -> Self {
        self._runtimes.push(runtime);
        self
    }
}

/// Starts a daemon in front of the backend servers; `limits` is a YAML mapping.
pub(crate) fn bench(servers: &[SocketAddr], limits: &str) -> Bench {
    bench_with(servers, limits, "")
}

/// Starts a daemon; `rule` is more YAML for both rules, such as `, body_limit_bytes: 10`.
pub(crate) fn bench_with(servers: &[SocketAddr], limits: &str, rule: &str) -> Bench {
    let runtime = Runtime::new().unwrap();
    let platform = Platform::start(&runtime).unwrap();
    let text = format!(
        "{{vm: entry-1, availability_zone: a, listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0', platform: '{}', limits: {limits}}}",
        platform.address()
    );
    let settings: Settings = serde_saphyr::from_str(&text).unwrap();
    let daemon = Daemon::start(settings).unwrap();
    let accepted = AcceptedManifest {
        generation: 1,
        manifest: Arc::new(manifest(servers, rule)),
    };
    daemon.shared().activate_manifest(accepted);
    Bench {
        daemon,
        _runtimes: vec![runtime],
        _platform: platform,
    }
}

fn manifest(servers: &[SocketAddr], rule: &str) -> Manifest {
    let servers = servers.iter().enumerate().map(|(i, address)| {
        format!("{{name: trip-{i}, address: '{address}', availability_zone: a, slots: 64, connections: 220}}")
    });
    let servers: Vec<String> = servers.collect();
    let text = format!(
        "services:
  - name: trip
    hosts: [trip.example]
    policy: {{retry: {{attempts: 1}}}}
    backend_servers: [{}]
    rules:
      - {{name: lookup, path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: 5000{rule}}}
      - {{name: hold, methods: [POST], path_prefix: /holds, contract: at_most_once, priority: protected, deadline_ms: 5000{rule}}}
",
        servers.join(", ")
    );
    serde_saphyr::from_str(&text).unwrap()
}

/// Opens a raw connection to a daemon, with a read timeout of 10 seconds.
pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    stream
}

/// Reads one answer's head, without its body.
pub(crate) fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// Waits until the condition holds; panics with `what` after 10 seconds.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < deadline, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Starts a backend server that reads one request per connection, waits, and answers with these bytes.
pub(crate) fn plain_server(delay: Duration, answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let answer = Arc::clone(&answer);
            std::thread::spawn(move || {
                let mut stream = stream.unwrap();
                drop(read_head(&mut stream));
                std::thread::sleep(delay);
                drop(stream.write_all(&answer));
            });
        }
    });
    address
}

/// Returns a complete answer with a body of `bytes` bytes.
pub(crate) fn answer_of(bytes: usize) -> Vec<u8> {
    let mut answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n").into_bytes();
    answer.resize(answer.len() + bytes, b'x');
    answer
}

/// A child process that is killed when the value is dropped.
pub(crate) struct KillOnDrop(pub(crate) Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

/// Returns the path of one of the workspace's programs.
pub(crate) fn binary(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    path.join(name)
}

/// Returns a port that was free a moment ago.
pub(crate) fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

/// Returns the text of a manifest with one backend server.
pub(crate) fn manifest_text(server: SocketAddr) -> String {
    serde_json::to_string(&manifest(&[server], "")).unwrap()
}

/// Sends bytes on a new connection and reads until the daemon closes it.
pub(crate) fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = connect(address);
    stream.write_all(request).unwrap();
    let mut answer = Vec::new();
    // If the connection is reset after the answer, the bytes read so far are kept.
    drop(stream.read_to_end(&mut answer));
    String::from_utf8_lossy(&answer).into_owned()
}

/// Reads one answer; the body is `None` if the connection closed before its end.
pub(crate) fn read_answer(stream: &mut TcpStream) -> (String, Option<Vec<u8>>) {
    let head = read_head(stream);
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        let found = name.eq_ignore_ascii_case("content-length");
        found.then(|| value.parse().unwrap())
    });
    let Some(length) = length else {
        return (head, read_chunks(stream));
    };
    let mut body = vec![0; length];
    let whole = stream.read_exact(&mut body).is_ok();
    (head, whole.then_some(body))
}

fn read_chunks(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).ok()?;
            line.push(byte[0]);
        }
        let size = String::from_utf8(line).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
