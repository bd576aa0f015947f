//! The order in which one VM considers the servers of a service, and the few of them that it chooses from.
//!
//! Load pattern: thousands of servers stand behind a service, and each of hundreds of small VMs gets a request a second.
//! A VM that looks at every server for each request takes longer to choose than to do all the rest, and longer again
//! with every server that is added. So each VM ranks the servers of a service once, differently from other VMs, and a
//! request looks at the first of them that suit it. The VMs together use all servers, and each keeps using the same few,
//! to which it has open connections.

#![expect(
    clippy::indexing_slicing,
    reason = "grades are below their number, positions within the list"
)]

use super::probe_fanout::MAX_PROBED;

/// Maximum number of near servers on a shortlist: no request probes more.
const MAX_NEAR: usize = MAX_PROBED;

/// Maximum number of far servers on a shortlist: several times as many as a request probes, as the cheapest to probe are
/// taken.
const MAX_FAR: usize = 4 * MAX_PROBED;

/// Number of servers of each distance that are looked at, as long as they include one that the request may be sent to:
/// several times as many as a shortlist holds, so that it is full where one in four suits.
const MAX_LOOKS: usize = 4 * MAX_FAR;

/// Where a server is, as seen from the VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Distance {
    /// In the VM's availability zone.
    Near,
    /// In another zone.
    Far,
}

/// How well a server suits a request, by what is known without asking the server. The best that is found counts, and
/// those of the others are left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suitability {
    /// It may get the request.
    Suitable,
    /// The same, but it runs a request under which other servers have crashed.
    RunsSuspect,
    /// It does not answer probes, or was sent the request before.
    Doubtful,
    /// Both.
    DoubtfulRunsSuspect,
    /// It must not get the request.
    Unusable,
}

/// The number of grades below [`Suitability::Unusable`].
const GRADES: usize = 4;

impl Suitability {
    fn grade(self) -> Option<usize> {
        match self {
            Self::Suitable => Some(0),
            Self::RunsSuspect => Some(1),
            Self::Doubtful => Some(2),
            Self::DoubtfulRunsSuspect => Some(3),
            Self::Unusable => None,
        }
    }
}

/// A server and its place in the VM's order.
#[derive(Clone, Debug)]
struct Ranked<S> {
    rank: u64,
    server: S,
}

/// The servers of one service in a VM's order: those of its zone first, each distance by rank.
#[derive(Clone, Debug)]
pub struct ServerOrder<S> {
    near: Vec<Ranked<S>>,
    far: Vec<Ranked<S>>,
}

impl<S> Default for ServerOrder<S> {
    fn default() -> Self {
        Self {
            near: Vec::new(),
            far: Vec::new(),
        }
    }
}

/// The servers that a request chooses from, in the VM's order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shortlist<S> {
    /// Those of the VM's zone.
    pub near: Vec<S>,
    /// Those of the other zones.
    pub far: Vec<S>,
}

impl<S> Default for Shortlist<S> {
    fn default() -> Self {
        Self {
            near: Vec::new(),
            far: Vec::new(),
        }
    }
}

impl<S: Clone> ServerOrder<S> {
    /// Adds a server.
    pub fn insert(&mut self, distance: Distance, rank: u64, server: S) {
        let of_distance = self.of(distance);
        let at = of_distance.partition_point(|other| other.rank <= rank);
        of_distance.insert(at, Ranked { rank, server });
    }

    /// Adds several servers at once, each with its distance and rank.
    pub fn extend(&mut self, servers: impl IntoIterator<Item = (Distance, u64, S)>) {
        for (distance, rank, server) in servers {
            self.of(distance).push(Ranked { rank, server });
        }
        for of_distance in [&mut self.near, &mut self.far] {
            of_distance.sort_by_key(|ranked| ranked.rank);
        }
    }

    /// Keeps only the servers that `is_kept` names.
    pub fn retain(&mut self, is_kept: impl Fn(&S) -> bool) {
        for of_distance in [&mut self.near, &mut self.far] {
            of_distance.retain(|ranked| is_kept(&ranked.server));
        }
    }

    /// Removes the server of this rank that `is_meant` recognizes, and returns it.
    pub fn remove(
        &mut self,
        distance: Distance,
        rank: u64,
        is_meant: impl Fn(&S) -> bool,
    ) -> Option<S> {
        let of_distance = self.of(distance);
        let first = of_distance.partition_point(|other| other.rank < rank);
        let same_rank = of_distance[first..].iter();
        let mut same_rank = same_rank.take_while(|other| other.rank == rank);
        let at = same_rank.position(|other| is_meant(&other.server))?;
        Some(of_distance.remove(first + at).server)
    }

    fn of(&mut self, distance: Distance) -> &mut Vec<Ranked<S>> {
        match distance {
            Distance::Near => &mut self.near,
            Distance::Far => &mut self.far,
        }
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns all servers in order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &S> {
        self.near
            .iter()
            .chain(&self.far)
            .map(|ranked| &ranked.server)
    }

    /// Returns the first servers that suit a request best. The number of servers that are looked at does not grow with
    /// the service, unless none of the first may get the request.
    pub fn shortlist(&self, judge: impl Fn(&S) -> Suitability) -> Shortlist<S> {
        let mut near = Found::new(MAX_NEAR);
        near.look_at(&self.near, &judge);
        let mut far = Found::new(MAX_FAR);
        far.look_at(&self.far, &judge);
        let best = (0..GRADES).find(|grade| near.has(*grade) || far.has(*grade));
        match best {
            Some(grade) => Shortlist {
                near: near.take(grade),
                far: far.take(grade),
            },
            None => Shortlist::default(),
        }
    }
}

/// The servers found so far, by grade.
struct Found<S> {
    by_grade: [Vec<S>; GRADES],
    most: usize,
}

impl<S: Clone> Found<S> {
    fn new(most: usize) -> Self {
        Self {
            by_grade: std::array::from_fn(|_| Vec::new()),
            most,
        }
    }

    fn look_at(&mut self, servers: &[Ranked<S>], judge: impl Fn(&S) -> Suitability) {
        for (looks, ranked) in servers.iter().enumerate() {
            let is_long = looks >= MAX_LOOKS && self.by_grade.iter().any(|of| !of.is_empty());
            if is_long || self.by_grade[0].len() >= self.most {
                return;
            }
            let Some(grade) = judge(&ranked.server).grade() else {
                continue;
            };
            if self.by_grade[grade].len() < self.most {
                self.by_grade[grade].push(ranked.server.clone());
            }
        }
    }

    fn has(&self, grade: usize) -> bool {
        !self.by_grade[grade].is_empty()
    }

    fn take(&mut self, grade: usize) -> Vec<S> {
        std::mem::take(&mut self.by_grade[grade])
    }
}
