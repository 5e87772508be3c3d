//! Tests of the daemon.
