//! The request path: from a caller's request to the answer of a backend server.
//!
//! - [`callers`], [`request`], [`body`], [`problem`]: the interface for callers.
//! - [`core`]: who may start next and where, with [`service_queue`], [`fair`],
//!   [`backends`], [`choice`] and [`health`]; [`dispatcher`] shares it between tasks, and a
//!   [`running`] request holds its slot.
//! - [`proxy`]: attempts until a request is answered, with [`attempt`], [`connection`],
//!   [`pool`], [`answer`] and [`budget`].
//! - [`edge`], [`limit`], [`observe`]: what the rest of an entry instance gives and gets.
//! - [`server`], [`flight`]: the server and its graceful stop.

pub mod answer;
pub mod attempt;
pub mod backend;
pub mod backends;
pub mod body;
pub mod budget;
pub mod callers;
pub mod choice;
pub mod code;
pub mod connection;
pub mod core;
pub mod dispatcher;
pub mod edge;
pub mod estimate;
pub mod event;
pub mod fair;
pub mod flight;
mod follow;
pub mod health;
pub mod limit;
pub mod metrics;
pub mod observe;
pub mod order;
pub mod pool;
pub mod problem;
pub mod proxy;
pub mod request;
pub mod running;
pub mod server;
pub mod service_queue;
pub mod start;

pub use callers::{Callers, Phase, router};
pub use code::DispatchCode;
pub use dispatcher::{Dispatcher, Instances};
pub use edge::{
    ConfiguredShares, DomainHint, Edges, NoPeers, PeerLoad, Racks, ShareSource, Sources,
};
pub use event::DispatchEvent;
pub use limit::{LimitSource, Unlimited};
pub use metrics::Metrics;
pub use observe::{AttemptResult, InstanceUsage, Observation, TeamUsage, Usage};
pub use order::{ANONYMOUS_TEAM, Order};
pub use problem::{Problem, RunState};
pub use server::{Server, StopReport};
