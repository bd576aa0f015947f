//! The outcome of a command: its exit code and what it prints.

/// The exit codes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// The command succeeded.
    Success = 0,
    /// The store or a VM refused or was not reached, and nothing was done.
    Failed = 1,
    /// The command line or the manifest is invalid.
    InvalidInput = 2,
    /// Another operator's apply was accepted first.
    Conflict = 3,
    /// Whether the command took effect is unknown.
    Unknown = 4,
    /// The compared manifests, or the VMs of the fleet, differ.
    Differs = 5,
}

/// The outcome of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// The exit code.
    pub code: Code,
    /// The text for standard output, plain or JSON.
    pub out: String,
    /// The text for standard error.
    pub err: String,
}

impl Outcome {
    /// Builds a success with an output.
    pub fn success(out: impl Into<String>) -> Self {
        Self {
            code: Code::Success,
            out: out.into(),
            err: String::new(),
        }
    }

    /// Builds a failure with a code and an error text.
    pub fn failure(code: Code, err: impl Into<String>) -> Self {
        Self {
            code,
            out: String::new(),
            err: err.into(),
        }
    }

    /// Builds an outcome with a code and an output.
    pub fn with_code(code: Code, out: impl Into<String>) -> Self {
        Self {
            code,
            ..Self::success(out)
        }
    }
}
