//! Packed texts: a configuration of a thousand routes goes from one box to dozens, some of which have
//! links of 20 Mbit/s, and packs to a tenth of its size.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::FRAME_MAX;

/// Pack a text.
///
/// # Errors
/// None is expected: the text and its packed form are in memory.
pub fn pack(text: &[u8]) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text)?;
    Ok(encoder.finish()?.into())
}

/// The text that was packed, up to [`FRAME_MAX`] bytes.
///
/// # Errors
/// If the bytes are not a packed text, or it is longer.
pub fn unpack(packed: &[u8]) -> io::Result<Bytes> {
    let mut text = Vec::new();
    let most = FRAME_MAX as u64 + 1;
    DeflateDecoder::new(packed)
        .take(most)
        .read_to_end(&mut text)?;
    if text.len() as u64 == most {
        return Err(io::Error::other("the packed text is too long"));
    }
    Ok(text.into())
}
