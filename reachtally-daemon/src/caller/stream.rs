//! A request's answer as it comes in.

use reachtally_core::Event;
use reachtally_core::effect::Finish;
use reachtally_core::request::NewRequest;
use tokio::sync::{mpsc, oneshot};

use crate::actor::{Handle, Message, Piece, Taken};
use crate::caller::answer::Failure;
use crate::caller::{OpenStream, Shared};

/// Tokens taken before the actor is told, so that the request goes on.
const TOKENS_PER_REPORT: u32 = 16;

/// The parts of one request's answer. Dropped before the end, it tells the actor that the caller
/// hung up.
pub struct Pieces {
    rx: mpsc::UnboundedReceiver<Piece>,
    handle: Handle,
    taken: Taken,
    unreported: u32,
    ended: bool,
    _open: OpenStream,
}

/// Hand `ask` to the actor.
///
/// # Errors
/// A failure if the actor is gone.
pub async fn ask(shared: &Shared, ask: NewRequest) -> Result<Pieces, Failure> {
    let open = shared.open.enter();
    let (pieces, rx) = mpsc::unbounded_channel();
    let (taken_tx, taken_rx) = oneshot::channel();
    let message = Message::NewRequest {
        ask,
        pieces,
        taken: taken_tx,
    };
    let gone = || Failure::not_ready("the daemon is stopping");
    shared.handle.send(message).map_err(|_| gone())?;
    let taken = taken_rx.await.map_err(|_| gone())?;
    Ok(Pieces {
        rx,
        handle: shared.handle.clone(),
        taken,
        unreported: 0,
        ended: false,
        _open: open,
    })
}

impl Pieces {
    /// The request's name.
    pub fn id(&self) -> String {
        self.taken.id.to_string()
    }

    /// The next part; nothing after the end.
    pub async fn next(&mut self) -> Option<Piece> {
        if self.ended {
            return None;
        }
        let piece = self.rx.recv().await;
        self.took(piece)
    }

    /// The next part if it is there already.
    pub fn try_next(&mut self) -> Option<Piece> {
        if self.ended {
            return None;
        }
        let piece = self.rx.try_recv().ok()?;
        self.took(Some(piece))
    }

    /// Read to the end; yields the text and how it ended.
    pub async fn whole(&mut self) -> (String, Option<Finish>) {
        let mut text = String::new();
        while let Some(piece) = self.next().await {
            match piece {
                Piece::Token { text: token } => text.push_str(&token),
                Piece::End(finish) => return (text, Some(finish)),
            }
        }
        (text, None)
    }

    fn took(&mut self, piece: Option<Piece>) -> Option<Piece> {
        match &piece {
            Some(Piece::Token { .. }) => {
                self.unreported += 1;
                if self.unreported >= TOKENS_PER_REPORT {
                    self.report();
                }
            }
            Some(Piece::End(_)) | None => self.ended = true,
        }
        piece
    }

    fn report(&mut self) {
        let tokens = std::mem::take(&mut self.unreported);
        let event = Event::Consumed {
            request: self.taken.key,
            tokens,
        };
        // The actor is gone only when the daemon is.
        self.handle.send(Message::Event(event)).ok();
    }
}

impl Drop for Pieces {
    fn drop(&mut self) {
        if !self.ended {
            let event = Event::Disconnected(self.taken.key);
            self.handle.send(Message::Event(event)).ok();
        }
    }
}
