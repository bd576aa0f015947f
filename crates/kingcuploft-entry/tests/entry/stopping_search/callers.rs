//! Callers of different habits, each with one connection.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;

use super::draw;
use super::history::{ConnectionEnd, History, SeenAnswer};
use super::process::Process;
use super::requests::RequestPlan;
use super::servers::body_of;

/// How often a caller that reads slowly reads.
pub(super) const SLOW_READ_INTERVAL: Duration = Duration::from_millis(50);

/// How long a caller waits for `100 Continue` before it sends its body without it.
const CONTINUE_WAIT: Duration = Duration::from_millis(700);

type Reader = Pin<Box<dyn AsyncRead>>;
type Writer = Pin<Box<dyn AsyncWrite>>;

/// When a caller sends the next requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pace {
    /// Some time after the last answer.
    AfterAnswers,
    /// Some time after the last requests, whatever is unanswered.
    Ahead,
}

/// How a caller uses its connection.
#[derive(Clone, Debug)]
pub(super) struct Habit {
    opens_at: Duration,
    pace: Pace,
    /// The most requests that it sends at once.
    burst: usize,
    /// The most time between two requests of a burst; without it nobody runs between them.
    spacing: Option<Duration>,
    /// The most time between two bursts, in milliseconds.
    gap_ms: u64,
    bookings_in_100: u32,
    goes_on_after_close: bool,
    /// How long it sends requests.
    sends_for: Duration,
    leaves_at: Option<Duration>,
    /// How many bytes it reads at once, if it reads slowly.
    slow_read: Option<usize>,
    /// How many bytes its connection holds that it has not read, if it is no TCP connection.
    memory_bytes: Option<usize>,
}

impl Habit {
    /// Draws a habit of a caller in a scenario that lasts so long.
    pub(super) fn draw(rng: &mut Rng, lasts: Duration) -> Self {
        let ms = |rng: &mut Rng, most: u64| Duration::from_millis(rng.u64(0..most));
        let pace = draw::choose(rng, &[(3, Pace::AfterAnswers), (2, Pace::Ahead)]);
        let leaves = rng.u32(0..12) == 0;
        let in_memory = rng.u32(0..3) > 0;
        let slow = in_memory && rng.u32(0..6) == 0;
        Self {
            opens_at: ms(rng, lasts.as_millis() as u64 * 3 / 4),
            pace,
            burst: draw::of(rng, &[(4, 1..2), (4, 2..3), (2, 3..21)]) as usize,
            spacing: rng.bool().then(|| ms(rng, 40)),
            gap_ms: draw::of(rng, &[(2, 1..60), (3, 60..500), (2, 500..3_000)]),
            bookings_in_100: draw::choose(rng, &[(3, 0), (3, 20), (1, 100)]),
            goes_on_after_close: rng.u32(0..3) == 0,
            sends_for: draw::choose(rng, &[(1, lasts / 8), (3, lasts)]),
            leaves_at: leaves.then(|| ms(rng, lasts.as_millis() as u64)),
            slow_read: slow.then(|| rng.usize(500..20_000)),
            memory_bytes: in_memory
                .then(|| draw::of(rng, &[(1, 64..200), (2, 1_000..80_000)]) as usize),
        }
    }
}

/// A caller at work.
pub(super) struct Caller {
    history: Rc<History>,
    connection: usize,
    habit: Habit,
    seed: u64,
    /// The ids of the requests that it has begun to send, in their order.
    begun: RefCell<Vec<usize>>,
    answered: Cell<usize>,
    interim: Cell<usize>,
    is_closing: Cell<bool>,
    progress: Notify,
}

/// Opens a connection at its time and uses it by its habit.
pub(super) async fn run(
    history: Rc<History>,
    (vm, process): (usize, Rc<Process>),
    habit: Habit,
    seed: u64,
) {
    history.wait_until(habit.opens_at).await;
    let Some((reader, writer)) = open(&process, &habit).await else {
        return;
    };
    let connection = history.open_connection(vm);
    if habit.slow_read.is_some() {
        let mut slow_readers = history.slow_readers.borrow_mut();
        slow_readers.insert(connection, Duration::ZERO);
    }
    let caller = Caller {
        connection,
        history,
        habit,
        seed,
        begun: Vec::new().into(),
        answered: Cell::new(0),
        interim: Cell::new(0),
        is_closing: Cell::new(false),
        progress: Notify::new(),
    };
    caller.run(reader, writer).await;
}

async fn open(process: &Process, habit: &Habit) -> Option<(Reader, Writer)> {
    if !process.accepts() {
        return None;
    }
    match habit.memory_bytes {
        Some(bytes) => {
            let stream = process.connect_in_memory(bytes)?;
            let (reader, writer) = tokio::io::split(stream);
            Some((Box::pin(reader), Box::pin(writer)))
        }
        None => {
            let stream = connect(process).await.ok()?;
            let (reader, writer) = stream.into_split();
            Some((Box::pin(reader), Box::pin(writer)))
        }
    }
}

async fn connect(process: &Process) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_nodelay(true)?;
    socket.connect(process.caller_address).await
}

impl Caller {
    async fn run(&self, reader: Reader, mut writer: Writer) {
        let leaving = async {
            match self.habit.leaves_at {
                Some(at) => self.history.wait_until(at.max(self.habit.opens_at)).await,
                None => std::future::pending().await,
            }
        };
        let using = async {
            tokio::join!(self.read_answers(reader), self.send_requests(&mut writer));
        };
        tokio::select! {
            biased;
            () = using => {}
            () = leaving => self.history.end_connection(self.connection, ConnectionEnd::ByCaller),
        }
    }

    async fn send_requests(&self, writer: &mut Writer) {
        let mut rng = Rng::with_seed(self.seed);
        let until = self.habit.opens_at + self.habit.sends_for;
        while self.history.now() < until {
            let count = rng.usize(1..=self.habit.burst);
            if self.may_send() && !self.send_burst(writer, &mut rng, count).await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(rng.u64(1..=self.habit.gap_ms))).await;
            if self.habit.pace == Pace::AfterAnswers {
                self.wait_until(|| self.unanswered() == 0).await;
            }
        }
    }

    fn may_send(&self) -> bool {
        let is_ended = self.history.connections.borrow()[self.connection].is_some();
        !(is_ended || self.is_closing.get()) || self.habit.goes_on_after_close
    }

    fn unanswered(&self) -> usize {
        match self.is_closing.get() {
            true => 0,
            false => self.begun.borrow().len() - self.answered.get(),
        }
    }

    async fn wait_until(&self, mut holds: impl FnMut() -> bool) {
        loop {
            let progress = self.progress.notified();
            if holds() {
                return;
            }
            progress.await;
        }
    }

    /// Sends requests, all at once or one after the other; returns whether the connection takes more.
    async fn send_burst(&self, writer: &mut Writer, rng: &mut Rng, count: usize) -> bool {
        for _ in 0..count {
            let plan = RequestPlan::draw(rng, self.habit.bookings_in_100);
            let id = self.history.begin_request(self.connection, &plan);
            self.begun.borrow_mut().push(id);
            if !self.send(writer, &plan, id).await {
                return false;
            }
            if let Some(spacing) = self.habit.spacing {
                tokio::time::sleep(spacing.mul_f64(rng.f64())).await;
            }
        }
        true
    }

    /// Sends a request; returns whether the connection takes more.
    async fn send(&self, writer: &mut Writer, plan: &RequestPlan, id: usize) -> bool {
        let interim = self.interim.get();
        if writer
            .write_all(&plan.head(&self.history.name_of(id)))
            .await
            .is_err()
        {
            return false;
        }
        if plan.expects_continue() {
            let continued =
                self.wait_until(|| self.interim.get() > interim || self.is_closing.get());
            let _ = tokio::time::timeout(CONTINUE_WAIT, continued).await;
        }
        for (pause, part) in plan.body_parts() {
            tokio::time::sleep(pause).await;
            if writer.write_all(&part).await.is_err() {
                return false;
            }
        }
        self.history.finish_request(id);
        true
    }

    async fn read_answers(&self, mut reader: Reader) {
        let mut bytes = Vec::new();
        loop {
            while let Some(answer) = super::answers::take(&mut bytes) {
                self.record(answer);
            }
            let read = match self.habit.slow_read {
                None => reader.read_buf(&mut bytes).await,
                Some(most) => self.read_slowly(&mut reader, &mut bytes, most).await,
            };
            if !matches!(read, Ok(read) if read > 0) {
                break;
            }
        }
        self.history
            .end_connection(self.connection, ConnectionEnd::ByVm);
        self.is_closing.set(true);
        self.progress.notify_waiters();
    }

    /// Reads at most so many bytes after a pause, and notes when it had to wait for them.
    async fn read_slowly(
        &self,
        reader: &mut Reader,
        bytes: &mut Vec<u8>,
        most: usize,
    ) -> std::io::Result<usize> {
        tokio::time::sleep(SLOW_READ_INTERVAL).await;
        let asked_at = self.history.now();
        let read = reader.take(most as u64).read_buf(bytes).await;
        let now = self.history.now();
        if now > asked_at {
            let mut slow_readers = self.history.slow_readers.borrow_mut();
            slow_readers.insert(self.connection, now);
        }
        read
    }

    fn record(&self, answer: super::answers::Answer) {
        if answer.status < 200 {
            self.interim.update(|interim| interim + 1);
            self.progress.notify_waiters();
            return;
        }
        let place = self.answered.get();
        let id = self.begun.borrow().get(place).copied();
        let id = id.expect("an answer to a request");
        let is_of_server = answer.has("x-signed", "s");
        let is_whole = !is_of_server || answer.body == body_of(id, answer.body.len()).as_bytes();
        let seen = SeenAnswer {
            at: self.history.now(),
            status: answer.status,
            closes: answer.has("connection", "close"),
            is_of_server,
            is_own: is_whole
                && (answer.has("x-id", &self.history.name_of(id)) || answer.is_unreadable()),
        };
        if seen.closes {
            self.is_closing.set(true);
        }
        self.history.requests.borrow_mut()[id].answer = Some(seen);
        self.answered.set(place + 1);
        self.progress.notify_waiters();
    }
}
