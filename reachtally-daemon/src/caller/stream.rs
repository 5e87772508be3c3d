//! The stream of events that make up a request's response.

use reachtally_core::Event;
use reachtally_core::effect::Finish;
use reachtally_core::request::NewRequest;
use tokio::sync::{mpsc, oneshot};

use crate::actor::{AcceptedRequest, Handle, Message, ResponseEvent};
use crate::caller::answer::Failure;
use crate::caller::{OpenStream, Shared};

/// Number of tokens consumed between reports to the actor. The reports let the request proceed.
const TOKENS_PER_REPORT: u32 = 16;

/// The events of one request's response. If dropped before the end, it reports to the actor that the
/// caller has disconnected.
pub struct ResponseStream {
    rx: mpsc::UnboundedReceiver<ResponseEvent>,
    handle: Handle,
    accepted: AcceptedRequest,
    unreported: u32,
    ended: bool,
    _open: OpenStream,
}

/// Submits `request` to the actor.
///
/// # Errors
/// A failure if the actor has ended.
pub async fn submit(shared: &Shared, request: NewRequest) -> Result<ResponseStream, Failure> {
    let open = shared.open.enter();
    let (events, rx) = mpsc::unbounded_channel();
    let (accepted_tx, accepted_rx) = oneshot::channel();
    let message = Message::NewRequest {
        request,
        events,
        accepted: accepted_tx,
    };
    let stopping = || Failure::not_ready("the daemon is stopping");
    shared.handle.send(message).map_err(|_| stopping())?;
    let accepted = accepted_rx.await.map_err(|_| stopping())?;
    Ok(ResponseStream {
        rx,
        handle: shared.handle.clone(),
        accepted,
        unreported: 0,
        ended: false,
        _open: open,
    })
}

impl ResponseStream {
    /// Id of the request.
    pub fn id(&self) -> String {
        self.accepted.id.to_string()
    }

    /// Waits for the next event; `None` after the end.
    pub async fn next(&mut self) -> Option<ResponseEvent> {
        if self.ended {
            return None;
        }
        let event = self.rx.recv().await;
        self.record(event)
    }

    /// Returns the next event if it is already available.
    pub fn try_next(&mut self) -> Option<ResponseEvent> {
        if self.ended {
            return None;
        }
        let event = self.rx.try_recv().ok()?;
        self.record(Some(event))
    }

    /// Reads the response to its end and returns the text and the result.
    pub async fn collect(&mut self) -> (String, Option<Finish>) {
        let mut text = String::new();
        while let Some(event) = self.next().await {
            match event {
                ResponseEvent::Token { text: token } => text.push_str(&token),
                ResponseEvent::End(finish) => return (text, Some(finish)),
            }
        }
        (text, None)
    }

    /// Updates the state of the stream with an event that is returned to the caller.
    fn record(&mut self, event: Option<ResponseEvent>) -> Option<ResponseEvent> {
        match &event {
            Some(ResponseEvent::Token { .. }) => {
                self.unreported += 1;
                if self.unreported >= TOKENS_PER_REPORT {
                    self.report_consumed();
                }
            }
            Some(ResponseEvent::End(_)) | None => self.ended = true,
        }
        event
    }

    fn report_consumed(&mut self) {
        let tokens = std::mem::take(&mut self.unreported);
        let event = Event::Consumed {
            request: self.accepted.key,
            tokens,
        };
        // Sending fails only once the daemon has stopped.
        self.handle.send(Message::Event(event)).ok();
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        if !self.ended {
            let event = Event::Disconnected(self.accepted.key);
            self.handle.send(Message::Event(event)).ok();
        }
    }
}
