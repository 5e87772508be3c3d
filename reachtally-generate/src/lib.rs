//! Generates the committed prost code from the `.proto` files, without `protoc`.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::path::{Path, PathBuf};

/// A `.proto` file and the Rust code generated from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Source {
    /// The crate that contains both files.
    pub crate_name: &'static str,
    /// File name of both, without the extension.
    pub name: &'static str,
}

/// Every `.proto` file of the workspace.
pub const SOURCES: [Source; 3] = [
    Source {
        crate_name: "reachtally-target",
        name: "engine",
    },
    Source {
        crate_name: "reachtally-protocol",
        name: "peer",
    },
    Source {
        crate_name: "reachtally-protocol",
        name: "relay",
    },
];

impl Source {
    fn crate_root(self) -> PathBuf {
        let own_root = Path::new(env!("CARGO_MANIFEST_DIR"));
        own_root.with_file_name(self.crate_name)
    }

    /// Returns the path of the committed code.
    pub fn committed(self) -> PathBuf {
        self.crate_root()
            .join(format!("src/generated/{}.rs", self.name))
    }

    /// Generates the code from the `.proto` file.
    ///
    /// # Errors
    /// Returns a message if the `.proto` file is invalid or the temporary directory can't be used.
    pub fn generate(self) -> Result<String, String> {
        let proto_dir = self.crate_root().join("proto");
        let proto_file = proto_dir.join(format!("{}.proto", self.name));
        let descriptors =
            protox::compile([proto_file], [&proto_dir]).map_err(|err| err.to_string())?;
        let out_dir = std::env::temp_dir().join(format!(
            "reachtally-generate-{}-{}",
            self.name,
            std::process::id()
        ));
        std::fs::create_dir_all(&out_dir).map_err(|err| err.to_string())?;
        let result = prost_build::Config::new()
            .bytes(["."])
            .default_package_filename(self.name)
            .out_dir(&out_dir)
            .compile_fds(descriptors);
        let code = result.and_then(|()| {
            std::fs::read_to_string(out_dir.join(format!("reachtally.{}.rs", self.name)))
        });
        std::fs::remove_dir_all(&out_dir).map_err(|err| err.to_string())?;
        code.map_err(|err| err.to_string())
    }
}
