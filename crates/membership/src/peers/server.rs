//! Serves calls of other entry instances.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use capnp_rpc::new_client;
use capnp_rpc::rpc_twoparty_capnp::Side;
use cassiafold_event::emit;
use cassiafold_wire::peer_capnp::peer;
use cassiafold_wire::{ConfigDocument, Hello, Leave, Report, WireError};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::{Context, hello_of, identity_of};
use crate::event::MembershipEvent;
use crate::exchange::ReportDecoder;
use crate::roster::Route;

/// Time without a call after which a connection is closed.
const IDLE_MAX: Duration = Duration::from_secs(30);
/// Most open connections; further ones are closed.
const CONNECTIONS_MAX: usize = 512;
/// Delay after a failed accept, for instance for lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Accepts connections until its task ends.
pub(super) async fn serve(listener: TcpListener, context: Context) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY).await;
            continue;
        };
        if open.get() < CONNECTIONS_MAX {
            let (context, open) = (context.clone(), open.clone());
            open.set(open.get() + 1);
            spawn_local(async move {
                connection(stream, context).await;
                open.set(open.get() - 1);
            });
        }
    }
}

async fn connection(stream: TcpStream, context: Context) {
    let traffic = context.traffic.clone();
    let last_call = Rc::new(Cell::new(Instant::now()));
    let server =
        PeerServer { context, caller: RefCell::default(), decoder: RefCell::default(), last_call };
    let last_call = server.last_call.clone();
    let client: peer::Client = new_client(server);
    let system = super::connection::rpc_system(stream, Side::Server, &traffic, Some(client.client));
    tokio::select! {
        _ = system => {}
        () = idle(&last_call) => {}
    }
}

/// Completes when there has been no call for [`IDLE_MAX`].
async fn idle(last_call: &Cell<Instant>) {
    while last_call.get().elapsed() < IDLE_MAX {
        tokio::time::sleep_until(last_call.get() + IDLE_MAX).await;
    }
}

/// Handles the calls of one connection.
struct PeerServer {
    context: Context,
    caller: RefCell<Option<Hello>>,
    decoder: RefCell<ReportDecoder>,
    last_call: Rc<Cell<Instant>>,
}

fn reject(error: WireError) -> capnp::Error {
    emit!(MembershipEvent::MessageRefused, error = error);
    capnp::Error::failed(error.to_string())
}

impl PeerServer {
    fn handle_report(&self, report: Report) -> Result<(), capnp::Error> {
        let caller = self.caller.borrow();
        let caller = caller.as_ref().ok_or(capnp::Error::failed("report before hello".into()))?;
        let roster = &self.context.roster;
        let same_zone = caller.zone == roster.me().zone;
        self.context.ledger_revision_hint.fetch_max(report.ledger_revision, Ordering::Relaxed);
        for heartbeat in self.decoder.borrow_mut().decode(report).map_err(reject)? {
            let route = match (same_zone, heartbeat.id == caller.id) {
                (true, true) => Route::SameZone,
                (true, false) => Route::Relayed,
                (false, _) => Route::OtherZone,
            };
            roster.record_heartbeat(heartbeat, route);
        }
        Ok(())
    }
}

impl peer::Server for PeerServer {
    async fn hello(
        self: Rc<Self>,
        params: peer::HelloParams,
        mut results: peer::HelloResults,
    ) -> Result<(), capnp::Error> {
        self.last_call.set(Instant::now());
        let caller = Hello::try_from(params.get()?.get_hello()?).map_err(reject)?;
        self.context.roster.record_identity(&identity_of(&caller));
        *self.caller.borrow_mut() = Some(caller);
        let known = self.context.roster.known_entries();
        let mut list = results.get().init_known(known.len() as u32);
        for (index, (identity, version)) in known.iter().enumerate() {
            hello_of(identity, *version).write(list.reborrow().get(index as u32));
        }
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: peer::ReportParams,
        mut results: peer::ReportResults,
    ) -> Result<(), capnp::Error> {
        self.last_call.set(Instant::now());
        let report = Report::try_from(params.get()?.get_report()?).map_err(reject)?;
        self.handle_report(report)?;
        results.get().set_config_version(self.context.config_sync.version());
        Ok(())
    }

    async fn config(
        self: Rc<Self>,
        params: peer::ConfigParams,
        mut results: peer::ConfigResults,
    ) -> Result<(), capnp::Error> {
        self.last_call.set(Instant::now());
        let after = params.get()?.get_after();
        let (version, document) = self.context.config_sync.document(after).unwrap_or_default();
        ConfigDocument { version, document }.write(results.get().init_config());
        Ok(())
    }

    async fn leave(
        self: Rc<Self>,
        params: peer::LeaveParams,
        _results: peer::LeaveResults,
    ) -> Result<(), capnp::Error> {
        self.last_call.set(Instant::now());
        let leave = Leave::try_from(params.get()?.get_leave()?).map_err(reject)?;
        self.context.roster.record_leave(&leave.id, leave.incarnation);
        Ok(())
    }
}
