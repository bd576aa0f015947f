//! The settings file, which may be read while it is being written.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use crate::clock;
use crate::fields::SettingsError;
use crate::settings::EntrySettings;

/// How long a file without an end of its last line must stay the same to count as whole: many times what a writer takes
/// between two lines.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Parses the text of a settings file; the path stands in errors only.
pub type ParseSettings = fn(&Path, &str) -> Result<EntrySettings, SettingsError>;

/// The settings file of a process.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    parse: ParseSettings,
    unended: RefCell<Option<Unended>>,
}

/// A text whose last line has no end, and since when the file holds it.
#[derive(Debug)]
struct Unended {
    text: String,
    since: Instant,
}

impl SettingsFile {
    /// Names the file; it is not read yet.
    pub fn new(path: PathBuf, parse: ParseSettings) -> Self {
        Self {
            path,
            parse,
            unended: RefCell::default(),
        }
    }

    /// Reads the file. A file whose last line has no end is being written until it has stayed the same for a while.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and where it can the line and the field.
    pub fn read(&self) -> Result<EntrySettings, SettingsError> {
        let text = std::fs::read_to_string(&self.path);
        let text = text.map_err(|error| SettingsError::File(self.path.clone(), error))?;
        if !text.ends_with('\n') && !self.has_settled(&text) {
            return Err(SettingsError::Unended(self.path.clone()));
        }
        (self.parse)(&self.path, &text)
    }

    fn has_settled(&self, text: &str) -> bool {
        let mut unended = self.unended.borrow_mut();
        if let Some(known) = unended.as_ref().filter(|known| known.text == text) {
            return clock::since(known.since) >= SETTLE_TIME;
        }
        *unended = Some(Unended {
            text: text.to_owned(),
            since: clock::now(),
        });
        false
    }
}
