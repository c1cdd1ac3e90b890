//! The request path, from a caller's request to the response of a backend server.
//!
//! - [`caller_api`], [`request`], [`body`], [`problem`]: the HTTP API for callers.
//! - [`scheduler`]: which request starts next and on which backend server, with [`service_queue`],
//!   [`fair`], [`backends`], [`selection`] and [`health`]. The [`dispatcher`] shares it between
//!   tasks, and a [`running_request`] holds its slot.
//! - [`proxy`]: attempts and retries, with [`attempt`], [`connection`], [`pool`], [`response_body`]
//!   and [`budget`].
//! - [`dependencies`], [`limit`], [`observe`]: interfaces to the rest of an entry instance.
//! - [`server`], [`in_flight`]: the HTTP server and its graceful stop.

pub mod accepted_request;
pub mod attempt;
pub mod backend;
pub mod backends;
pub mod body;
pub mod budget;
pub mod caller_api;
pub mod code;
pub mod connection;
pub mod dependencies;
pub mod dispatcher;
pub mod estimate;
pub mod event;
pub mod fair;
pub mod health;
pub mod in_flight;
pub mod limit;
pub mod metrics;
pub mod observe;
pub mod pool;
pub mod problem;
pub mod proxy;
pub mod request;
pub mod response_body;
pub mod running_request;
pub mod scheduler;
pub mod selection;
pub mod server;
pub mod service_queue;
pub mod slot_grant;
mod source_watcher;

pub use accepted_request::{ANONYMOUS_TEAM, AcceptedRequest};
pub use caller_api::{CallerApi, Phase, router};
pub use code::DispatchCode;
pub use dependencies::{
    ConfiguredShares, Dependencies, FailureDomainSource, NoPeers, PeerLoad, RackDomains,
    ShareSource, Sources,
};
pub use dispatcher::{Dispatcher, Instances};
pub use event::DispatchEvent;
pub use limit::{LimitSource, Unlimited};
pub use metrics::Metrics;
pub use observe::{AttemptResult, InstanceUsage, Observation, TeamUsage, Usage};
pub use problem::{Problem, RunState};
pub use server::{Server, StopReport};
