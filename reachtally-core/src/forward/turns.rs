//! Turns of boxes that use a shared resource and know nothing of each other, not even how many they are.

use std::time::Duration;

use crate::ids::Incarnation;

/// Number of doublings of the turns within a window. With up to `2^DOUBLINGS` boxes, about one has its turn in the first step.
const DOUBLINGS: f64 = 12.0;

/// Returns when the box of `run` has its turn: the delay, at most `window`, from the time at which the boxes begin to wait.
///
/// Turns are distributed exponentially: their number doubles with each of [`DOUBLINGS`] equal parts of the window. So the first box
/// that has its turn is followed by few others for some parts, whatever the number of boxes is. Once it succeeds, the others need no
/// turn any more.
pub fn turn(run: Incarnation, window: Duration) -> Duration {
    let rank = (f64::from((run.0 >> 32) as u32) + 1.0) / (f64::from(u32::MAX) + 1.0);
    let part = 1.0 + rank.log2() / DOUBLINGS;
    window.mul_f64(part.clamp(0.0, 1.0))
}
