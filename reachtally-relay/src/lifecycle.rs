//! How far the relay is in its life, and the callers' connections that are open meanwhile.

use std::cell::Cell;

use tokio::sync::watch;

/// How far the relay is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It takes requests.
    Serving,
    /// It is not ready any more, and still takes what comes.
    Leaving,
    /// Its connections close after the answers that are under way.
    Closing,
}

/// The stage, which only goes forward, and what is open.
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
    /// Follow the stage.
    pub fn stage(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Go to a later stage.
    pub fn enter(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }

    /// Whether the relay is stopping.
    pub fn is_leaving(&self) -> bool {
        *self.stage.borrow() != Stage::Serving
    }

    /// Whether the relay takes no more requests.
    pub fn is_closing(&self) -> bool {
        *self.stage.borrow() == Stage::Closing
    }

    /// Number of open connections of callers.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// A caller's connection came.
    pub(crate) fn opened(&self) {
        self.open.set(self.open.get() + 1);
    }

    /// A caller's connection ended.
    pub(crate) fn closed(&self) {
        self.open.set(self.open.get() - 1);
    }
}
