//! Regenerates the committed prost code: `cargo run -p reachtally-generate`.

use std::process::ExitCode;

use reachtally_generate::SOURCES;

fn main() -> ExitCode {
    for source in SOURCES {
        let result = source.generate().and_then(|code| {
            std::fs::write(source.committed(), code).map_err(|err| err.to_string())
        });
        if let Err(message) = result {
            eprintln!("reachtally-generate: {}: {message}", source.name);
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
