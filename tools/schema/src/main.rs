//! Regenerates the committed Rust code for the peer schema.
//!
//! Needs the `capnp` compiler (Debian package `capnproto`); an ordinary build does not.

fn main() -> Result<(), capnp::Error> {
    capnpc::CompilerCommand::new()
        .src_prefix("src/protocol")
        .file("src/protocol/peer.capnp")
        .output_path("src/protocol")
        .default_parent_module(vec!["protocol".into()])
        .run()
}
