//! Shutdown stages of the relay, and the number of open connections of callers.

use std::cell::Cell;

use tokio::sync::watch;

/// Stage of the relay from serving to shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Accepts requests.
    Serving,
    /// Reports not ready, but still accepts requests.
    Leaving,
    /// Refuses new requests, and closes connections after the responses in progress.
    Closing,
    /// Answers all requests whose responses have not begun, since the process is about to exit.
    Ending,
}

/// Current stage, which only advances, and the number of open connections.
#[derive(Debug)]
pub struct Lifecycle {
    stage: watch::Sender<Stage>,
    open: Cell<usize>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            stage: watch::Sender::new(Stage::Serving),
            open: Cell::new(0),
        }
    }
}

impl Lifecycle {
    /// Subscribes to changes of the stage.
    pub fn stage(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Advances to a later stage.
    pub fn enter(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }

    /// Returns whether the relay is shutting down.
    pub fn is_leaving(&self) -> bool {
        *self.stage.borrow() != Stage::Serving
    }

    /// Returns whether the relay refuses new requests.
    pub fn is_closing(&self) -> bool {
        *self.stage.borrow() >= Stage::Closing
    }

    /// Waits until `stage` is reached.
    pub async fn until(&self, stage: Stage) {
        let mut current = self.stage.subscribe();
        // The sender lives as long as `self`, so this never fails.
        if current.wait_for(|current| *current >= stage).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the number of open connections of callers.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Counts an opened connection.
    pub(crate) fn connection_opened(&self) {
        self.open.set(self.open.get() + 1);
    }

    /// Counts a closed connection.
    pub(crate) fn connection_closed(&self) {
        self.open.set(self.open.get() - 1);
    }
}
