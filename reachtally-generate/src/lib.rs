//! Writes the committed prost code from the `.proto` files, without a `protoc`.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::path::{Path, PathBuf};

/// One `.proto` file and the code made from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Source {
    /// The crate that holds both.
    pub crate_name: &'static str,
    /// The file's name without its ending, also that of the code.
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
    fn root(self) -> PathBuf {
        let own = Path::new(env!("CARGO_MANIFEST_DIR"));
        own.with_file_name(self.crate_name)
    }

    /// Where the committed code is.
    pub fn committed(self) -> PathBuf {
        self.root().join(format!("src/generated/{}.rs", self.name))
    }

    /// The code that the `.proto` file yields.
    ///
    /// # Errors
    /// A message if the file is not valid or a temporary directory can't be used.
    pub fn generate(self) -> Result<String, String> {
        let dir = self.root().join("proto");
        let file = dir.join(format!("{}.proto", self.name));
        let set = protox::compile([file], [&dir]).map_err(|err| err.to_string())?;
        let out = std::env::temp_dir().join(format!(
            "reachtally-generate-{}-{}",
            self.name,
            std::process::id()
        ));
        std::fs::create_dir_all(&out).map_err(|err| err.to_string())?;
        let compiled = prost_build::Config::new()
            .bytes(["."])
            .default_package_filename(self.name)
            .out_dir(&out)
            .compile_fds(set);
        let code = compiled.and_then(|()| {
            std::fs::read_to_string(out.join(format!("reachtally.{}.rs", self.name)))
        });
        std::fs::remove_dir_all(&out).map_err(|err| err.to_string())?;
        code.map_err(|err| err.to_string())
    }
}
