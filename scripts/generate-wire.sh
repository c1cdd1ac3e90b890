#!/usr/bin/env bash
# Generates crates/wire/src/peer_capnp.rs from the schema. The build does not run it.
# Needs `capnp` (package capnproto) and `capnpc-rust` (cargo install capnpc --version 0.27.0).
set -euo pipefail
cd "$(dirname "$0")/../crates/wire"
plugin="${CAPNPC_RUST:-${CARGO_HOME:-$HOME/.cargo}/bin/capnpc-rust}"
capnp compile -o"$plugin":src --src-prefix=schema schema/peer.capnp
