//! A fake backend server: slots, a queue, slow spells and faults.

use std::collections::VecDeque;
use std::time::Duration;

use kingcuploft::utils::HashMap;
use serde::{Deserialize, Serialize};

use super::deployment::SlowSpells;

/// Numbers the jobs of a run.
pub type JobId = u64;

/// A time in which work takes longer.
#[derive(Clone, Copy, Debug)]
pub struct SlowSpell {
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
    /// How many times longer work takes.
    pub factor: f64,
}

/// What the server says of its load.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// The truth at the time the reply leaves.
    Honest,
    /// Always the same figure.
    Always(u32),
    /// Nothing.
    Silent,
}

/// Whether the server answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It works.
    Working,
    /// It answers every request with a 500 at once.
    FailsFast,
    /// Its port is closed; open connections are reset.
    Refuses,
    /// Nothing comes back.
    Gone,
}

/// One job on a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The job's number.
    pub id: JobId,
    /// The slot time it takes on a steady server.
    pub work: Duration,
}

/// A fake backend server.
#[derive(Debug)]
pub struct FakeServer {
    /// How many jobs run at once.
    pub slots: usize,
    /// Whether it answers.
    pub health: Health,
    /// What it says of its load.
    pub report: Report,
    /// Whether its replies say that it drains.
    pub draining: bool,
    /// Beyond this many jobs it refuses, provably without running them.
    pub shed_above: usize,
    /// Open connections that nobody uses now, by VM.
    pub idle_connections: HashMap<usize, u32>,
    /// Slot time that was used.
    pub busy: Duration,
    spells: Vec<SlowSpell>,
    queue: VecDeque<Job>,
    running: HashMap<JobId, Duration>,
}

/// What became of a job that arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobAdmission {
    /// It runs until then.
    Started(Duration),
    /// It waits for a slot.
    Queued,
    /// The server sheds it.
    Shed,
}

impl FakeServer {
    /// Builds a working server; its slow spells are drawn now.
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

    /// Takes a job in.
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

    /// Ends a job; returns the next one and when it ends. `None` where it was cancelled before.
    pub fn finish(&mut self, now: Duration, id: JobId) -> Option<Option<(JobId, Duration)>> {
        let began = self.running.remove(&id)?;
        self.busy += now.saturating_sub(began);
        Some(self.start_next(now))
    }

    /// Cancels a job; returns the one that takes its slot.
    pub fn cancel(&mut self, now: Duration, id: JobId) -> Option<(JobId, Duration)> {
        self.queue.retain(|job| job.id != id);
        self.finish(now, id).flatten()
    }

    /// Forgets every job, as a restart does.
    pub fn drop_all(&mut self) -> Vec<JobId> {
        self.idle_connections.clear();
        let waiting: Vec<JobId> = self.queue.drain(..).map(|job| job.id).collect();
        let running = self.running.drain().map(|(id, _)| id);
        running.chain(waiting).collect()
    }

    /// Returns how many jobs run or wait.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Returns what it reports of its load.
    pub fn load(&self) -> Option<u32> {
        match self.report {
            Report::Honest => Some(self.in_flight() as u32),
            Report::Always(load) => Some(load),
            Report::Silent => None,
        }
    }

    /// Returns how many times longer work takes at a time.
    pub fn factor(&self, at: Duration) -> f64 {
        let covering = self.spells.iter().filter(|s| s.from <= at && at < s.until);
        covering.map(|s| s.factor).fold(1.0, f64::max)
    }

    /// Returns when work that starts at `at` is done, slow spells counted.
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

fn draw_spells(spells: &SlowSpells, duration: Duration, rng: &mut fastrand::Rng) -> Vec<SlowSpell> {
    let mut drawn = Vec::new();
    let mut from = Duration::ZERO;
    loop {
        from += spells.every.mul_f64(-(1.0 - rng.f64()).ln());
        if from >= duration {
            return drawn;
        }
        let (shortest, longest) = spells.lasting;
        let until = from + shortest + (longest - shortest).mul_f64(rng.f64());
        drawn.push(SlowSpell {
            from,
            until,
            factor: spells.factor,
        });
        from = until;
    }
}
