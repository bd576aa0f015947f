//! The simulated backend server: slots, a first-come-first-served queue, slow spells and faults.

use std::collections::VecDeque;
use std::time::Duration;

use kingcuploft::utils::HashMap;
use serde::{Deserialize, Serialize};

use super::deployment::SlowSpells;

/// The number of a job, unique within a run.
pub type JobId = u64;

/// A period in which work takes longer.
#[derive(Clone, Copy, Debug)]
pub struct SlowSpell {
    /// The start, since the start of the run.
    pub from: Duration,
    /// The end, exclusive.
    pub until: Duration,
    /// How many times longer work takes.
    pub factor: f64,
}

/// What the server reports as its load.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// The number of jobs in flight when the reply is sent.
    Honest,
    /// Always the same number, whatever its load.
    Always(u32),
    /// No load.
    Silent,
}

/// How the server reacts to requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It runs them.
    Working,
    /// It answers each with status 500 at once.
    FailsFast,
    /// Its port is closed; open connections are reset.
    Refuses,
    /// It never answers, as if its machine were gone.
    Gone,
}

/// A call or probe that occupies a slot.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The number of the job.
    pub id: JobId,
    /// The slot time that it takes without slow spells.
    pub work: Duration,
}

/// A simulated backend server.
#[derive(Debug)]
pub struct FakeServer {
    /// The number of jobs that run at once.
    pub slots: usize,
    /// How it reacts to requests.
    pub health: Health,
    /// What it reports as its load.
    pub report: Report,
    /// Whether its replies report that it drains.
    pub draining: bool,
    /// The number of jobs, running and queued, from which on it refuses a new one, provably without running it.
    pub shed_above: usize,
    /// The idle connections of each VM, by its index.
    pub idle_connections: HashMap<usize, u32>,
    /// The slot time used so far.
    pub busy: Duration,
    spells: Vec<SlowSpell>,
    queue: VecDeque<Job>,
    running: HashMap<JobId, Duration>,
}

/// What the server does with a job that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobAdmission {
    /// The job runs until this time.
    Started(Duration),
    /// The job waits for a slot.
    Queued,
    /// The job is shed without running.
    Shed,
}

impl FakeServer {
    /// Builds a working server and draws its slow spells.
    pub fn new(slots: u32, spells: Option<SlowSpells>, duration: Duration, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            slots: slots as usize,
            health: Health::Working,
            report: Report::Honest,
            draining: false,
            shed_above: usize::MAX,
            idle_connections: HashMap::default(),
            busy: Duration::ZERO,
            spells: spells.map_or_else(Vec::new, |s| draw_spells(&s, duration, &mut rng)),
            queue: VecDeque::new(),
            running: HashMap::default(),
        }
    }

    /// Adds a slow spell.
    pub fn add_spell(&mut self, spell: SlowSpell) {
        self.spells.push(spell);
    }

    /// Starts, queues or sheds a job.
    pub fn accept(&mut self, now: Duration, job: Job) -> JobAdmission {
        if self.in_flight() >= self.shed_above {
            return JobAdmission::Shed;
        }
        if self.running.len() >= self.slots {
            self.queue.push_back(job);
            return JobAdmission::Queued;
        }
        JobAdmission::Started(self.start(now, job))
    }

    /// Finishes a job and returns the queued job that starts in its slot, if any, with its end. Returns `None` if the
    /// job was cancelled before.
    pub fn finish(&mut self, now: Duration, id: JobId) -> Option<Option<(JobId, Duration)>> {
        let started_at = self.running.remove(&id)?;
        self.busy += now.saturating_sub(started_at);
        Some(self.start_next(now))
    }

    /// Cancels a job and returns the queued job that starts in its slot, if any, with its end.
    pub fn cancel(&mut self, now: Duration, id: JobId) -> Option<(JobId, Duration)> {
        self.queue.retain(|job| job.id != id);
        self.finish(now, id).flatten()
    }

    /// Drops every job and idle connection, as a restart does, and returns the dropped jobs.
    pub fn drop_all(&mut self) -> Vec<JobId> {
        self.idle_connections.clear();
        let waiting: Vec<JobId> = self.queue.drain(..).map(|job| job.id).collect();
        let running = self.running.drain().map(|(id, _)| id);
        running.chain(waiting).collect()
    }

    /// Returns the number of jobs that run or wait for a slot.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Returns the load that it reports, if any.
    pub fn load(&self) -> Option<u32> {
        match self.report {
            Report::Honest => Some(self.in_flight() as u32),
            Report::Always(load) => Some(load),
            Report::Silent => None,
        }
    }

    /// Returns how many times longer work takes at this time; of overlapping slow spells, the slowest counts.
    pub fn factor(&self, at: Duration) -> f64 {
        let covering = self.spells.iter().filter(|s| s.from <= at && at < s.until);
        covering.map(|s| s.factor).fold(1.0, f64::max)
    }

    /// Returns when work that starts at `at` is done, with slow spells taken into account.
    pub fn done_at(&self, mut at: Duration, mut work: Duration) -> Duration {
        loop {
            let factor = self.factor(at);
            let bounds = self.spells.iter().flat_map(|s| [s.from, s.until]);
            let Some(bound) = bounds.filter(|&bound| bound > at).min() else {
                return at + work.mul_f64(factor);
            };
            let needed = work.mul_f64(factor);
            if at + needed <= bound {
                return at + needed;
            }
            work = work.saturating_sub((bound - at).div_f64(factor));
            at = bound;
        }
    }

    fn start_next(&mut self, now: Duration) -> Option<(JobId, Duration)> {
        let job = self.queue.pop_front()?;
        Some((job.id, self.start(now, job)))
    }

    fn start(&mut self, now: Duration, job: Job) -> Duration {
        self.running.insert(job.id, now);
        self.done_at(now, job.work)
    }
}

/// Draws slow spells until the end of the run, with exponential pauses and uniform durations.
fn draw_spells(spells: &SlowSpells, duration: Duration, rng: &mut fastrand::Rng) -> Vec<SlowSpell> {
    let mut drawn = Vec::new();
    let mut from = Duration::ZERO;
    loop {
        from += spells.mean_interval.mul_f64(-(1.0 - rng.f64()).ln());
        if from >= duration {
            return drawn;
        }
        let (shortest, longest) = spells.duration_range;
        let until = from + shortest + (longest - shortest).mul_f64(rng.f64());
        drawn.push(SlowSpell {
            from,
            until,
            factor: spells.factor,
        });
        from = until;
    }
}
