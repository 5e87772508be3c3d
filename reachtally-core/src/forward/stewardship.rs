//! The right to give orders to engines, and the fencing token that orders carry.
//!
//! A box that was replaced as steward may not know it yet, because it was suspended or cut off from
//! the store. Engines that check tokens reject a lower one than they have seen, so its orders have
//! no effect.

use crate::forward::era::Generation;
use crate::time::Instant;

/// Increases with each change of the group that assigns the steward role and with each rollback of
/// the store, so that the token of a later steward is higher than those of earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(pub Generation);

/// The right to give an order, with the token that it must carry. Only a [`Stewardship`] that holds
/// the role issues one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderPermit(FencingToken);

impl OrderPermit {
    /// Returns the token.
    pub fn token(&self) -> FencingToken {
        self.0
    }
}

/// Whether this box holds the steward role.
#[derive(Debug, Default)]
pub struct Stewardship {
    held: Option<(FencingToken, Instant)>,
    /// The highest token of this box that an engine rejected.
    refused: Option<FencingToken>,
}

impl Stewardship {
    /// Assigns the role to this box under `token` until `until`.
    pub fn grant(&mut self, token: FencingToken, until: Instant) {
        self.held = Some((token, until));
    }

    /// Removes the role from this box, because another has it or this one leaves.
    pub fn revoke(&mut self) {
        self.held = None;
    }

    /// Records that an engine has seen a higher token than that of `permit`. Returns whether the
    /// rejected token is the highest so far.
    pub fn superseded(&mut self, permit: OrderPermit) -> bool {
        let is_newer = self.refused < Some(permit.0);
        self.refused = self.refused.max(Some(permit.0));
        is_newer
    }

    /// Returns the right to give an order now. A rejected token gives none; only a newer one does.
    pub fn permit(&self, now: Instant) -> Option<OrderPermit> {
        let (token, until) = self.held?;
        let is_current = now < until && self.refused < Some(token);
        is_current.then_some(OrderPermit(token))
    }
}
