//! The committed generated code is what the `.proto` file yields.

use std::path::Path;

/// Set to write the generated code instead of comparing it.
const WRITE: &str = "REACHTALLY_WRITE_GENERATED";

#[test]
fn generated_code_matches_the_proto_file() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto");
    let committed = root.join("src/generated/engine.rs");
    let set = protox::compile([proto.join("engine.proto")], [&proto]).expect("the file is valid");
    let out = std::env::temp_dir().join(format!("reachtally-generated-{}", std::process::id()));
    std::fs::create_dir_all(&out).expect("the directory can be made");
    prost_build::Config::new()
        .bytes(["."])
        .out_dir(&out)
        .compile_fds(set)
        .expect("the code is generated");
    let generated = std::fs::read_to_string(out.join("reachtally.engine.rs")).expect("it is there");
    std::fs::remove_dir_all(&out).expect("the directory can be removed");
    if std::env::var_os(WRITE).is_some() {
        std::fs::write(&committed, &generated).expect("the code is written");
    }
    let committed = std::fs::read_to_string(&committed).expect("the code is committed");
    assert!(
        committed == generated,
        "src/generated/engine.rs is outdated: run this test with {WRITE}=1"
    );
}
