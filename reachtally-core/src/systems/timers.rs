//! What happens when a timer is due.

use crate::effect::Effects;
use crate::event::CallFailure;
use crate::life::{Refusal, Unknown};
use crate::systems::{claims, finish, gossip, health, service, shift, steward};
use crate::time::Instant;
use crate::world::{Timer, World};

/// Run one timer; one whose subject is gone does nothing.
pub fn fire(world: &mut World, timer: Timer, now: Instant, out: &mut Effects) {
    match timer {
        Timer::Call(call) => shift::call_failed(world, call, CallFailure::Lost, now, out),
        Timer::Deadline(request) => {
            finish::give_up(world, request, Refusal::Deadline, Unknown::Deadline, out);
        }
        Timer::ClaimWait(request) => claims::wait_over(world, request, out),
        Timer::Replacement(request) => shift::replacement_wait_over(world, request, out),
        Timer::Probe(target) => health::probe(world, target, out),
        Timer::Retry(request) => service::retry(world, request, out),
        Timer::Gossip => gossip::round(world, now, out),
        Timer::Steward => steward::round(world, now, out),
        // Appends are looked after on every tick.
        Timer::Append => {}
    }
}
