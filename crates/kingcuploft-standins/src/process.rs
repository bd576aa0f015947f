//! A daemon as a process of its own, which can be paused and killed.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGCONT, SIGSTOP, SIGTERM};
use ureq::Agent;

/// How often a condition is looked at while waiting for it.
const POLL: Duration = Duration::from_millis(5);

/// The unit of processor times under `/proc`, in ms.
const TICK_MS: u64 = 10;

/// Where a daemon listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ports {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform and operators connect.
    pub admin: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
}

impl Ports {
    /// Finds three free ports of 127.0.0.1; another process may take one before they are used.
    ///
    /// # Errors
    ///
    /// The system's error where no port is to be had.
    pub fn free() -> std::io::Result<Self> {
        let listeners = [free()?, free()?, free()?];
        Ok(Self {
            callers: listeners[0].local_addr()?,
            admin: listeners[1].local_addr()?,
            peers: listeners[2].local_addr()?,
        })
    }
}

fn free() -> std::io::Result<TcpListener> {
    TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0))
}

/// A daemon process, killed when dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    ports: Ports,
    agent: Agent,
}

impl DaemonProcess {
    /// Starts a daemon with these settings; its log goes to a file beside them.
    ///
    /// # Errors
    ///
    /// The system's error where a file can not be written or the process not started.
    pub fn start(folder: &Path, vm: &str, ports: Ports, settings: &str) -> std::io::Result<Self> {
        let path = folder.join(format!("{vm}.yaml"));
        std::fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("{vm}.log")))?;
        let child = Command::new(daemon_path()?)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(Duration::from_secs(1)));
        Ok(Self {
            child,
            ports,
            agent: config.build().into(),
        })
    }

    /// Returns where it listens.
    pub fn ports(&self) -> Ports {
        self.ports
    }

    /// Waits until it is ready; tells whether it was in time and did not end before.
    pub fn wait_ready(&mut self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until && !self.has_ended() {
            if self.admin_page("ready").is_some() {
                return true;
            }
            std::thread::sleep(POLL);
        }
        false
    }

    fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Reads a page of its admin port; `None` where it does not answer 200.
    pub fn admin_page(&self, name: &str) -> Option<String> {
        let url = format!("http://{}/{name}", self.ports.admin);
        let mut response = self.agent.get(url).call().ok()?;
        let ok = response.status() == 200;
        ok.then(|| response.body_mut().read_to_string().ok())?
    }

    /// Returns the generation in force, by its status page.
    pub fn generation(&self) -> Option<u64> {
        let status: serde_json::Value = serde_json::from_str(&self.admin_page("status")?).ok()?;
        status.get("generation")?.as_u64()
    }

    /// Returns the processor time that it used so far.
    pub fn cpu(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        // The fields after the name in brackets: state is the first, user and system time the
        // 12th and 13th, in ticks of 10 ms.
        let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
        let ticks = fields
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok());
        Duration::from_millis(ticks.sum::<u64>() * TICK_MS)
    }

    /// Returns its resident memory in KB.
    pub fn resident_kb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.unwrap_or_default()
    }

    /// Pauses it.
    pub fn pause(&self) {
        self.signal(SIGSTOP);
    }

    /// Lets it go on after a pause.
    pub fn resume(&self) {
        self.signal(SIGCONT);
    }

    /// Asks it to stop as planned.
    pub fn terminate(&self) {
        self.signal(SIGTERM);
    }

    /// Waits until it ended; `None` where it did not in time.
    pub fn wait_ended(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(POLL);
        }
        None
    }

    /// Kills it.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    fn signal(&self, signal: i32) {
        let id = self.child.id().to_string();
        let signal = format!("-{signal}");
        drop(Command::new("kill").args([&signal, &id]).status());
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds the daemon's program beside this one, or one folder up for a test's program.
fn daemon_path() -> std::io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let mut candidates = folders.map(|folder| folder.join("kingcuploftd"));
    candidates.find(|path| path.is_file()).ok_or_else(|| {
        let why = "kingcuploftd is not built; run `cargo build --bins` first";
        std::io::Error::new(std::io::ErrorKind::NotFound, why)
    })
}
