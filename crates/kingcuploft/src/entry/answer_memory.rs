//! Decides which answers of servers are given up when the answers in receipt take more memory than the VM has for them.
//!
//! Load pattern: servers in trouble send bytes without end, in a head or a body, to many requests at once, while other
//! servers answer as usual. Each of these answers alone stays within the bound of one answer, and all of them together
//! exceed the VM's memory. So all answers share one account. When it is full, the answer that holds most is given up;
//! long answers whose length was not announced go before the others. Small answers are therefore never given up for
//! large ones, and a part of the account is left to them when complete answers that wait for slow callers take the rest.

use crate::utils::HashMap;

/// The share of the VM's memory that answers may take together: as much as the bodies of requests.
const VM_MEMORY_SHARE: f64 = 0.25;

/// The share of the account that answers above [`SMALL_ANSWER_BYTES`] may take.
const LARGE_ANSWERS_SHARE: f64 = 0.75;

/// The most bytes that a small answer takes in memory.
const SMALL_ANSWER_BYTES: usize = 64 * 1024;

/// Up to how many bytes an answer does not count: a read buffer and as much again, which each connection may take.
pub const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Identifies an answer in the account.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AnswerId(u64);

/// The result of a request for more memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Growth {
    /// The memory is reserved.
    Granted,
    /// Another answer was given up just now; its memory is not released yet.
    AwaitRelease(AnswerId),
    /// Answers that were given up earlier have not released their memory yet.
    AwaitEarlierRelease,
    /// The answer itself must be given up.
    GiveUp,
}

/// Whether the length of an answer is known before its body.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Length {
    /// It was not announced.
    #[default]
    Unknown,
    /// It was announced.
    Announced,
}

/// What becomes of an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Stage {
    /// It is in receipt.
    #[default]
    InReceipt,
    /// It was given up, and has not released its memory.
    GivenUp,
    /// It is complete and waits until it is written to its caller.
    Complete,
}

#[derive(Clone, Copy, Debug, Default)]
struct Holding {
    bytes: usize,
    length: Length,
    stage: Stage,
}

impl Holding {
    /// Returns the place of the answer in the order in which answers are given up; the greatest goes first.
    fn give_up_rank(&self, bytes: usize) -> (bool, usize) {
        let is_open_ended = self.length == Length::Unknown && bytes > SMALL_ANSWER_BYTES;
        (is_open_ended, bytes)
    }
}

/// The memory that the answers of all servers take.
#[derive(Debug)]
pub struct AnswerMemory {
    max_bytes: usize,
    reserved_bytes: usize,
    peak_bytes: usize,
    begun: u64,
    holdings: HashMap<AnswerId, Holding>,
}

impl AnswerMemory {
    /// Creates an empty account for a VM with this much memory.
    pub fn new(vm_memory_bytes: usize) -> Self {
        Self {
            max_bytes: (vm_memory_bytes as f64 * VM_MEMORY_SHARE) as usize,
            reserved_bytes: 0,
            peak_bytes: 0,
            begun: 0,
            holdings: HashMap::default(),
        }
    }

    /// Begins an answer that takes no memory yet.
    pub fn begin(&mut self) -> AnswerId {
        self.begun += 1;
        AnswerId(self.begun)
    }

    /// Records that the length of an answer is announced; returns `false` if an answer of this length never fits.
    pub fn announce(&mut self, id: AnswerId, length_bytes: usize) -> bool {
        if length_bytes > UNCOUNTED_BYTES {
            self.holdings.entry(id).or_default().length = Length::Announced;
        }
        length_bytes <= self.room_for(length_bytes)
    }

    /// Reserves memory for an answer, so that it holds `bytes` in all, or decides which answer is given up.
    pub fn grow_to(&mut self, id: AnswerId, bytes: usize) -> Growth {
        let holding = self.holdings.get(&id).copied().unwrap_or_default();
        if holding.stage == Stage::GivenUp || bytes > self.room_for(bytes) {
            return Growth::GiveUp;
        }
        if bytes <= UNCOUNTED_BYTES.max(holding.bytes) {
            return Growth::Granted;
        }
        let reserved_bytes = self.reserved_bytes - holding.bytes + bytes;
        if reserved_bytes <= self.room_for(bytes) {
            self.holdings.entry(id).or_default().bytes = bytes;
            self.reserved_bytes = reserved_bytes;
            self.peak_bytes = self.peak_bytes.max(reserved_bytes);
            return Growth::Granted;
        }
        if reserved_bytes - self.bytes_of_given_up() <= self.room_for(bytes) {
            return Growth::AwaitEarlierRelease;
        }
        self.give_up_largest(holding.give_up_rank(bytes))
    }

    /// Gives up the answer that goes first, unless the one that asks, which has this rank, goes before it.
    fn give_up_largest(&mut self, asking: (bool, usize)) -> Growth {
        let in_receipt = self.holdings.iter_mut();
        let in_receipt = in_receipt.filter(|(_, holding)| holding.stage == Stage::InReceipt);
        let ranked =
            in_receipt.map(|(id, holding)| (holding.give_up_rank(holding.bytes), *id, holding));
        match ranked.max_by_key(|(rank, id, _)| (*rank, *id)) {
            Some((rank, id, holding)) if rank > asking => {
                holding.stage = Stage::GivenUp;
                Growth::AwaitRelease(id)
            }
            _ => Growth::GiveUp,
        }
    }

    /// Returns whether an answer must be given up.
    pub fn is_given_up(&self, id: AnswerId) -> bool {
        let holding = self.holdings.get(&id);
        holding.is_some_and(|holding| holding.stage == Stage::GivenUp)
    }

    /// Records that an answer is complete: it is not given up any more.
    pub fn complete(&mut self, id: AnswerId) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.stage = Stage::Complete;
        }
    }

    /// Releases the memory of an answer; returns whether it held any.
    pub fn release(&mut self, id: AnswerId) -> bool {
        let released = self.holdings.remove(&id).unwrap_or_default();
        self.reserved_bytes -= released.bytes;
        released.bytes > 0
    }

    /// Returns how many bytes all answers hold.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes
    }

    /// Returns the most bytes that all answers have held at one time.
    pub fn peak_bytes(&self) -> usize {
        self.peak_bytes
    }

    /// Returns how much of the account may be taken when an answer of this size grows.
    fn room_for(&self, bytes: usize) -> usize {
        match bytes > SMALL_ANSWER_BYTES {
            true => (self.max_bytes as f64 * LARGE_ANSWERS_SHARE) as usize,
            false => self.max_bytes,
        }
    }

    fn bytes_of_given_up(&self) -> usize {
        let given_up = self.holdings.values();
        let given_up = given_up.filter(|holding| holding.stage == Stage::GivenUp);
        given_up.map(|holding| holding.bytes).sum()
    }
}
