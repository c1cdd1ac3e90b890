//! Numbered log events and numbered result codes.
//!
//! Each package declares its own events and codes with the macros of this package, in a number
//! range of its own. `docs/EVENTS.md` and `docs/CODES.md` list them all; a test in the package
//! `cassiafold` compares the pages with the code.

mod code;
mod event;

pub use code::CodeRow;
pub use event::EventRow;
#[doc(hidden)]
pub use log;
