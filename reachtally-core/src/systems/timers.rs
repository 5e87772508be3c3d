//! Dispatch of expired timers.

use crate::effect::Effects;
use crate::event::CallFailure;
use crate::life::{Refusal, Unknown};
use crate::systems::{claims, failover, finish, gossip, health, service, steward};
use crate::time::Instant;
use crate::world::{Timer, World};

/// Run one expired timer. A timer whose request, call or target no longer exists has no effect.
pub fn fire(world: &mut World, timer: Timer, now: Instant, out: &mut Effects) {
    match timer {
        Timer::Call(call) => failover::call_failed(world, call, CallFailure::Lost, now, out),
        Timer::Deadline(request) => {
            finish::give_up(world, request, Refusal::Deadline, Unknown::Deadline, out);
        }
        Timer::ClaimWait(request) => claims::claim_wait_expired(world, request, out),
        Timer::Replacement(request) => failover::replacement_wait_expired(world, request, out),
        Timer::Probe(target) => health::probe(world, target, out),
        Timer::Retry(request) => service::retry(world, request, out),
        Timer::Gossip => gossip::round(world, now, out),
        Timer::Steward => steward::round(world, now, out),
        // Every tick handles due appends.
        Timer::Append => {}
    }
}
