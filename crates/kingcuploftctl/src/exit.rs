//! How a command ends: its exit code and what it prints.

/// The exit codes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// Done.
    Success = 0,
    /// Not done: the store or a VM refused or was not reached.
    Failed = 1,
    /// The command line or the manifest is wrong.
    InvalidInput = 2,
    /// Another operator's apply came first.
    Conflict = 3,
    /// Whether it was done is not known.
    Unknown = 4,
    /// What was compared differs: two manifests, or the VMs of a fleet.
    Differs = 5,
}

/// How a command ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// The exit code.
    pub code: Code,
    /// For the standard output, in text or JSON.
    pub out: String,
    /// For the standard error.
    pub err: String,
}

impl Outcome {
    /// Ends well with an output.
    pub fn success(out: impl Into<String>) -> Self {
        Self {
            code: Code::Success,
            out: out.into(),
            err: String::new(),
        }
    }

    /// Ends badly with a reason.
    pub fn failure(code: Code, err: impl Into<String>) -> Self {
        Self {
            code,
            out: String::new(),
            err: err.into(),
        }
    }

    /// Ends with a code and an output.
    pub fn with_code(code: Code, out: impl Into<String>) -> Self {
        Self {
            code,
            ..Self::success(out)
        }
    }
}
