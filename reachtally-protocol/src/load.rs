//! Load reports between boxes that relay whole requests: one `prost` message in a datagram.

use bytes::Bytes;
use prost::Message as _;
use reachtally_core::forward::peers::{PeerLoad, PeerReport};
use reachtally_core::ids::Incarnation;

use crate::generated::relay;

/// Most bytes of a report; a datagram of this size is not split on usual links.
pub const REPORT_MAX: usize = 1400;

/// Encode a report. Loads that do not fit are left out.
pub fn encode(report: &PeerReport) -> Bytes {
    let mut message = relay::LoadReport {
        run: report.run.0,
        number: report.number,
        loads: Vec::new(),
    };
    let mut length = message.encoded_len();
    for load in &report.loads {
        let load = relay::TargetLoad {
            target: load.target.to_string(),
            running: load.running,
            tokens: load.tokens,
            pace_percent: load.pace.map_or(0, |pace| (pace * 100.0).round() as u32),
        };
        // The field's own head takes two bytes.
        length += load.encoded_len() + 2;
        if length > REPORT_MAX {
            break;
        }
        message.loads.push(load);
    }
    message.encode_to_vec().into()
}

/// Decode a report.
///
/// # Errors
/// The decoder's.
pub fn decode(bytes: &[u8]) -> Result<PeerReport, prost::DecodeError> {
    let message = relay::LoadReport::decode(bytes)?;
    let load = |load: relay::TargetLoad| PeerLoad {
        target: load.target.into(),
        running: load.running,
        tokens: load.tokens,
        pace: (load.pace_percent > 0).then(|| f64::from(load.pace_percent) / 100.0),
    };
    Ok(PeerReport {
        run: Incarnation(message.run),
        number: message.number,
        loads: message.loads.into_iter().map(load).collect(),
    })
}
