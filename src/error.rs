//! Error type of this crate: what failed, where, and its category.

use std::fmt;

use quick_error::quick_error;

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Category of an error, by which callers decide whether to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The input is invalid; a retry fails again.
    Input,
    /// A peer, an endpoint or the platform did not respond; the outcome is unknown.
    Io,
    /// The operation is not allowed in the current state.
    State,
    /// A platform service rejected the request.
    Platform,
}

/// Where an error occurred: a position in a file, or a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Name of the file or service.
    pub source: String,
    /// Line number, starting at 1; 0 if unknown.
    pub line: usize,
    /// Column number, starting at 1; 0 if unknown.
    pub column: usize,
}

impl Location {
    /// Creates a location without line and column.
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
    /// Error with its location and reason; the variant is the category.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The input is invalid.
        Input(place: Location, reason: String) {
            display("{}: {}", place, reason)
        }
        /// No response, or an incomplete or unreadable one.
        Io(place: Location, reason: String) {
            display("{}: {}", place, reason)
        }
        /// The operation is not allowed in the current state.
        State(place: Location, reason: String) {
            display("{}: {}", place, reason)
        }
        /// A platform service rejected the request.
        Platform(place: Location, reason: String) {
            display("{}: {}", place, reason)
        }
    }
}

impl Error {
    /// Creates an input error without line and column.
    pub fn input(source: &str, reason: impl fmt::Display) -> Self {
        Self::Input(Location::without_line(source), reason.to_string())
    }

    /// Creates an I/O error, after which the outcome of the operation is unknown.
    pub fn io(source: &str, reason: impl fmt::Display) -> Self {
        Self::Io(Location::without_line(source), reason.to_string())
    }

    /// Creates a state error.
    pub fn state(source: &str, reason: impl fmt::Display) -> Self {
        Self::State(Location::without_line(source), reason.to_string())
    }

    /// Creates an error for a request that a platform service rejected.
    pub fn platform(source: &str, reason: impl fmt::Display) -> Self {
        Self::Platform(Location::without_line(source), reason.to_string())
    }

    /// Category of the error.
    pub fn category(&self) -> Category {
        match self {
            Self::Input(..) => Category::Input,
            Self::Io(..) => Category::Io,
            Self::State(..) => Category::State,
            Self::Platform(..) => Category::Platform,
        }
    }
}
