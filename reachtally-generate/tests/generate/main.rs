//! Checks that the committed code matches the `.proto` files.

use reachtally_generate::SOURCES;

#[test]
fn committed_code_matches_the_proto_files() {
    for source in SOURCES {
        let generated = source.generate().expect("the .proto file is valid");
        let committed =
            std::fs::read_to_string(source.committed()).expect("the committed code is readable");
        assert!(
            committed == generated,
            "{} is outdated: cargo run -p reachtally-generate",
            source.committed().display()
        );
    }
}
