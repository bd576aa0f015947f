//! What one follower is told: all that it lacks, then each change, what is long only to a few at a time.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::change_assembly::AssemblyProgress;
use kingcuploft::entry::configuration::ConfigurationVersion;
use kingcuploft::entry::server_table::ServerTable;
use kingcuploft::planted::{self, Planted};
use tokio::io::AsyncWrite;
use tokio::sync::SemaphorePermit;

use super::followers::{Line, Outgoing, Queue};
use super::frame::{Frame, Hello, Release, TAKES_EVACUATIONS, TAKES_NOTICES, TAKES_PARTS};
use super::standing::standing;
use super::writing::{timed_out, write};
use crate::context::Context;
use crate::evacuation;
use crate::keeper;
use crate::notices;
use crate::pulse::Pulse;

/// The time between two heartbeats. A follower that misses two and a bit leaves.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(250);

/// How long a follower is kept waiting by a VM that knows nothing itself.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// From how many bytes on a follower waits for its turn.
const LONG_BYTES: usize = 16 * 1024;

/// A link to a follower.
pub(super) struct Feed<'a, W> {
    context: &'a Rc<Context>,
    pulse: &'a Pulse,
    stream: W,
    speaks: Release,
    /// The version that the follower has.
    version: Option<ConfigurationVersion>,
    arrived: Option<AssemblyProgress>,
}

impl<'a, W: AsyncWrite + Unpin> Feed<'a, W> {
    pub(super) fn new(
        context: &'a Rc<Context>,
        pulse: &'a Pulse,
        hello: &Hello,
        stream: W,
    ) -> Self {
        Self {
            context,
            pulse,
            stream,
            speaks: hello.speaks,
            version: hello.version,
            arrived: hello.arrived,
        }
    }

    /// Tells a follower all that it lacks, and then what this VM hears, until the link ends.
    pub(super) async fn run(mut self, hello: &Hello, mut queue: Queue) -> std::io::Result<()> {
        if !standing(self.context, self.pulse).is_whole() {
            let whole = tokio::time::timeout(LONGEST_WAIT, self.keep_waiting());
            whole.await.map_err(|_| timed_out())??;
            // What queued up meanwhile is in the account.
            queue.clear();
        }
        self.greet(hello).await?;
        while let Some(outgoing) = queue.next().await {
            match outgoing {
                Outgoing::Line(line) => write(&mut self.stream, &line).await?,
                Outgoing::Alive(_) if self.takes_parts() => self.tell(&Frame::Alive).await?,
                Outgoing::Alive(line) => write(&mut self.stream, &line).await?,
                Outgoing::Newer(version) if self.takes_parts() => {
                    self.tell(&Frame::Newer(version)).await?;
                }
                Outgoing::Newer(_) => {}
                Outgoing::Configuration => self.configuration().await?,
                Outgoing::Since(release, line) if self.speaks >= release => {
                    write(&mut self.stream, &line).await?;
                }
                Outgoing::Since(..) => {}
            }
        }
        Ok(())
    }

    fn takes_parts(&self) -> bool {
        self.speaks >= TAKES_PARTS
    }

    async fn greet(&mut self, hello: &Hello) -> std::io::Result<()> {
        let own = standing(self.context, self.pulse);
        let digest = self.context.servers(|servers| servers.digest());
        let knows_servers = hello.servers.is_some() && hello.servers_digest == Some(digest);
        let context = self.context;
        let servers = (!knows_servers).then(|| context.followers.account(|| servers(context)));
        let mut greeting = Frame::Standing(own).to_line();
        let records = self.context.readers.borrow().records();
        greeting.extend(Frame::Zones(records).to_line());
        if self.speaks >= TAKES_EVACUATIONS {
            let frame = match planted::is_on(Planted::JoinersLackEvacuations) {
                true => Frame::Evacuations(Vec::new()),
                false => evacuation::frame(self.context),
            };
            greeting.extend(frame.to_line());
        }
        if self.speaks >= TAKES_NOTICES {
            let notices = notices::stored(self.context);
            greeting.extend(Frame::AllNotices(notices).to_line());
        }
        write(&mut self.stream, &greeting).await?;
        self.ask_for_newer(hello).await?;
        self.configuration().await?;
        if let Some(servers) = servers {
            self.write_in_turn(&[servers]).await?;
        }
        self.tell(&Frame::Told).await
    }

    /// Asks a follower for its configuration that knows a newer one.
    ///
    /// Failure: the store came back from a copy, a VM starts and reads it before the operator has written the configuration again.
    async fn ask_for_newer(&mut self, hello: &Hello) -> std::io::Result<()> {
        let Some(newer) = hello
            .version
            .filter(|v| Some(*v) > self.context.in_force.version())
        else {
            return Ok(());
        };
        keeper::configuration_exists(self.context, newer);
        match self.speaks >= TAKES_EVACUATIONS {
            true => self.tell(&Frame::Lacks).await,
            false => Ok(()),
        }
    }

    /// Tells the follower that this VM is alive, until it knows all.
    async fn keep_waiting(&mut self) -> std::io::Result<()> {
        loop {
            self.tell(&Frame::Wait).await?;
            let knows = tokio::time::timeout(HEARTBEAT, knows_all(self.context, self.pulse));
            if knows.await.is_ok() {
                return Ok(());
            }
        }
    }

    /// Tells the follower what leads from its configuration to the one in force.
    async fn configuration(&mut self) -> std::io::Result<()> {
        let Some(current) = self.context.configuration() else {
            return Ok(());
        };
        if self
            .version
            .is_some_and(|version| version >= current.version)
        {
            return Ok(());
        }
        if !self.takes_parts() {
            self.version = Some(current.version);
            let whole = Frame::Configuration(Box::new((*current).clone())).to_line();
            return write(&mut self.stream, &whole).await;
        }
        self.tell(&Frame::Newer(current.version)).await?;
        let arrived = self.arrived.take();
        for change in self.context.in_force.since(self.version) {
            let has = arrived.filter(|has| (has.from, has.to) == (change.from, change.to));
            let parts = self.context.followers.parts(&change);
            let missing = has.map_or(0, |has| has.parts as usize).min(parts.len());
            self.write_in_turn(&parts[missing..]).await?;
            self.version = Some(change.to);
        }
        Ok(())
    }

    /// Writes lines; where they are long together, after others that are being written to.
    async fn write_in_turn(&mut self, lines: &[Line]) -> std::io::Result<()> {
        let bytes: usize = lines.iter().map(|line| line.len()).sum();
        let turn = match bytes >= LONG_BYTES {
            true => Some(self.turn().await?),
            false => None,
        };
        for line in lines {
            write(&mut self.stream, line).await?;
        }
        drop(turn);
        Ok(())
    }

    /// Waits until few others are written to, and tells the follower meanwhile that this VM is alive.
    async fn turn(&mut self) -> std::io::Result<SemaphorePermit<'a>> {
        let turn = self.context.followers.turns.acquire();
        tokio::pin!(turn);
        loop {
            tokio::select! {
                biased;
                turn = &mut turn => return turn.map_err(|_| timed_out()),
                () = tokio::time::sleep(HEARTBEAT) => {}
            }
            let alive = match self.takes_parts() {
                true => Frame::Alive.to_line(),
                false => Vec::new(),
            };
            write(&mut self.stream, &alive).await?;
        }
    }

    async fn tell(&mut self, frame: &Frame) -> std::io::Result<()> {
        write(&mut self.stream, &frame.to_line()).await
    }
}

async fn knows_all(context: &Context, pulse: &Pulse) {
    loop {
        let moved = context.moved.notified();
        if standing(context, pulse).is_whole() {
            return;
        }
        moved.await;
    }
}

/// Writes all backend servers that have entries.
fn servers(context: &Context) -> Vec<u8> {
    let table = context.servers(|servers| ServerTable::from_servers(servers.present()));
    Frame::AllServers(table).to_line()
}
