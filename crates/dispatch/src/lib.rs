//! The request path: from a caller's request to the answer of a backend server.
//!
//! - [`callers`], [`request`], [`body`], [`problem`]: the interface for callers.
//! - [`core`]: who may start next and where, with [`fair`], [`backends`] and [`health`];
//!   [`dispatcher`] shares it between tasks.
//! - [`proxy`]: attempts until a request is answered, with [`attempt`], [`connection`],
//!   [`pool`], [`answer`] and [`budget`].
//! - [`edge`], [`limit`], [`observe`]: what the rest of an entry instance gives and gets.
//! - [`server`], [`flight`]: the server and its graceful stop.

pub mod answer;
pub mod attempt;
pub mod backends;
pub mod body;
pub mod budget;
pub mod callers;
pub mod code;
pub mod connection;
pub mod core;
pub mod dispatcher;
pub mod edge;
pub mod estimate;
pub mod event;
pub mod fair;
pub mod flight;
pub mod health;
pub mod limit;
pub mod metrics;
pub mod observe;
pub mod order;
pub mod pool;
pub mod problem;
pub mod proxy;
pub mod request;
pub mod server;

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
