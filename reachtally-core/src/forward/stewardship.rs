//! Which box may order engines, and the fencing token that its orders carry.
//!
//! A box that was replaced may not know it yet: it was paused, or cut off from the store. Engines that
//! check tokens refuse what carries a lower one than they have seen, so its orders change nothing.

use crate::forward::era::Generation;
use crate::time::Instant;

/// Rises with each change of the group that deals the steward's part and with each return of the store from a copy, so that
/// a later steward's token is higher than any of an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(pub Generation);

/// The right to give an order, with the token that it must carry. Only a [`Stewardship`] that holds the
/// part hands one out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit(Token);

impl Permit {
    /// The token.
    pub fn token(&self) -> Token {
        self.0
    }
}

/// Whether this box holds the steward's part.
#[derive(Debug, Default)]
pub struct Stewardship {
    held: Option<(Token, Instant)>,
    /// The highest token of this box that an engine refused.
    refused: Option<Token>,
}

impl Stewardship {
    /// The part is this box's under `token` until `until`.
    pub fn grant(&mut self, token: Token, until: Instant) {
        self.held = Some((token, until));
    }

    /// The part is another's, or this box leaves.
    pub fn revoke(&mut self) {
        self.held = None;
    }

    /// An engine has seen a higher token than that of `permit`. Yields whether that is news.
    pub fn superseded(&mut self, permit: Permit) -> bool {
        let is_news = self.refused < Some(permit.0);
        self.refused = self.refused.max(Some(permit.0));
        is_news
    }

    /// The right to give an order now. A token that was refused gives none: only a newer one does.
    pub fn permit(&self, now: Instant) -> Option<Permit> {
        let (token, until) = self.held?;
        let is_current = now < until && self.refused < Some(token);
        is_current.then_some(Permit(token))
    }
}
