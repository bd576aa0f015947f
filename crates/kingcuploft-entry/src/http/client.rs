//! Client connections over HTTP/1.1, to backend servers and to the platform's store.

mod receiving;

pub use receiving::{GiveUpReason, ReceiveError};

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::answer_account::AnswerReservation;
use super::head::ResponseHead;
use crate::clock;
use crate::network::{Connecting, Network, Stream};

/// How long opening a connection may take: many round trips of a region, and less than the second after which a lost
/// SYN packet is sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long sent bytes may stay unacknowledged before the connection fails: a peer that has lost power sends nothing at
/// all.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a connection may be silent before TCP keepalive checks the peer.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How many bytes are read at once; most responses fit.
const READ_BUFFER_BYTES: usize = 4096;

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status line and headers.
    pub head: ResponseHead,
    /// The bytes of its body.
    pub body: Vec<u8>,
    /// The memory that is reserved for it.
    pub(crate) reservation: Option<Rc<AnswerReservation>>,
}

/// Why a request could not be sent.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// Nothing of the request has left this process.
    #[error("nothing was sent: {0}")]
    NothingSent(std::io::Error),
    /// Some of the request may have arrived.
    #[error("the connection broke while sending: {0}")]
    PartlySent(std::io::Error),
}

/// Counts one open connection until it is dropped, among those to one server and among those to all.
#[derive(Debug)]
pub struct ConnectionCount {
    of_server: Rc<Cell<usize>>,
    of_all: Rc<Cell<usize>>,
}

impl ConnectionCount {
    /// Increments both counts of open connections.
    pub fn increment(of_server: &Rc<Cell<usize>>, of_all: &Rc<Cell<usize>>) -> Self {
        of_server.update(|open| open + 1);
        of_all.update(|open| open + 1);
        Self {
            of_server: of_server.clone(),
            of_all: of_all.clone(),
        }
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.of_server.update(|open| open.saturating_sub(1));
        self.of_all.update(|open| open.saturating_sub(1));
    }
}

/// When bytes last arrived, if any did.
pub type LastArrival = Rc<Cell<Option<Instant>>>;

/// An open connection, which carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    count_guard: Option<ConnectionCount>,
    stream: Stream,
    buffer: BytesMut,
    used: Instant,
    keepalive_timeout: Option<Duration>,
    reusable: bool,
    unusable: bool,
    last_arrival: Option<LastArrival>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the system's error, or a timeout.
    pub async fn open(network: &dyn Network, address: SocketAddr) -> std::io::Result<Self> {
        Self::from_connecting(network.connect(address)).await
    }

    /// Opens a connection to another VM.
    ///
    /// # Errors
    ///
    /// Returns the system's error, or a timeout.
    pub async fn open_to_vm(network: &dyn Network, address: SocketAddr) -> std::io::Result<Self> {
        Self::from_connecting(network.connect_to_vm(address)).await
    }

    async fn from_connecting(connecting: Connecting<'_>) -> std::io::Result<Self> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| std::io::Error::from(ErrorKind::TimedOut))??;
        if let Some(stream) = stream.tcp() {
            enable_dead_peer_detection(stream)?;
        }
        Ok(Self {
            count_guard: None,
            stream,
            buffer: BytesMut::new(),
            used: clock::now(),
            keepalive_timeout: None,
            reusable: true,
            unusable: false,
            last_arrival: None,
        })
    }

    /// Records in `last_arrival`, from now on, when bytes arrive.
    pub fn track_arrivals(&mut self, last_arrival: &LastArrival) {
        self.last_arrival = Some(last_arrival.clone());
    }

    /// Opens a connection that is counted from the start of the attempt.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Connection::open`] does.
    pub async fn open_counted(
        network: &dyn Network,
        address: SocketAddr,
        count_guard: ConnectionCount,
    ) -> std::io::Result<Self> {
        let mut connection = Self::open(network, address).await?;
        connection.count_guard = Some(count_guard);
        Ok(connection)
    }

    /// Returns whether the connection can carry another request: it was used recently, the server has not closed it,
    /// and no unexpected bytes have arrived.
    pub fn is_reusable(&mut self, now: Instant, longest_idle: Duration) -> bool {
        let idle = now.saturating_duration_since(self.used);
        let longest = self
            .keepalive_timeout
            .map_or(longest_idle, |k| k.min(longest_idle));
        if self.unusable || !self.reusable || idle > longest || !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        matches!(self.stream.try_read(&mut byte), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Marks the connection as not reusable.
    pub fn mark_unusable(&mut self) {
        self.unusable = true;
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether some bytes may have left.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), SendError> {
        let first = self
            .stream
            .write(bytes)
            .await
            .map_err(SendError::NothingSent)?;
        let rest = bytes.get(first..).unwrap_or_default();
        let rest = self.stream.write_all(rest).await;
        rest.map_err(SendError::PartlySent)
    }

    async fn read(&mut self) -> Result<usize, ReceiveError> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        let read = self.stream.read_buf(&mut self.buffer).await;
        if let Some(last_arrival) = &self.last_arrival {
            last_arrival.set(Some(clock::now()));
        }
        read.map_err(ReceiveError::Failed)
    }
}

/// Configures TCP so that a connection to a dead peer fails.
fn enable_dead_peer_detection(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}

/// Returns how long the server keeps an idle connection open, less a tenth: the server counts from a moment that is
/// some milliseconds earlier.
fn keepalive_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: f64 = timeout.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds.clamp(0.0, 3600.0) * 0.9).ok()
}
