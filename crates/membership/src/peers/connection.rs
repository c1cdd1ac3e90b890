//! Cap'n Proto connections over TCP.

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use cassiafold_wire::reader_options;
use tokio::net::TcpStream;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::traffic::Traffic;

/// Creates an RPC system on a TCP connection. This process acts as `side` and offers `bootstrap` to
/// the other side.
pub(super) fn rpc_system(
    stream: TcpStream,
    side: Side,
    traffic: &Traffic,
    bootstrap: Option<capnp::capability::Client>,
) -> RpcSystem<Side> {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let reader = traffic.counted(reader).compat();
    let writer = traffic.counted(writer).compat_write();
    let network = VatNetwork::new(reader, writer, side, reader_options());
    RpcSystem::new(Box::new(network), bootstrap)
}
