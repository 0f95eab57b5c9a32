//! Generates `src/generated/` from the schemas in `proto/`.
//!
//! Run `cargo run -p codegen` in the root of the repository after each change of a schema.
//! The generated code is committed, so that a build does not need the generator.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let out = Path::new("src/generated");
    std::fs::create_dir_all(out)?;
    let files = protox::compile(["proto/peer.proto", "proto/mesh.proto"], ["proto"])?;
    prost_build::Config::new().out_dir(out).compile_fds(files)?;
    Ok(())
}
