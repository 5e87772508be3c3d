//! Boxes as the simulation has them: the shipped tables, each told only by messages.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::cost::LayerModel;
use reachtally_core::forward::fleet::{EngineKey, Evidence, Fleet};
use reachtally_core::forward::loads::{Collector, RemoteLoads};
use reachtally_core::forward::select::{self, Circumstance, Need};
use reachtally_core::ids::Incarnation;

use crate::choice::engines::{SERVICE, entries};

/// How long requests are reckoned to run.
const HELD: Duration = Duration::from_millis(1500);

/// One box.
pub struct SimBox {
    /// Its run.
    pub run: Incarnation,
    /// Its failure domain.
    pub domain: String,
    /// What it knows of the engines.
    pub fleet: Fleet,
    /// Their rows, by number.
    pub keys: Vec<EngineKey>,
    /// What it was told of the others' requests.
    pub remote_loads: RemoteLoads,
    /// What is reported to it.
    pub collector: Collector,
    /// Numbers its reports.
    pub number: u64,
    /// Messages sent and received.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl SimBox {
    /// A box that knows the engines, and nothing of the others.
    pub fn new(number: usize, domain: String) -> Self {
        let mut fleet = Fleet::default();
        let upsert = |entry| fleet.upsert(entry, Evidence::Written, Instant::ZERO).0;
        let keys = entries().into_iter().map(upsert).collect();
        SimBox {
            run: Incarnation(number as u64 + 1),
            collector: Collector::new(&domain),
            domain,
            fleet,
            keys,
            remote_loads: RemoteLoads::default(),
            number: 0,
            messages: 0,
            bytes: 0,
        }
    }

    /// Count a message.
    pub fn count(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    /// The engines that it chooses, by number.
    pub fn choose(
        &self,
        model: &LayerModel,
        need: Need,
        draw: u64,
        now: Instant,
    ) -> Option<Vec<usize>> {
        let cx = Circumstance {
            now,
            home: &self.domain,
            avoid: &[],
            held: HELD,
            boxes: 1,
            unheard: 1.0,
            draw,
            limits: select::Limits::Enforced,
        };
        let choice = select::path(&self.fleet, SERVICE, model, need, &cx)?;
        let number = |key: &EngineKey| self.keys.iter().position(|known| known == key);
        choice.path.engines().iter().map(number).collect()
    }

    /// The rows of engines by number.
    pub fn rows(&self, path: &[usize]) -> Vec<EngineKey> {
        path.iter().map(|number| self.keys[*number]).collect()
    }
}
