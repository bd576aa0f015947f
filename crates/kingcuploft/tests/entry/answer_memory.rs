use kingcuploft::entry::answer_memory::{AnswerId, AnswerMemory, Growth, UNCOUNTED_BYTES};

/// The memory of the VM.
const VM_MEMORY_BYTES: usize = 64 << 20;

/// What all answers may take.
const MAX_BYTES: usize = VM_MEMORY_BYTES / 4;

/// By how many bytes an answer grows at once.
const STEP_BYTES: usize = 64 * 1024;

/// The length of a long answer.
const LONG_BYTES: usize = 4 << 20;

/// Answers that grow by turns.
struct Growing {
    memory: AnswerMemory,
    answers: Vec<(AnswerId, usize)>,
}

impl Growing {
    fn new(count: usize) -> Self {
        let mut memory = AnswerMemory::new(VM_MEMORY_BYTES);
        let answers = (0..count).map(|_| (memory.begin(), 0)).collect();
        Self { memory, answers }
    }

    /// Grows an answer, and releases the one that is given up for it; returns whether it may go on.
    fn grow(&mut self, id: AnswerId, bytes: usize) -> bool {
        loop {
            match self.memory.grow_to(id, bytes) {
                Growth::Granted => return true,
                Growth::GiveUp => {
                    self.give_up(id);
                    return false;
                }
                Growth::AwaitRelease(given_up) => self.give_up(given_up),
                Growth::AwaitEarlierRelease => panic!("all are released"),
            }
        }
    }

    fn give_up(&mut self, id: AnswerId) {
        self.memory.release(id);
        self.answers.retain(|(of, _)| *of != id);
    }

    /// Grows all answers by one step each.
    fn step(&mut self) {
        for at in 0..self.answers.len() {
            if let Some((id, bytes)) = self.answers.get(at).copied() {
                self.answers[at].1 = bytes + STEP_BYTES;
                self.grow(id, bytes + STEP_BYTES);
            }
        }
    }
}

/// Guards against answers without end that together take more than their share of the VM's memory.
#[test]
fn answers_without_end_stay_within_the_account_and_are_given_up() {
    let mut growing = Growing::new(24);
    for _ in 0..300 {
        growing.step();
        assert!(growing.memory.reserved_bytes() <= MAX_BYTES);
    }
    assert!(growing.answers.is_empty());
    assert_eq!(growing.memory.reserved_bytes(), 0);
    let peak_bytes = growing.memory.peak_bytes();
    assert!((MAX_BYTES / 2..=MAX_BYTES).contains(&peak_bytes));
}

/// Guards against small answers that are given up for answers without end.
#[test]
fn small_answers_are_not_given_up_for_answers_without_end() {
    let mut growing = Growing::new(24);
    for _ in 0..300 {
        growing.step();
        let small = growing.memory.begin();
        assert!(growing.grow(small, UNCOUNTED_BYTES + 1));
        assert!(growing.grow(small, STEP_BYTES));
        growing.memory.release(small);
    }
}

/// Guards against a long answer that is given up although answers without end hold the memory.
#[test]
fn a_long_announced_answer_goes_after_answers_of_unknown_length() {
    let mut growing = Growing::new(24);
    let long = growing.memory.begin();
    assert!(growing.memory.announce(long, LONG_BYTES));
    for bytes in (STEP_BYTES..=LONG_BYTES).step_by(STEP_BYTES) {
        growing.step();
        assert!(growing.grow(long, bytes), "{bytes}");
    }
    assert!(!growing.memory.is_given_up(long));
}

/// Guards against an answer that is received although it can never be kept.
#[test]
fn an_answer_that_never_fits_is_given_up_when_it_is_announced() {
    let mut memory = AnswerMemory::new(VM_MEMORY_BYTES);
    for length in [MAX_BYTES, usize::MAX] {
        let id = memory.begin();
        assert!(!memory.announce(id, length));
    }
    let id = memory.begin();
    assert!(memory.announce(id, MAX_BYTES / 2));
    assert_eq!(memory.reserved_bytes(), 0, "nothing has arrived");
}

/// Guards against a complete answer that is lost on its way to its caller, and against small answers without room behind
/// long ones that slow callers hold.
#[test]
fn complete_answers_are_kept_and_leave_room_for_small_ones() {
    let mut growing = Growing::new(0);
    let mut complete = Vec::new();
    loop {
        let id = growing.memory.begin();
        if !growing.grow(id, LONG_BYTES) {
            break;
        }
        growing.memory.complete(id);
        complete.push(id);
    }
    assert!(!complete.is_empty());
    let small = growing.memory.begin();
    assert!(growing.grow(small, STEP_BYTES));
    assert!(complete.iter().all(|id| !growing.memory.is_given_up(*id)));
}

/// Guards against a second answer that is given up although the memory of the first is about to be released.
#[test]
fn one_answer_is_given_up_at_a_time() {
    let mut memory = AnswerMemory::new(VM_MEMORY_BYTES);
    let [first, second, third] = [memory.begin(), memory.begin(), memory.begin()];
    assert_eq!(memory.grow_to(first, MAX_BYTES / 2), Growth::Granted);
    assert_eq!(memory.grow_to(second, MAX_BYTES / 4), Growth::Granted);
    let third_bytes = MAX_BYTES / 8;
    let growth = memory.grow_to(third, third_bytes);
    assert_eq!(growth, Growth::AwaitRelease(first));
    let growth = memory.grow_to(third, third_bytes);
    assert_eq!(growth, Growth::AwaitEarlierRelease);
    assert!(!memory.is_given_up(second));
    assert_eq!(memory.grow_to(first, UNCOUNTED_BYTES), Growth::GiveUp);
    assert!(memory.release(first));
    assert_eq!(memory.grow_to(third, third_bytes), Growth::Granted);
}
