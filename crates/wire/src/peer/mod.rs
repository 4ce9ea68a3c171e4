//! Generated types of the peer protocol, which VMs use among themselves; see `proto/peer.proto`.
#![allow(missing_docs, unreachable_pub, clippy::all)]

mod convert;

include!("oleanderwind.peer.v1.rs");
