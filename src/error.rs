//! The error of this crate: what failed, where, and of which category.

use std::fmt;

use quick_error::quick_error;

/// Result with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Broad class of an error, for callers that decide whether to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The input is wrong; a retry cannot help.
    Input,
    /// A peer, an endpoint or the platform did not answer; the outcome is unknown.
    Io,
    /// The operation is not allowed in the present state.
    State,
    /// A platform service refused the request.
    Platform,
}

/// Where in a document an error lies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// File or service.
    pub source: String,
    /// Line from 1, or 0 where there is none.
    pub line: usize,
    /// Column from 1, or 0 where there is none.
    pub column: usize,
}

impl Location {
    /// A place without line and column.
    pub fn without_line(source: &str) -> Self {
        Self { source: source.to_owned(), line: 0, column: 0 }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => f.write_str(&self.source),
            _ => write!(f, "{}:{}:{}", self.source, self.line, self.column),
        }
    }
}

quick_error! {
    /// What failed, where, and of which category.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The input is wrong.
        Input(place: Location, reason: String) {
            display("{}: {}", place, reason)
        }
        /// No answer, or a broken one.
        Io(place: Location, reason: String) {
            display("{}: {}", place, reason)
        }
        /// Not allowed in the present state.
        State(place: Location, reason: String) {
            display("{}: {}", place, reason)
        }
        /// A platform service refused the request.
        Platform(place: Location, reason: String) {
            display("{}: {}", place, reason)
        }
    }
}

impl Error {
    /// An input error at a source without line and column.
    pub fn input(source: &str, reason: impl fmt::Display) -> Self {
        Self::Input(Location::without_line(source), reason.to_string())
    }

    /// An I/O error; the outcome of the operation is unknown.
    pub fn io(source: &str, reason: impl fmt::Display) -> Self {
        Self::Io(Location::without_line(source), reason.to_string())
    }

    /// A state error.
    pub fn state(source: &str, reason: impl fmt::Display) -> Self {
        Self::State(Location::without_line(source), reason.to_string())
    }

    /// A refusal by a platform service.
    pub fn platform(source: &str, reason: impl fmt::Display) -> Self {
        Self::Platform(Location::without_line(source), reason.to_string())
    }

    /// The category of the error.
    pub fn category(&self) -> Category {
        match self {
            Self::Input(..) => Category::Input,
            Self::Io(..) => Category::Io,
            Self::State(..) => Category::State,
            Self::Platform(..) => Category::Platform,
        }
    }
}
