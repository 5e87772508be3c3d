//! Tests of settings and declarations.

mod declarations;
mod settings;
