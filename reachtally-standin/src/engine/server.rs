//! The HTTP routes and the iteration loop of an engine.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use reachtally_core::ids::RequestId;
use reachtally_core::step::{Batch, StepResult};
use reachtally_listen::{Error, Listener};
use reachtally_target::order::{OrderBody, ReportBody};
use reachtally_target::{NOT_RUN, OUTCOME_HEADER, POSITIONS_HEADER, wire};
use rocket::data::{Data, ToByteUnit};
use rocket::http::{ContentType, Header, Status};
use rocket::response::{self, Responder, Response};
use rocket::serde::json::Json;
use rocket::{Request, Shutdown, get, post, put, routes};
use tokio::sync::{mpsc, oneshot};

use super::faults::{Fault, Faults};
use super::kv::KvExport;
use super::ledger::{Ledger, LedgerRun};
use super::reports::{CacheEvent, Load};
use super::state::{Options, State};

/// Maximum request body size.
const BODY_MAX_MIB: u64 = 64;

struct Job {
    batch: Batch,
    done: oneshot::Sender<Vec<StepResult>>,
}

#[derive(Clone)]
struct Shared {
    state: Arc<Mutex<State>>,
    jobs: mpsc::UnboundedSender<Job>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A running engine server.
pub struct Engine {
    listener: Listener,
    shared: Shared,
}

impl Engine {
    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.listener.url()
    }

    /// Injects a fault.
    pub fn fault(&self, fault: Fault) {
        inject(&self.shared, &self.listener.shutdown_handle(), fault);
    }

    /// Returns a copy of the ledger.
    pub fn ledger(&self) -> Ledger {
        self.shared.lock().ledger().clone()
    }

    /// Returns the number of steps run since the start.
    pub fn steps_run(&self) -> u64 {
        self.shared.lock().steps_run
    }

    /// Returns the number of requests whose KV the engine holds.
    pub fn requests_held(&self) -> usize {
        self.shared.lock().requests_held()
    }

    /// Stops the server.
    pub async fn stop(self) {
        self.listener.stop().await;
    }

    /// Waits until the server stops, for example by [`Fault::Die`].
    pub async fn stopped(self) {
        self.listener.stopped().await;
    }
}

/// Starts an engine server.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub async fn start(listen: reachtally_listen::Options, options: Options) -> Result<Engine, Error> {
    let (jobs, rx) = mpsc::unbounded_channel();
    let shared = Shared {
        state: Arc::new(Mutex::new(State::new(options))),
        jobs,
    };
    tokio::spawn(iterate(shared.state.clone(), rx));
    let managed = shared.clone();
    let listener = reachtally_listen::start(listen, |rocket| {
        rocket.manage(managed).mount(
            "/",
            routes![
                steps,
                health,
                load,
                cache_events,
                report,
                order,
                export,
                import,
                ledger,
                fault
            ],
        )
    })
    .await?;
    Ok(Engine { listener, shared })
}

/// Runs the continuous batching loop. Each iteration runs the waiting calls in order of priority,
/// up to the configured number of positions, and responds to all of them when it ends.
async fn iterate(state: Arc<Mutex<State>>, mut rx: mpsc::UnboundedReceiver<Job>) {
    let mut waiting = Vec::new();
    loop {
        if waiting.is_empty() {
            match rx.recv().await {
                Some(job) => waiting.push(job),
                None => return,
            }
        }
        while let Ok(job) = rx.try_recv() {
            waiting.push(job);
        }
        let max_positions = lock(&state).options.iteration_positions;
        let jobs = take_iteration(&mut waiting, max_positions);
        let positions: u32 = jobs.iter().map(|job| batch_positions(&job.batch)).sum();
        let wait = iteration_time(&mut lock(&state), positions);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        for job in jobs {
            let results = lock(&state).run(job.batch);
            // Fails if the caller disconnected; the steps ran regardless.
            job.done.send(results).ok();
        }
    }
}

fn max_priority(job: &Job) -> u32 {
    let priorities = job.batch.steps.iter().map(|step| step.priority);
    priorities.max().unwrap_or(0)
}

/// Removes the calls of the next iteration: at least one, by priority, then by arrival.
fn take_iteration(waiting: &mut Vec<Job>, max_positions: u32) -> Vec<Job> {
    waiting.sort_by_key(|job| std::cmp::Reverse(max_priority(job)));
    let mut sum = 0;
    let fits = |job: &&Job| {
        sum += batch_positions(&job.batch);
        sum <= max_positions
    };
    let count = waiting.iter().take_while(fits).count().max(1);
    waiting.drain(..count).collect()
}

fn batch_positions(batch: &Batch) -> u32 {
    batch.steps.iter().map(super::state::positions).sum()
}

fn iteration_time(state: &mut State, positions: u32) -> Duration {
    let pause = std::mem::take(&mut state.faults.pause);
    let layers = state.options.layers.count();
    let time = state.options.step_time.of(positions, layers);
    pause + time.mul_f64(state.faults.slow)
}

enum StepsAnswer {
    Results(Vec<u8>),
    NotRun,
    Lost,
}

impl<'r> Responder<'r, 'static> for StepsAnswer {
    fn respond_to(self, req: &'r Request<'_>) -> response::Result<'static> {
        match self {
            StepsAnswer::Results(body) => {
                (ContentType::new("application", "x-protobuf"), body).respond_to(req)
            }
            StepsAnswer::NotRun => Response::build()
                .status(Status::ServiceUnavailable)
                .header(Header::new(OUTCOME_HEADER, NOT_RUN))
                .ok(),
            StepsAnswer::Lost => Response::build().status(Status::BadGateway).ok(),
        }
    }
}

#[post("/v1/steps", data = "<data>")]
async fn steps(data: Data<'_>, shared: &rocket::State<Shared>) -> Result<StepsAnswer, Status> {
    let body = data.open(BODY_MAX_MIB.mebibytes()).into_bytes().await;
    let body = body.map_err(|_| Status::BadRequest)?;
    if !body.is_complete() {
        return Err(Status::PayloadTooLarge);
    }
    let batch = wire::decode_batch(body.into_inner().into()).map_err(|_| Status::BadRequest)?;
    if Faults::consume(&mut shared.lock().faults.refuse) {
        return Ok(StepsAnswer::NotRun);
    }
    let (done, results) = oneshot::channel();
    let job = Job { batch, done };
    shared
        .jobs
        .send(job)
        .map_err(|_| Status::ServiceUnavailable)?;
    let mut results = results.await.map_err(|_| Status::ServiceUnavailable)?;
    let mut state = shared.lock();
    if Faults::consume(&mut state.faults.lose_answers) {
        return Ok(StepsAnswer::Lost);
    }
    if Faults::consume(&mut state.faults.double_answers) {
        results.extend(results.clone());
    }
    drop(state);
    Ok(StepsAnswer::Results(wire::encode_results(results)))
}

#[get("/health")]
fn health() -> &'static str {
    "up"
}

#[get("/v1/load")]
fn load(shared: &rocket::State<Shared>) -> Json<Load> {
    Json(shared.lock().load())
}

#[get("/v1/cache-events?<after>")]
fn cache_events(after: u64, shared: &rocket::State<Shared>) -> Json<Vec<CacheEvent>> {
    Json(shared.lock().cache_events(after))
}

#[post("/v1/orders", data = "<order>")]
fn order(
    order: Json<OrderBody>,
    shared: &rocket::State<Shared>,
    shutdown_handle: Shutdown,
) -> Result<(), Status> {
    let result = shared.lock().order(order.into_inner());
    result.map_err(|_| Status::Conflict)?;
    if shared.lock().is_stopped() {
        shutdown_handle.notify();
    }
    Ok(())
}

#[get("/v1/report")]
fn report(shared: &rocket::State<Shared>) -> Json<ReportBody> {
    Json(shared.lock().report())
}

fn request_id(incarnation: u64, seq: u64) -> RequestId {
    RequestId {
        incarnation: reachtally_core::Incarnation(incarnation),
        seq,
    }
}

#[get("/v1/kv/<incarnation>/<seq>")]
fn export(incarnation: u64, seq: u64, shared: &rocket::State<Shared>) -> Result<Exported, Status> {
    let export = shared.lock().export(request_id(incarnation, seq));
    export.map(Exported).ok_or(Status::NotFound)
}

struct Exported(KvExport);

impl<'r> Responder<'r, 'static> for Exported {
    fn respond_to(self, req: &'r Request<'_>) -> response::Result<'static> {
        let positions = self.0.positions.to_string();
        Response::build_from(Json(self.0).respond_to(req)?)
            .header(Header::new(POSITIONS_HEADER, positions))
            .ok()
    }
}

#[put("/v1/kv/<incarnation>/<seq>", data = "<export>")]
fn import(
    incarnation: u64,
    seq: u64,
    export: Json<KvExport>,
    shared: &rocket::State<Shared>,
) -> Result<(), Status> {
    let fits = shared
        .lock()
        .import(request_id(incarnation, seq), export.into_inner());
    fits.then_some(()).ok_or(Status::UnprocessableEntity)
}

#[get("/ledger/<incarnation>/<seq>")]
fn ledger(incarnation: u64, seq: u64, shared: &rocket::State<Shared>) -> Json<Vec<LedgerRun>> {
    Json(
        shared
            .lock()
            .ledger()
            .of(request_id(incarnation, seq))
            .to_vec(),
    )
}

#[post("/faults", data = "<fault>")]
fn fault(fault: Json<Fault>, shared: &rocket::State<Shared>, shutdown_handle: Shutdown) {
    inject(shared, &shutdown_handle, fault.into_inner());
}

fn inject(shared: &Shared, shutdown_handle: &Shutdown, fault: Fault) {
    log::info!(fault:? = fault; "fault injected");
    shared.lock().faults.set(fault);
    if fault == Fault::Die {
        shutdown_handle.clone().notify();
    }
}
