//! The names of one kind that have a label of their own in metrics. Their number and length are bounded, whatever names there
//! are.

use std::cell::RefCell;
use std::collections::HashSet;

/// The label of names without one of their own.
pub(crate) const OTHER_NAMES: &str = "other";

/// The most names with a label of their own.
const MAX_NAMES: usize = 64;

/// The most bytes of a label: it stands in each line of a histogram.
const MAX_LABEL_BYTES: usize = 256;

/// The names with a label of their own.
#[derive(Debug, Default)]
pub(crate) struct LabelNames {
    known: RefCell<HashSet<String>>,
}

impl LabelNames {
    /// Returns the label of a name; the first names get their own.
    pub(crate) fn label(&self, name: &str) -> String {
        let mut known = self.known.borrow_mut();
        if name.len() <= MAX_LABEL_BYTES && known.len() < MAX_NAMES && !known.contains(name) {
            known.insert(name.to_owned());
        }
        match known.contains(name) {
            true => name.to_owned(),
            false => OTHER_NAMES.to_owned(),
        }
    }
}
