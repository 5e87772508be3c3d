//! The committed code is what the `.proto` files yield.

use reachtally_generate::SOURCES;

#[test]
fn committed_code_matches_the_proto_files() {
    for source in SOURCES {
        let generated = source.generate().expect("the file is valid");
        let committed = std::fs::read_to_string(source.committed()).expect("the code is committed");
        assert!(
            committed == generated,
            "{} is outdated: cargo run -p reachtally-generate",
            source.committed().display()
        );
    }
}
