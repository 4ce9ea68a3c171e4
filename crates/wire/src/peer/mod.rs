//! Generated types of the protocol between VMs, see `proto/peer.proto`.
#![allow(missing_docs, unreachable_pub, clippy::all)]

mod convert;

include!("oleanderwind.peer.v1.rs");
