//! Startup and graceful shutdown of a daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use log::info;
use reachtally_clock::{Clock, boot_clock};
use reachtally_config::Settings;
use reachtally_core::counters::Counters;
use reachtally_core::forward::bodies::BodyLimits;
use reachtally_core::member::MemberState;
use reachtally_core::{Event, Incarnation, Instant, World};
use reachtally_listen::{Listener, Options as Listen};
use reachtally_log::http::HttpPlatform;
use reachtally_target::http::HttpTargets;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::actor::{Actor, Answer, Handle, Message, Published, Query};
use crate::caller::{self, OpenStreams};
use crate::perform::Performer;
use crate::view::{Readiness, View};
use crate::{follow, metrics, operator, peers};

/// Grace period of the callers' listener on shutdown for writing the last responses, in seconds.
const FLUSH_GRACE_S: u32 = 5;

/// Why a daemon did not start.
#[derive(Debug)]
pub enum StartError {
    /// An HTTP client could not be set up.
    Client,
    /// The UDP socket for metrics could not be opened.
    Metrics,
    /// A listener could not be started.
    Listen(&'static str),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Client => f.write_str("can't set up the HTTP client"),
            StartError::Metrics => f.write_str("can't set up the metrics"),
            StartError::Listen(whom) => write!(f, "can't listen for {whom}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running daemon.
pub struct Daemon {
    handle: Handle,
    view: watch::Receiver<View>,
    open: OpenStreams,
    callers: Listener,
    operators: Listener,
    stop_notice: std::time::Duration,
    tasks: Vec<JoinHandle<()>>,
}

/// Identity of one run of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Identifies the run in the log and to engines.
    pub incarnation: Incarnation,
    /// Seed of its random number generator.
    pub seed: u64,
}

impl Identity {
    /// Generates a random identity. Two runs share an incarnation with a probability of 2^-64.
    pub fn random() -> Self {
        Identity {
            incarnation: Incarnation(rand::random()),
            seed: rand::random(),
        }
    }
}

/// Starts a daemon.
///
/// # Errors
/// [`StartError`] with its cause.
pub async fn start(settings: Settings, identity: Identity) -> Result<Daemon, Report<StartError>> {
    let targets = HttpTargets::new().change_context(StartError::Client)?;
    let platform =
        HttpPlatform::new(&settings.log, &settings.list).change_context(StartError::Client)?;
    let statsd = metrics::client(settings.statsd).change_context(StartError::Metrics)?;
    let (handle, rx) = mpsc::unbounded_channel();
    let (view_tx, view) = watch::channel(View::empty());
    let (counters_tx, counters) = watch::channel(Counters::default());
    let (reader_tx, reader) = watch::channel(true);
    let open = OpenStreams::default();
    let callers = listen_callers(&settings, &handle, &view, &open).await?;
    let operators = listen_operators(&settings, &handle, &view, &platform).await?;
    let performer = Performer {
        handle: handle.clone(),
        targets,
        platform: platform.clone(),
        request_timeout: settings.request_timeout,
    };
    let published = Published {
        view: view_tx,
        counters: counters_tx,
        reader: reader_tx,
    };
    let peers = listen_peers(&settings).await?;
    let limits = settings.limits.clone();
    let window = limits.claim_window;
    let mut world = World::new(identity.incarnation, identity.seed, limits);
    if let Some(peers) = &peers {
        let address = peers
            .local_addr()
            .change_context(StartError::Listen("peers"))?;
        world.join(own_member(&settings, address), Instant::ZERO);
    }
    let actor = Actor::new(world, Clock::start(boot_clock()), rx, performer, published);
    let mut tasks = vec![
        tokio::spawn(actor.run()),
        tokio::spawn(follow::config(platform.clone(), handle.clone(), reader)),
        tokio::spawn(follow::domains(platform.clone(), handle.clone())),
        tokio::spawn(follow::claims(
            platform.clone(),
            handle.clone(),
            window,
            identity.incarnation,
        )),
        tokio::spawn(follow::list(platform, handle.clone())),
        tokio::spawn(metrics::report(statsd, counters)),
    ];
    if let Some(peers) = peers {
        tasks.push(tokio::spawn(peers::listen(peers, handle.clone())));
    }
    info!(
        box_name = settings.box_name.as_str(), domain = settings.domain.as_str(),
        callers:% = callers.address, operators:% = operators.address;
        "daemon started"
    );
    Ok(Daemon {
        handle,
        view,
        open,
        callers,
        operators,
        stop_notice: settings.stop_notice,
        tasks,
    })
}

/// The initial state that the daemon gossips about itself.
fn own_member(settings: &Settings, address: SocketAddr) -> MemberState {
    MemberState {
        box_name: settings.box_name.clone(),
        domain: settings.domain.clone(),
        address: address.to_string(),
        ..MemberState::default()
    }
}

async fn listen_peers(settings: &Settings) -> Result<Option<TcpListener>, Report<StartError>> {
    let Some(address) = settings.peer else {
        return Ok(None);
    };
    let listener = TcpListener::bind(address).await;
    listener
        .map(Some)
        .change_context(StartError::Listen("peers"))
        .attach_with(|| format!("on {address}"))
}

async fn listen_callers(
    settings: &Settings,
    handle: &Handle,
    view: &watch::Receiver<View>,
    open: &OpenStreams,
) -> Result<Listener, Report<StartError>> {
    let shared = caller::Shared {
        handle: handle.clone(),
        view: view.clone(),
        body_bytes: settings.body_bytes,
        bodies: Arc::default(),
        body_limits: BodyLimits::of_total(settings.body_memory_bytes),
        started: tokio::time::Instant::now(),
        request_timeout: settings.request_timeout,
        open: open.clone(),
    };
    let options = Listen {
        grace_s: FLUSH_GRACE_S,
        ..Listen::at(settings.callers)
    };
    reachtally_listen::start(options, |rocket| caller::mount(rocket, shared))
        .await
        .change_context(StartError::Listen("callers"))
}

async fn listen_operators(
    settings: &Settings,
    handle: &Handle,
    view: &watch::Receiver<View>,
    platform: &HttpPlatform,
) -> Result<Listener, Report<StartError>> {
    let shared = operator::Shared {
        handle: handle.clone(),
        view: view.clone(),
        operators: settings.operator_keys.clone(),
        platform: platform.clone(),
    };
    let options = Listen::at(settings.operators);
    reachtally_listen::start(options, |rocket| operator::mount(rocket, shared))
        .await
        .change_context(StartError::Listen("operators"))
}

impl Daemon {
    /// Listen address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address
    }

    /// Listen address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address
    }

    /// Waits until the daemon has read a configuration and the claims and serves all requests.
    pub async fn ready(&self) {
        let mut view = self.view.clone();
        // The sender lives as long as the actor; a daemon without an actor never becomes ready.
        view.wait_for(|view| {
            view.readiness == Readiness::Ready && view.claims_ready && view.config_next > 0
        })
        .await
        .ok();
    }

    /// Queries the world; `None` if the actor has ended.
    pub async fn query(&self, query: Query) -> Option<Answer> {
        let (tx, rx) = oneshot::channel();
        self.handle
            .send(Message::Query { query, answer: tx })
            .ok()?;
        rx.await.ok()
    }

    /// Shuts down gracefully: reports not ready, then stops admitting requests, waits until every
    /// request has ended and its response is written, and closes the listeners.
    pub async fn stop(self) {
        info!("daemon stopping: reporting not ready");
        self.handle.send(Message::PrepareStop).ok();
        sleep(self.stop_notice).await;
        self.handle.send(Message::Event(Event::Stop)).ok();
        let (tx, rx) = oneshot::channel();
        self.handle.send(Message::NotifyIdle(tx)).ok();
        // The actor runs until its task is aborted below.
        rx.await.ok();
        self.open.drained().await;
        info!("daemon stopping: all requests have ended");
        self.callers.stop().await;
        self.operators.stop().await;
        for task in self.tasks {
            task.abort();
        }
    }
}
