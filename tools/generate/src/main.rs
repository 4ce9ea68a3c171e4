//! Writes the peer protocol's Rust code into `crates/wire/src/peer`. Run it from the root.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(["peer.proto"], ["crates/wire/proto"])?;
    tonic_prost_build::configure()
        .out_dir("crates/wire/src/peer")
        .compile_fds(descriptors)?;
    Ok(())
}
