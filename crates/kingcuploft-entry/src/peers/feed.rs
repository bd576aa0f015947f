//! Feeds one follower: sends a snapshot of what it lacks, then each change. Long writes go to a few followers at a
//! time.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::change_assembly::AssemblyProgress;
use kingcuploft::entry::configuration::ConfigurationVersion;
use kingcuploft::entry::server_table::ServerTable;
use kingcuploft::planted::{self, PlantedFault};
use tokio::io::AsyncWrite;
use tokio::sync::SemaphorePermit;

use super::followers::{Line, Outgoing, Queue};
use super::frame::{
    FIRST_VERSION_WITH_EVACUATIONS, FIRST_VERSION_WITH_NOTICES, FIRST_VERSION_WITH_PARTS,
    FIRST_VERSION_WITH_RETURNS, FIRST_VERSION_WITH_SERVERS_GONE, FIRST_VERSION_WITH_WORKSPACES,
    Frame, Hello, ProtocolVersion,
};
use super::line_writer::{timed_out, write_line};
use super::sync_status::sync_status;
use crate::clock;
use crate::context::Context;
use crate::evacuation;
use crate::notices;
use crate::store_access::StoreAccess;
use crate::store_watcher;

/// The time between two heartbeats. A follower leaves a feeder whose heartbeats stay out for a bit more than two
/// intervals.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// How long a follower is kept waiting by a VM that is not synchronized itself.
const SYNC_TIMEOUT: Duration = Duration::from_secs(3);

/// The least size of a write that waits for a permit.
const LONG_WRITE_BYTES: usize = 16 * 1024;

/// The digest of a table without servers.
const NO_SERVERS: u64 = 0;

/// The number of servers in a part of the table of all. A VM that joins keeps one part in memory at a time, beside the
/// servers themselves.
const SERVERS_PER_PART: usize = 500;

/// What a follower lacks of the backend servers.
enum MissingServers {
    /// Nothing.
    None,
    /// All: it knows none. The parts hold all of them.
    All(Rc<Vec<Line>>),
    /// Some: it is sent the whole table, as servers that it knows may be gone.
    Some(Line),
}

/// The link to one follower.
pub(super) struct Feed<'a, W> {
    context: &'a Rc<Context>,
    store_access: &'a StoreAccess,
    stream: W,
    protocol_version: ProtocolVersion,
    /// The version of the configuration that the follower has.
    version: Option<ConfigurationVersion>,
    /// Which parts of the next configuration it has.
    arrived: Option<AssemblyProgress>,
}

impl<'a, W: AsyncWrite + Unpin> Feed<'a, W> {
    pub(super) fn new(
        context: &'a Rc<Context>,
        store_access: &'a StoreAccess,
        hello: &Hello,
        stream: W,
    ) -> Self {
        Self {
            context,
            store_access,
            stream,
            protocol_version: hello.protocol_version,
            version: hello.version,
            arrived: hello.arrived,
        }
    }

    /// Sends a snapshot and then all changes, until the link ends.
    pub(super) async fn run(mut self, hello: &Hello, mut queue: Queue) -> std::io::Result<()> {
        if !sync_status(self.context, self.store_access).is_complete() {
            let synced = tokio::time::timeout(SYNC_TIMEOUT, self.wait_until_synced());
            synced.await.map_err(|_| timed_out())??;
            // The snapshot includes what was queued meanwhile.
            queue.clear();
        }
        self.send_snapshot(hello).await?;
        while let Some(outgoing) = queue.next().await {
            match outgoing {
                Outgoing::Line(line) => write_line(&mut self.stream, &line).await?,
                Outgoing::Alive(_) if self.supports_parts() => self.send(&Frame::Alive).await?,
                Outgoing::Alive(line) => write_line(&mut self.stream, &line).await?,
                Outgoing::NewerVersion(version) if self.supports_parts() => {
                    self.send(&Frame::NewerVersion(version)).await?;
                }
                Outgoing::NewerVersion(_) => {}
                Outgoing::Configuration => self.send_configuration().await?,
                Outgoing::SinceVersion(version, line) if self.protocol_version >= version => {
                    write_line(&mut self.stream, &line).await?;
                }
                Outgoing::SinceVersion(..) => {}
                Outgoing::ByVersion {
                    since,
                    line,
                    before,
                } => {
                    let is_understood = self.protocol_version >= since;
                    let lines = if is_understood { line } else { before };
                    write_line(&mut self.stream, &lines).await?;
                }
            }
        }
        Ok(())
    }

    fn supports_parts(&self) -> bool {
        self.protocol_version >= FIRST_VERSION_WITH_PARTS
    }

    /// Sends all that the follower lacks.
    pub(super) async fn send_snapshot(&mut self, hello: &Hello) -> std::io::Result<()> {
        let own = sync_status(self.context, self.store_access);
        let servers = self.missing_servers(hello);
        let mut snapshot = Frame::Status(own).to_line();
        let records = self.context.readers.borrow().records();
        snapshot.extend(Frame::Zones(records).to_line());
        if let Some(ago) = self.outage_ended_ago() {
            snapshot.extend(Frame::StoreReturnedAgo(ago.as_millis() as u64).to_line());
        }
        if self.protocol_version >= FIRST_VERSION_WITH_EVACUATIONS {
            let frame = match planted::is_on(PlantedFault::JoinersLackEvacuations) {
                true => Frame::Evacuations(Vec::new()),
                false => evacuation::to_frame(self.context),
            };
            snapshot.extend(frame.to_line());
        }
        if self.protocol_version >= FIRST_VERSION_WITH_NOTICES {
            let notices = notices::stored(self.context);
            snapshot.extend(Frame::AllNotices(notices).to_line());
        }
        write_line(&mut self.stream, &snapshot).await?;
        self.request_newer_configuration(hello).await?;
        self.send_configuration().await?;
        match servers {
            MissingServers::None => {}
            MissingServers::All(parts) => {
                self.write_throttled(&parts).await?;
                self.send(&Frame::ServersListed).await?;
            }
            MissingServers::Some(table) => self.write_throttled(&[table]).await?,
        }
        self.send(&Frame::SnapshotEnd).await
    }

    /// Returns how long ago an outage of the store ended, if it has just ended and the follower understands it.
    ///
    /// Failure: a VM that joins at that moment takes servers that are missing in the table for gone, though their entries
    /// have expired in the outage and they are about to write them again.
    fn outage_ended_ago(&self) -> Option<Duration> {
        let ago = self
            .context
            .with_servers(|servers| servers.returned_ago(clock::now()));
        ago.filter(|_| self.protocol_version >= FIRST_VERSION_WITH_RETURNS)
    }

    /// Returns what a follower lacks of the backend servers.
    fn missing_servers(&self, hello: &Hello) -> MissingServers {
        let context = self.context;
        let digest = context.with_servers(|servers| servers.digest());
        let followers = &context.followers;
        if hello.servers.is_some() && hello.servers_digest == Some(digest) {
            return MissingServers::None;
        }
        let takes_parts = self.protocol_version >= FIRST_VERSION_WITH_SERVERS_GONE;
        match takes_parts && hello.servers.is_none() && hello.servers_digest == Some(NO_SERVERS) {
            true => MissingServers::All(followers.server_parts(|| all_servers_parts(context))),
            false => MissingServers::Some(followers.server_snapshot(|| all_servers_line(context))),
        }
    }

    /// Asks a follower for its configuration if that is newer.
    ///
    /// Failure: the store is restored from an older copy, and a VM starts and reads it before the operator has written
    /// the configuration again. Its followers know the newer one.
    async fn request_newer_configuration(&mut self, hello: &Hello) -> std::io::Result<()> {
        let Some(newer) = hello
            .version
            .filter(|v| Some(*v) > self.context.active_configuration.version())
        else {
            return Ok(());
        };
        store_watcher::note_configuration_version(self.context, newer);
        match self.protocol_version >= FIRST_VERSION_WITH_EVACUATIONS {
            true => self.send(&Frame::ConfigurationRequest).await,
            false => Ok(()),
        }
    }

    /// Sends the follower heartbeats until this VM is synchronized.
    async fn wait_until_synced(&mut self) -> std::io::Result<()> {
        loop {
            self.send(&Frame::Wait).await?;
            let complete = tokio::time::timeout(
                HEARTBEAT_INTERVAL,
                wait_until_complete(self.context, self.store_access),
            );
            if complete.await.is_ok() {
                return Ok(());
            }
        }
    }

    /// Sends the changes that lead from the follower's configuration to the one in force, without the parts that it
    /// already has; the whole configuration to a follower of an earlier release.
    async fn send_configuration(&mut self) -> std::io::Result<()> {
        let Some(current) = self.context.configuration() else {
            return Ok(());
        };
        if self
            .version
            .is_some_and(|version| version >= current.version)
        {
            return Ok(());
        }
        if current.workspaces.is_some() && self.protocol_version < FIRST_VERSION_WITH_WORKSPACES {
            return Ok(());
        }
        if !self.supports_parts() {
            self.version = Some(current.version);
            let full = Frame::Configuration(Box::new((*current).clone())).to_line();
            return write_line(&mut self.stream, &full).await;
        }
        self.send(&Frame::NewerVersion(current.version)).await?;
        let arrived = self.arrived.take();
        for change in self
            .context
            .active_configuration
            .changes_since(self.version)
        {
            let progress =
                arrived.filter(|progress| (progress.from, progress.to) == (change.from, change.to));
            let parts = self.context.followers.change_lines(&change);
            let skipped = progress.map_or(0, |progress| progress.parts as usize);
            let left = parts.get(skipped..).unwrap_or_default();
            self.write_throttled(left).await?;
            self.version = Some(change.to);
        }
        Ok(())
    }

    /// Writes lines. If they are long together, waits for a permit first.
    async fn write_throttled(&mut self, lines: &[Line]) -> std::io::Result<()> {
        let bytes: usize = lines.iter().map(|line| line.len()).sum();
        let permit = match bytes >= LONG_WRITE_BYTES {
            true => Some(self.long_write_permit().await?),
            false => None,
        };
        for line in lines {
            write_line(&mut self.stream, line).await?;
        }
        drop(permit);
        Ok(())
    }

    /// Returns a permit for a long write; sends the follower heartbeats while it waits for one.
    async fn long_write_permit(&mut self) -> std::io::Result<SemaphorePermit<'a>> {
        let permit = self.context.followers.long_writes.acquire();
        tokio::pin!(permit);
        loop {
            tokio::select! {
                biased;
                permit = &mut permit => return permit.map_err(|_| timed_out()),
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
            }
            let alive = match self.supports_parts() {
                true => Frame::Alive.to_line(),
                false => Vec::new(),
            };
            write_line(&mut self.stream, &alive).await?;
        }
    }

    async fn send(&mut self, frame: &Frame) -> std::io::Result<()> {
        write_line(&mut self.stream, &frame.to_line()).await
    }
}

/// Returns once this VM has synchronized all that requests are routed by.
async fn wait_until_complete(context: &Context, store_access: &StoreAccess) {
    loop {
        let advanced = context.position_advanced.notified();
        if sync_status(context, store_access).is_complete() {
            return;
        }
        advanced.await;
    }
}

/// Encodes the entries of all backend servers in parts.
fn all_servers_parts(context: &Context) -> Vec<Line> {
    context.with_servers(|servers| {
        let servers: Vec<&BackendServer> = servers.present().collect();
        let parts = servers.chunks(SERVERS_PER_PART);
        let tables = parts.map(|part| ServerTable::from_servers(part.iter().copied()));
        tables
            .map(|table| Rc::new(Frame::Servers(table).to_line()))
            .collect()
    })
}

/// Encodes the entries of all backend servers.
fn all_servers_line(context: &Context) -> Vec<u8> {
    let table = context.with_servers(|servers| ServerTable::from_servers(servers.present()));
    Frame::AllServers(table).to_line()
}
