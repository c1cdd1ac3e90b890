//! Numbered log events and numbered result codes.
//!
//! Each package declares its own events and codes with the macros of this package, in its own
//! range of numbers. `docs/EVENTS.md` and `docs/CODES.md` list all of them; a test of the package
//! `cassiafold` compares these pages with the code.

mod code;
mod event;

pub use code::CodeRow;
pub use event::EventRow;
#[doc(hidden)]
pub use log;
