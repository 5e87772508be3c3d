//! The state of an engine, which runs steps with the function of [`model`](super::model).

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use reachtally_core::declare::Layers;
use reachtally_core::ids::RequestId;
use reachtally_core::step::{Batch, Input, Output, Step, StepRefusal, StepResult};
use reachtally_target::order::{OrderBody, ReportBody};

use super::faults::Faults;
use super::kv::{KvExport, KvStore};
use super::ledger::{Ledger, LedgerRun};
use super::model;
use super::orders::{Orders, OutdatedFence};
use super::reports::{CacheEvent, Load, Reports};
use super::timing::StepTime;

/// Options of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Layers that the engine holds.
    pub layers: Layers,
    /// Number of layers of the whole model.
    pub model_layers: u32,
    /// Number of requests whose KV fits.
    pub slots: u32,
    /// Size of one activation in bytes, at least [`model::VALUE_BYTES`].
    pub activation_bytes: usize,
    /// Step-time model.
    pub step_time: StepTime,
    /// Whether completions may end before the caller's token limit.
    pub ends: bool,
    /// Whether to keep a ledger.
    pub ledger: bool,
    /// Whether orders with an outdated fence are rejected.
    pub checks_fence: bool,
    /// Delay of reported load and cache events.
    pub report_lag: Duration,
    /// Maximum number of positions in one iteration; calls of lower priority wait longer.
    pub iteration_positions: u32,
}

impl Options {
    /// Returns options for layers `first..end` of a model with `total_layers` layers and zero step
    /// times.
    pub fn range(first: u32, end: u32, total_layers: u32) -> Self {
        Options {
            layers: Layers { first, end },
            model_layers: total_layers,
            slots: 4096,
            activation_bytes: 64,
            step_time: StepTime::NONE,
            ends: false,
            ledger: true,
            checks_fence: false,
            report_lag: Duration::ZERO,
            iteration_positions: 1 << 16,
        }
    }
}

/// The state of an engine, without sockets or timers.
#[derive(Debug)]
pub struct State {
    pub(super) options: Options,
    pub(super) faults: Faults,
    pub(super) steps_run: u64,
    pub(super) orders: Orders,
    reports: Reports,
    ledger: Ledger,
    kv: KvStore,
}

impl State {
    /// Creates an engine without KV.
    pub fn new(options: Options) -> Self {
        State {
            options,
            faults: Faults::default(),
            ledger: Ledger::new(options.layers),
            steps_run: 0,
            orders: Orders::default(),
            reports: Reports::new(options.report_lag),
            kv: KvStore::default(),
        }
    }

    /// Returns the ledger of the steps run.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Applies an order.
    ///
    /// # Errors
    /// Returns an error if the engine checks fences and this one is outdated.
    pub fn order(&mut self, order: OrderBody) -> Result<(), OutdatedFence> {
        self.orders.apply(order, self.options.checks_fence)
    }

    /// Returns the report for the sender of orders.
    pub fn report(&self) -> ReportBody {
        ReportBody {
            loaded: self.orders.loaded.clone(),
            requests: self.kv.len() as u64,
        }
    }

    /// Returns the reported load, which is delayed by `report_lag`.
    pub fn load(&self) -> Load {
        self.reports.load()
    }

    /// Returns the reported cache events with numbers above `after`, delayed and with gaps.
    pub fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        self.reports.events(after)
    }

    /// Returns whether the engine was ordered to stop.
    pub fn is_stopped(&self) -> bool {
        self.orders.stopped
    }

    /// Returns the number of accepted orders.
    pub fn orders_taken(&self) -> u64 {
        self.orders.accepted
    }

    /// Exports the KV of a request, if the engine holds it.
    pub fn export(&self, request: RequestId) -> Option<KvExport> {
        self.kv.export(request)
    }

    /// Imports the KV of a request; returns `false` if it covers a different number of layers.
    pub fn import(&mut self, request: RequestId, export: KvExport) -> bool {
        let fits = export.digests.len() == self.options.layers.count() as usize;
        if fits {
            self.kv.import(request, export);
        }
        fits
    }

    fn record_load(&mut self) {
        let load = Load {
            requests: self.kv.len(),
            slots: self.options.slots,
            steps_run: self.steps_run,
        };
        self.reports.record_load(load);
    }

    /// Returns the number of requests whose KV the engine holds.
    pub fn requests_held(&self) -> usize {
        self.kv.len()
    }

    /// Applies the releases of a call, then runs its steps.
    pub fn run(&mut self, batch: Batch) -> Vec<StepResult> {
        for release in batch.releases {
            self.kv.release(release.request, release.attempt);
        }
        let steps = batch.steps.into_iter();
        let results = steps.map(|step| self.run_step(step)).collect();
        self.record_load();
        results
    }

    fn run_step(&mut self, step: Step) -> StepResult {
        let end = match self.input_positions(&step) {
            Ok(count) => step.from + count,
            Err(refusal) => return refused(&step, refusal),
        };
        match self.advance(&step, end) {
            Ok(output) => StepResult {
                request: step.request,
                attempt: step.attempt,
                from: step.outputs_from,
                positions: end - step.outputs_from,
                output: Ok(output),
            },
            Err(refusal) => refused(&step, refusal),
        }
    }

    /// Validates the step's input and returns its number of positions.
    fn input_positions(&self, step: &Step) -> Result<u32, StepRefusal> {
        let is_first_stage = self.options.layers.first == 0;
        let count = match &step.input {
            Input::Tokens { text, tokens } if is_first_stage => {
                let prompt = if text.is_empty() {
                    0
                } else {
                    model::tokenize(text).len()
                };
                (prompt + tokens.len()) as u32
            }
            Input::Activations(bytes) if !is_first_stage => {
                let fits = step.positions > 0
                    && bytes.len().is_multiple_of(step.positions as usize)
                    && bytes.len() / step.positions as usize >= model::VALUE_BYTES;
                if !fits {
                    return Err(StepRefusal::Malformed);
                }
                step.positions
            }
            _ => return Err(StepRefusal::Malformed),
        };
        let count_matches = step.positions == 0 || step.positions == count;
        let has_outputs = step.outputs_from < step.from + count;
        if count > 0 && count_matches && has_outputs && step.outputs_from >= step.from {
            Ok(count)
        } else {
            Err(StepRefusal::Malformed)
        }
    }

    fn advance(&mut self, step: &Step, end: u32) -> Result<Output, StepRefusal> {
        let layers = self.options.layers;
        if self.kv.is_stale(step.request, step.attempt) {
            return Err(StepRefusal::StaleAttempt);
        }
        let is_full = self.kv.len() >= self.options.slots as usize;
        if is_full && !self.kv.contains(step.request) {
            return Err(StepRefusal::Busy);
        }
        let kv = self.kv.entry(step.request, layers.count());
        kv.attempt = step.attempt;
        if step.from == 0 {
            kv.positions = 0;
            kv.digests.fill(0);
        } else if step.from != kv.positions {
            return Err(StepRefusal::KvMissing);
        }
        kv.positions = end;
        let salt = model::adapter_salt(&step.adapter);
        let outputs: Vec<u64> = layer_inputs(step)
            .into_iter()
            .map(|input| run_layers(layers, salt, input, &mut kv.digests))
            .collect();
        self.steps_run += 1;
        if let Input::Tokens { text, .. } = &step.input
            && !text.is_empty()
        {
            self.reports.record_prompt(model::adapter_salt(text));
        }
        self.record(step, end);
        Ok(self.output(step, &outputs))
    }

    fn record(&mut self, step: &Step, end: u32) {
        if !self.options.ledger {
            return;
        }
        let restored = step.restore_to.clamp(step.from, end);
        let run = |from, end, restore| LedgerRun {
            attempt: step.attempt,
            from,
            end,
            restore,
        };
        self.ledger
            .record(step.request, run(step.from, restored, true));
        self.ledger.record(step.request, run(restored, end, false));
    }

    fn output(&self, step: &Step, outputs: &[u64]) -> Output {
        let requested = &outputs[(step.outputs_from - step.from) as usize..];
        if self.options.layers.end < self.options.model_layers {
            return Output::Activations(activations(requested, self.options.activation_bytes));
        }
        let last = requested.last().copied().unwrap_or_default();
        let token = model::sample(last, self.options.ends);
        Output::Token {
            id: token.id,
            text: token.text,
            end: token.end,
        }
    }
}

fn refused(step: &Step, refusal: StepRefusal) -> StepResult {
    StepResult {
        request: step.request,
        attempt: step.attempt,
        from: step.from,
        positions: 0,
        output: Err(refusal),
    }
}

fn layer_inputs(step: &Step) -> Vec<u64> {
    match &step.input {
        Input::Tokens { text, tokens } => {
            let prompt = if text.is_empty() {
                Vec::new()
            } else {
                model::tokenize(text)
            };
            prompt
                .iter()
                .chain(tokens)
                .map(|token| model::embed(*token))
                .collect()
        }
        Input::Activations(bytes) => {
            let activation_bytes = bytes.len() / step.positions.max(1) as usize;
            bytes
                .chunks_exact(activation_bytes)
                .map(read_value)
                .collect()
        }
    }
}

fn read_value(activation: &[u8]) -> u64 {
    let mut value = [0; model::VALUE_BYTES];
    value.copy_from_slice(&activation[..model::VALUE_BYTES]);
    u64::from_le_bytes(value)
}

fn activations(values: &[u64], activation_bytes: usize) -> Bytes {
    let mut buf = BytesMut::with_capacity(values.len() * activation_bytes);
    for value in values {
        buf.put_u64_le(*value);
        buf.put_bytes(0, activation_bytes - model::VALUE_BYTES);
    }
    buf.freeze()
}

fn run_layers(layers: Layers, salt: u64, input: u64, digests: &mut [u64]) -> u64 {
    (layers.first..layers.end)
        .zip(digests)
        .fold(input, |value, (number, kv)| {
            model::layer(number, salt, value, kv)
        })
}

/// Estimates the number of positions of a step's input, at least one for tokens.
pub(crate) fn positions(step: &Step) -> u32 {
    match &step.input {
        Input::Tokens { text, tokens } => {
            (text.split_whitespace().count() + tokens.len()).max(1) as u32
        }
        Input::Activations(_) => step.positions,
    }
}
