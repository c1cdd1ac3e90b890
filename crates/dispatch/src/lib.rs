//! The request path: from a caller's request to the answer of a backend server.

pub mod callers;
pub mod code;
pub mod event;
pub mod limit;
pub mod problem;
pub mod proxy;
pub mod route;

pub use callers::{Callers, router};
pub use code::DispatchCode;
pub use event::DispatchEvent;
pub use limit::{LimitSource, Unlimited};
pub use problem::Problem;
