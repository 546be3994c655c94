//! The daemon: the core and the threads around it, connected by bounded rings.
//!
//! | thread | task |
//! |---|---|
//! | `core` | runs the decision core; every other thread only executes its effects |
//! | `callers` | HTTP to callers |
//! | `targets` | HTTP to targets |
//! | `peers` | QUIC to the other entry VMs |
//! | `platform` | the table service and the list of VMs |
//! | `report` | histograms and statsd |
//! | `operators` | HTTP to operators |

use std::{
    collections::HashMap,
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use ntex::{
    rt::{DefaultRuntime, System},
    server::Server,
};
use rand::Rng;
use ryetide_core::{
    effect::{ApplyOutcome, Effect, EffectBuffer, OperatorNotice},
    entry::{EntryCore, EntryOptions},
    event::{Event, TargetOperation},
    ids::{Incarnation, OperationId, VmName},
    units::Moment,
};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use crate::{
    answer_buffer::AnswerPart,
    caller_edge::{self, CallerServer, EdgeCommand, EdgeIdentity, EdgeRings},
    daemon_sockets::{DaemonAddresses, DaemonSockets},
    error::StepError,
    operator_port::{self, OperatorCommand, OperatorRings},
    peer_keys::PeerKeys,
    peer_link::{self, LinkCommand, LinkOptions, LinkPreface},
    platform_client::{self, PlatformCommand},
    quarantine_log,
    request_report::{self, ReportCommand, ReportRings},
    ring::{self, RingReceiver, RingSender},
    server_stop,
    settings::DaemonSettings,
    target_client::{self, PermittedOrder, TargetCommand},
    util,
};

/// The capacity of each ring, in values.
const RING_CAPACITY: usize = 8_192;
/// The number of events processed from one ring before the next ring is polled.
const EVENTS_PER_TURN: usize = 256;
/// The number of effects after which a step defers the rest to the next step.
const EFFECT_LIMIT: usize = 2_048;
/// The time that callers have to read the remaining answers after the core has finished.
const ANSWER_DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval at which remaining answers are counted during a shutdown.
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The time that the edge has to process the core's last commands before the servers stop.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// A handle with which a running daemon is shut down.
#[derive(Clone, Debug, Default)]
pub struct ShutdownHandle {
    notify: Arc<Notify>,
}

impl ShutdownHandle {
    /// Begins the shutdown: new requests are refused, and running requests are finished.
    pub fn shut_down(&self) {
        self.notify.notify_one();
    }
}

/// Runs a daemon until it is shut down and all of its requests are finished.
///
/// # Errors
///
/// Returns a [`StepError`] when a socket, key or thread cannot be used.
pub fn run(
    settings: DaemonSettings,
    sockets: DaemonSockets,
    shutdown: ShutdownHandle,
) -> Result<(), StepError> {
    let keys = PeerKeys::load(&settings.peers)?;
    let incarnation = Incarnation(rand::rng().random());
    let inputs_ready = Arc::new(Notify::new());
    let reports_ready = Arc::new(Notify::new());
    let input = || ring::ring_with_notify(RING_CAPACITY, Arc::clone(&inputs_ready));
    let report_ring = || ring::ring_with_notify(RING_CAPACITY, Arc::clone(&reports_ready));
    let (edge_events, from_edge) = input();
    let (target_events, from_targets) = input();
    let (peer_events, from_peers) = input();
    let (platform_events, from_platform) = input();
    let (operator_commands, from_operators) =
        ring::ring_with_notify(RING_CAPACITY, Arc::clone(&inputs_ready));
    let (to_edge, edge_commands) = ring::ring(RING_CAPACITY);
    let (to_targets, target_commands) = ring::ring(RING_CAPACITY);
    let (to_peers, peer_commands) = ring::ring(RING_CAPACITY);
    let (tunnel_requests, tunnels) = ring::ring(RING_CAPACITY);
    let (to_platform, platform_commands) = ring::ring(RING_CAPACITY);
    let (to_report, core_reports) = report_ring();
    let (edge_reports_sender, edge_reports) = report_ring();
    let (operator_reports_sender, operator_reports) = report_ring();
    let (servers_alive, servers_ended) = ring::ring_with_notify(1, Arc::clone(&reports_ready));
    let report_rings =
        ReportRings::new(vec![core_reports, edge_reports, operator_reports], reports_ready)
            .until(servers_ended);

    let addresses = sockets.addresses()?;
    let preface = LinkPreface {
        name: settings.name.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        address: addresses.peers,
    };
    let link_options = LinkOptions { socket: sockets.peers, keys, preface };
    let open_calls = Arc::new(AtomicUsize::new(0));
    let identity = EdgeIdentity {
        vm: settings.name.clone(),
        incarnation,
        limits: settings.limits,
        open_calls: Arc::clone(&open_calls),
    };
    let options =
        EntryOptions::new(settings.name.clone(), settings.data_centre.clone(), incarnation)
            .with_peers(settings.peers.known.clone());
    let (platform, metrics) = (settings.platform.clone(), settings.metrics);
    let stop_servers = Arc::new(Notify::new());
    let stop = Arc::clone(&stop_servers);

    let workers = vec![
        spawn("targets", move || {
            target_client::run(target_commands, tunnel_requests, target_events)
        })?,
        spawn("peers", move || peer_link::run(link_options, peer_commands, tunnels, peer_events))?,
        spawn("platform", move || {
            platform_client::run(platform, platform_commands, platform_events)
        })?,
        spawn("report", move || request_report::run(report_rings, metrics))?,
        spawn("servers", move || async move {
            let edge_rings = EdgeRings {
                events: edge_events,
                commands: edge_commands,
                reports: edge_reports_sender,
            };
            let operator_rings =
                OperatorRings { commands: operator_commands, reports: operator_reports_sender };
            let edge = caller_edge::start(sockets.callers, identity, edge_rings)?;
            let operators = operator_port::start(sockets.operators, operator_rings)?;
            stop.notified().await;
            stop_servers_after_answers(&open_calls, &edge, &operators).await;
            drop(servers_alive);
            Ok(())
        })?,
    ];
    let driver = CoreDriver {
        core: EntryCore::new(options),
        effects: EffectBuffer::new(EFFECT_LIMIT),
        started: None,
        inputs_ready,
        inputs: vec![from_edge, from_targets, from_peers, from_platform],
        operators: from_operators,
        to_edge,
        to_targets,
        to_peers,
        to_platform,
        to_report,
        edits: HashMap::new(),
        is_drained: false,
    };
    let DaemonAddresses { callers, operators, peers } = addresses;
    tracing::info!(event = "listening", vm = %settings.name, %callers, %operators, %peers);
    let core = thread::Builder::new()
        .name("core".to_owned())
        .spawn(move || run_core(driver, &shutdown, &stop_servers))
        .map_err(|error| StepError::new("start core", error))?;
    let finished = core.join().map_err(|_| StepError::new("run core", "the thread panicked"))?;
    for worker in workers {
        let ended = worker.join().map_err(|_| StepError::new("join", "a thread panicked"))?;
        ended?;
    }
    tracing::info!(event = "stopped", vm = %settings.name);
    finished
}

/// Waits until the remaining answers are sent, and then closes both ports.
async fn stop_servers_after_answers(
    open_calls: &AtomicUsize,
    edge: &CallerServer,
    operators: &Server,
) {
    let answers_left = async {
        while open_calls.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(ANSWER_POLL_INTERVAL).await;
        }
    };
    if util::within(ANSWER_DRAIN_TIMEOUT, answers_left).await.is_none() {
        let left = open_calls.load(Ordering::SeqCst);
        tracing::warn!(event = "answers-abandoned", step = "shutdown", left);
    }
    server_stop::stop_gracefully("callers", edge).await;
    server_stop::stop_immediately("operators", operators).await;
}

type WorkerHandle = thread::JoinHandle<Result<(), StepError>>;

/// Runs `task` to its end on a new thread with its own runtime.
fn spawn<F, T>(name: &'static str, task: F) -> Result<WorkerHandle, StepError>
where
    F: FnOnce() -> T + Send + 'static,
    T: Future<Output = Result<(), StepError>> + 'static,
{
    let run = move || {
        let system = System::new(name, DefaultRuntime);
        system.block_on(async move {
            let outcome = task().await;
            if let Err(error) = &outcome {
                tracing::error!(event = "duty-failed", step = name, reason = %error);
            }
            outcome
        })
    };
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .map_err(|error| StepError::new("start thread", error).with_peer(name))
}

fn run_core(
    mut driver: CoreDriver,
    shutdown: &ShutdownHandle,
    stop_servers: &Notify,
) -> Result<(), StepError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .map_err(|error: io::Error| StepError::new("build core runtime", error))?;
    runtime.block_on(async {
        driver.run(shutdown).await;
        tokio::time::sleep(FLUSH_DELAY).await;
    });
    stop_servers.notify_one();
    Ok(())
}

/// The event loop of the core: receives events from the rings and executes the core's effects.
struct CoreDriver {
    core: EntryCore,
    effects: EffectBuffer,
    started: Option<Instant>,
    inputs_ready: Arc<Notify>,
    inputs: Vec<RingReceiver<Event>>,
    operators: RingReceiver<OperatorCommand>,
    to_edge: RingSender<EdgeCommand>,
    to_targets: RingSender<TargetCommand>,
    to_peers: RingSender<LinkCommand>,
    to_platform: RingSender<PlatformCommand>,
    to_report: RingSender<ReportCommand>,
    edits: HashMap<OperationId, oneshot::Sender<ApplyOutcome>>,
    is_drained: bool,
}

impl CoreDriver {
    async fn run(&mut self, shutdown: &ShutdownHandle) {
        self.started = Some(Instant::now());
        self.step(Event::Tick).await;
        while !self.is_drained {
            let now = self.now();
            let wake = self.core.next_wake(now);
            let sleep = tokio::time::sleep(wake.since(now));
            tokio::select! {
                () = self.inputs_ready.notified() => {}
                () = sleep => self.step(Event::Tick).await,
                () = shutdown.notify.notified() => {
                    tracing::info!(event = "shutdown-begun");
                    self.step(Event::Shutdown).await;
                }
            }
            self.process_inputs().await;
        }
    }

    fn now(&self) -> Moment {
        let passed = self.started.map_or(Duration::ZERO, |started| started.elapsed());
        // The clock starts at one because moment 0 means "never".
        Moment(u64::try_from(passed.as_micros()).unwrap_or(u64::MAX).saturating_add(1))
    }

    /// Returns the time until which an order may be sent.
    fn instant_of(&self, order: &TargetOperation) -> Instant {
        let start = self.started.unwrap_or_else(Instant::now);
        match order {
            TargetOperation::Dispatch { not_after, .. } => start + not_after.since(Moment(1)),
            TargetOperation::Resume { .. } => start,
        }
    }

    async fn process_inputs(&mut self) {
        let mut more = true;
        while more && !self.is_drained {
            more = false;
            for index in 0..self.inputs.len() {
                for _ in 0..EVENTS_PER_TURN {
                    let Some(event) = self.inputs[index].try_recv() else { break };
                    self.step(event).await;
                    more = true;
                }
            }
            while let Some(command) = self.operators.try_recv() {
                self.run_command(command).await;
            }
        }
    }

    async fn step(&mut self, event: Event) {
        let now = self.now();
        self.core.step(now, event, &mut self.effects);
        let effects: Vec<Effect> = self.effects.drain().collect();
        for effect in effects {
            self.execute(effect).await;
        }
    }

    async fn run_command(&mut self, command: OperatorCommand) {
        // Sending fails when the operator has disconnected.
        match command {
            OperatorCommand::Status(reply) => drop(reply.send(self.core.status())),
            OperatorCommand::Configuration(reply) => {
                drop(reply.send(self.core.configuration().in_force().cloned()));
            }
            OperatorCommand::Apply(base, text, reply) => {
                let operation = OperationId(rand::rng().random_range(1..=u64::MAX));
                self.edits.insert(operation, reply);
                self.step(Event::Apply { operation, base, text }).await;
            }
        }
    }

    async fn execute(&mut self, effect: Effect) {
        // A closed ring means that its thread has failed and has logged the error. The core
        // continues, and requests that depend on that thread time out.
        let answer = |sequence, part| EdgeCommand { sequence, part };
        match effect {
            Effect::BeginAnswer { sequence, head } => {
                let _ = self.to_edge.send(answer(sequence, AnswerPart::Head(head))).await;
            }
            Effect::SendPiece { sequence, bytes } => {
                let _ = self.to_edge.send(answer(sequence, AnswerPart::Piece(bytes))).await;
            }
            Effect::FinishAnswer { sequence, answer: ended } => {
                let _ = self.to_edge.send(answer(sequence, AnswerPart::Final(ended))).await;
            }
            Effect::Connect { sequence, attempt, route } => {
                self.send_to_targets(TargetCommand::Connect(sequence, attempt, route)).await;
            }
            Effect::Permit { sequence, attempt, order } => {
                let not_after = self.instant_of(&order);
                let permitted = PermittedOrder { order, not_after };
                self.send_to_targets(TargetCommand::Permit(sequence, attempt, permitted)).await;
            }
            Effect::Abandon { sequence, attempt } => {
                self.send_to_targets(TargetCommand::Abandon(sequence, attempt)).await;
            }
            Effect::Cancel { id, route } => {
                self.send_to_targets(TargetCommand::Cancel(id, route)).await;
            }
            Effect::WatchTargets(routes) => {
                self.send_to_targets(TargetCommand::Watch(routes)).await;
            }
            Effect::Send { to, message } => {
                let _ = self.to_peers.send(LinkCommand::Send(to, message)).await;
            }
            Effect::ConnectPeers(peers) => {
                let _ = self.to_peers.send(LinkCommand::Connect(peers)).await;
            }
            Effect::Table { token, command } => {
                let _ = self.to_platform.send(PlatformCommand { token, command }).await;
            }
            Effect::ApplyDone { operation, outcome } => {
                if let Some(reply) = self.edits.remove(&operation) {
                    // Sending fails when the operator has disconnected.
                    let _ = reply.send(outcome);
                }
            }
            Effect::Record(summary) => {
                let _ = self.to_report.send(ReportCommand::Record(summary)).await;
            }
            Effect::Note(notice) => log_notice(self.core.name(), &notice),
            Effect::Drained => self.is_drained = true,
        }
    }

    async fn send_to_targets(&self, command: TargetCommand) {
        let _ = self.to_targets.send(command).await;
    }
}

fn log_notice(vm: &VmName, notice: &OperatorNotice) {
    match notice {
        OperatorNotice::RevisionInForce { revision, from_peer } => {
            let source = from_peer.as_ref().map_or("table", |name| name.as_str());
            tracing::info!(event = "revision-in-force", %revision, source);
        }
        OperatorNotice::RevisionUnreadable { revision, fault } => {
            tracing::error!(event = "revision-unreadable", step = "adopt", %revision, %fault);
        }
        OperatorNotice::RowUnreadable { version, fault } => {
            tracing::error!(event = "row-unreadable", step = "read table", version, %fault);
        }
        OperatorNotice::RevisionWentBack { found, in_force } => {
            tracing::error!(event = "revision-went-back", step = "read table", %found, %in_force);
        }
        OperatorNotice::PeerSilent(peer) => tracing::warn!(event = "peer-silent", %peer),
        OperatorNotice::PeerHeard(peer) => tracing::info!(event = "peer-heard", %peer),
        OperatorNotice::TargetLeaving(target) => tracing::info!(event = "target-leaving", %target),
        OperatorNotice::TargetSuspect(target) => {
            tracing::warn!(event = "target-suspect", step = "connect", %target);
        }
        OperatorNotice::TargetSaid { sequence, target, word } => {
            let hold_off_ms = word.hold_off.map(|span| span.as_millis());
            let leaving = word.leaving;
            let limit = word.limit.rate().map(tracing::field::display);
            tracing::info!(event = "target-word", %vm, %sequence, %target, leaving, hold_off_ms, limit);
        }
        OperatorNotice::TargetLimit { sequence, target, limit } => {
            let limit = limit.map(tracing::field::display);
            tracing::info!(event = "target-limit", %vm, %sequence, %target, limit);
        }
        OperatorNotice::TargetCrashed { target, features, ran_ms } => {
            let (print, parts) = (features.fingerprint, features.part_list());
            tracing::warn!(event = "target-crashed", %vm, %target, %print, parts, ran_ms);
        }
        OperatorNotice::Quarantine(change) => quarantine_log::write(vm, change),
        OperatorNotice::ArbiterSilent(peer) => {
            tracing::warn!(event = "arbiter-silent", step = "ask", %peer);
        }
    }
}
