//! Compression with deflate. One box sends a configuration of a thousand routes to dozens of others, some of which have
//! links of 20 Mbit/s; it compresses to a tenth of its size.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::FRAME_MAX;

/// Compresses `data`.
///
/// # Errors
/// Not expected to fail, since input and output are in memory.
pub fn compress(data: &[u8]) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(data)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses at most [`FRAME_MAX`] bytes.
///
/// # Errors
/// If `packed` is not valid deflate data, or the decompressed data are longer than that.
pub fn decompress(packed: &[u8]) -> io::Result<Bytes> {
    let mut data = Vec::new();
    let limit = FRAME_MAX as u64 + 1;
    DeflateDecoder::new(packed)
        .take(limit)
        .read_to_end(&mut data)?;
    if data.len() as u64 == limit {
        return Err(io::Error::other(
            "the decompressed data exceed the maximum frame length",
        ));
    }
    Ok(data.into())
}
