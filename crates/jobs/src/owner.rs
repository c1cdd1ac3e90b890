//! The owner: the instance that holds the owner key in the store and places jobs.
//!
//! The key is attached to a lease and is claimed by a transaction, whose revision is the fencing
//! token. Commands are sent only while the lease is certain to be valid. A new owner waits until
//! runs that a previous owner may have started on unresponsive workers have expired.

mod claim;
mod execute;
mod fencing;
mod load;
mod load_limit;
mod stored_jobs;
mod usage;
mod watch_store;
mod write;

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cassiafold_event::emit;
use cassiafold_platform::{LeaseKeeper, LeaseValidity, Moment, StoreError, since_boot};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use self::claim::Ownership;
use self::execute::Outcome;
use self::load_limit::LoadLimit;
use self::usage::{LoopPhase, LoopStats};
use self::watch_store::{InboxPrefix, StoreUpdate, WorkerList, WorkersPrefix};
use self::write::{WriteOutcome, Writer};
use crate::clients::WorkerClient;
use crate::coalescing::{MessageRate, WakeupCoalescing};
use crate::desired_state::DesiredState;
use crate::event::JobsEvent;
use crate::metrics::JobsMetrics;
use crate::platform_clients::PlatformClients;
use crate::record::UnfinishedLoads;
use crate::scheduler::{Scheduler, SchedulerSettings};
use crate::task_panic::catch_panic;

/// Time between the starts of two state writes that nothing waits for.
const WRITE_INTERVAL: Duration = Duration::from_millis(120);
/// Time between them while workers keep run ends that are not stored.
const ENDS_WRITE_INTERVAL: Duration = Duration::from_millis(40);
/// Time between them while starts or callers wait for them.
const URGENT_WRITE_INTERVAL: Duration = Duration::from_millis(12);
/// Timeout of the last writes before the ownership is released.
const LAST_WRITES_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of the release of the ownership. A lease that is not released ends by itself.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time between two lists of machines while they are needed.
const MACHINES_INTERVAL: Duration = Duration::from_millis(700);
/// Further delay of the claims of an instance whose last term panicked or has not read the state.
/// It is longer than the delays of the other instances' claims.
const FAILED_TERM_MARGIN: Duration = Duration::from_secs(1);
/// Interval at which it is checked whether commands may be sent again.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of the message channel of the owner's loop.
const CHANNEL_CAPACITY: usize = 4_096;

/// Settings of an owner.
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    /// Name of this instance.
    pub instance: Arc<str>,
    /// Time to live of the owner's lease; longer if the store is slow when it is requested.
    pub lease_ttl: Duration,
    /// Longest random delay before a free ownership is claimed.
    pub claim_delay_max: Duration,
    /// Fixed delay before that, longer on weaker machines.
    pub claim_delay: Duration,
    /// Settings of the scheduler.
    pub scheduler: SchedulerSettings,
    /// Metrics.
    pub metrics: JobsMetrics,
    /// Coalescing of wakeups while this instance is the owner.
    pub coalescing: WakeupCoalescing,
}

/// Claims the ownership whenever it is free, and places jobs while it is held, until `stop`.
pub async fn campaign<S: PlatformClients>(
    platform: S,
    settings: OwnerSettings,
    desired_states: watch::Receiver<Arc<DesiredState>>,
    stop: CancellationToken,
) {
    let mut uncounted_loads = 0;
    let mut claim_margin = Duration::ZERO;
    while !stop.is_cancelled() {
        let claim_settings =
            OwnerSettings { claim_delay: settings.claim_delay + claim_margin, ..settings.clone() };
        let mut lease_ttl = settings.lease_ttl;
        let term = claim_and_run(
            &platform,
            &claim_settings,
            uncounted_loads,
            &desired_states,
            &stop,
            &mut lease_ttl,
        );
        let end = catch_panic("owner's term", term).await.unwrap_or(TermEnd::Panicked);
        settings.metrics.set_is_owner(false);
        uncounted_loads = end.uncounted_loads(uncounted_loads);
        claim_margin = end.claim_margin();
        if claim_margin.is_zero() || matches!(end, TermEnd::LeaseEndedWhileLoading) {
            continue;
        }
        // The lease is no longer renewed, so another instance can claim before this one does.
        tokio::select! {
            () = sleep(lease_ttl) => {}
            () = stop.cancelled() => return,
        }
    }
}

/// Claims the ownership when it is free, and runs one term. Stores the time to live of its lease in
/// `lease_ttl`, which is needed also if the term panics.
async fn claim_and_run<S: PlatformClients>(
    platform: &S,
    settings: &OwnerSettings,
    uncounted_loads: UnfinishedLoads,
    desired_states: &watch::Receiver<Arc<DesiredState>>,
    stop: &CancellationToken,
    lease_ttl: &mut Duration,
) -> TermEnd {
    let claimed = tokio::select! {
        claimed = claim::claim(platform, settings) => claimed,
        () = stop.cancelled() => return TermEnd::Stopped,
    };
    let token = claimed.token;
    *lease_ttl = claimed.lease.ttl();
    emit!(JobsEvent::OwnerBegan, token = token);
    settings.metrics.set_is_owner(true);
    let limit = LoadLimit::new(platform, token, uncounted_loads);
    let end = run_term(platform, settings, limit, desired_states.clone(), claimed, stop).await;
    emit!(JobsEvent::OwnerEnded, token = token, reason = end);
    end
}

/// Why a term ended.
#[derive(Debug, thiserror::Error)]
enum TermEnd {
    #[error("lease ended while loading")]
    LeaseEndedWhileLoading,
    #[error("stopped while loading")]
    StoppedWhileLoading,
    #[error("the state could not be read: {0}")]
    NotLoaded(StoreError),
    #[error("reading the state took longer than {limit:?}")]
    LoadTookTooLong {
        limit: Duration,
        /// Unfinished readings of this instance that the store does not count.
        uncounted: UnfinishedLoads,
    },
    #[error("message channel closed")]
    MessagesClosed,
    #[error("desired state channel closed")]
    DesiredStateClosed,
    #[error("lease ended")]
    LeaseEnded,
    #[error("stopped")]
    Stopped,
    #[error("fenced by a later owner")]
    Fenced,
    /// The loop might wait for the result of that task for ever.
    #[error("a task of the term panicked")]
    Panicked,
}

impl TermEnd {
    /// Further delay of the next claim: another instance may run a term although this one could
    /// not.
    fn claim_margin(&self) -> Duration {
        match self {
            Self::Panicked
            | Self::NotLoaded(_)
            | Self::LoadTookTooLong { .. }
            | Self::LeaseEndedWhileLoading => FAILED_TERM_MARGIN,
            _ => Duration::ZERO,
        }
    }

    /// Unfinished readings of this instance that the store does not count; `before` the term there
    /// were this many.
    fn uncounted_loads(&self, before: UnfinishedLoads) -> UnfinishedLoads {
        match self {
            Self::LoadTookTooLong { uncounted, .. } => *uncounted,
            Self::Panicked | Self::NotLoaded(_) | Self::LeaseEndedWhileLoading => before,
            _ => 0,
        }
    }
}

/// Input of the owner's loop.
enum Message {
    Outcome(Outcome),
    StoreUpdate(StoreUpdate),
    WriteOutcome(WriteOutcome),
    TaskPanicked,
    /// Whether this owner still holds the owner key.
    OwnershipChecked {
        is_held: bool,
    },
}

/// State of the owner's loop during one term.
struct OwnerLoop<S: PlatformClients> {
    platform: S,
    scheduler: Scheduler,
    lease: LeaseValidity,
    lease_ttl: Duration,
    sender: mpsc::Sender<Message>,
    workers: WorkerList,
    writer: Writer<S>,
    last_write: Moment,
    machines_requested: Option<Moment>,
    is_fenced: bool,
    /// Whether a task of the term ended by a panic.
    has_panicked: bool,
    /// When a worker last refused the token, while the owner key is being read.
    unchecked_refusal: Option<Moment>,
    metrics: JobsMetrics,
    loop_stats: LoopStats,
    rate: MessageRate,
}

async fn run_term<S: PlatformClients>(
    platform: &S,
    settings: &OwnerSettings,
    limit: LoadLimit<'_, S>,
    mut desired_states: watch::Receiver<Arc<DesiredState>>,
    ownership: Ownership<S>,
    stop: &CancellationToken,
) -> TermEnd {
    let Ownership { lease, token } = ownership;
    let loading = load::load(platform, settings.scheduler, token, &settings.instance, &limit);
    let loaded = tokio::select! {
        loaded = loading => loaded,
        limit_time = limit.reached() => {
            let uncounted = limit.count_unfinished(RELEASE_TIMEOUT).await;
            release_ownership(lease).await;
            return TermEnd::LoadTookTooLong { limit: limit_time, uncounted };
        }
        () = lease.ended() => return TermEnd::LeaseEndedWhileLoading,
        () = stop.cancelled() => {
            release_ownership(lease).await;
            return TermEnd::StoppedWhileLoading;
        }
    };
    let loaded = match loaded {
        Ok(loaded) => loaded,
        Err(error) => {
            release_ownership(lease).await;
            return TermEnd::NotLoaded(error);
        }
    };
    let (sender, mut messages) = mpsc::channel(CHANNEL_CAPACITY);
    let mut owner_loop = OwnerLoop {
        platform: platform.clone(),
        scheduler: loaded.scheduler,
        lease: lease.validity(),
        lease_ttl: lease.ttl(),
        workers: WorkerList::new(loaded.workers),
        writer: Writer::new(platform.clone(), token, loaded.sequences),
        sender: sender.clone(),
        last_write: since_boot(),
        machines_requested: None,
        is_fenced: false,
        has_panicked: false,
        unchecked_refusal: None,
        metrics: settings.metrics.clone(),
        loop_stats: LoopStats::new(since_boot()),
        rate: MessageRate::new(settings.coalescing.clone(), since_boot()),
    };
    let workers_prefix = WorkersPrefix { platform: platform.clone() };
    let _watch_tasks = [
        spawn_watch(
            "watch of the accepted jobs",
            watch_store::watch_store(
                platform.clone(),
                InboxPrefix,
                loaded.inbox_revision,
                sender.clone(),
            ),
            sender.clone(),
        ),
        spawn_watch(
            "watch of the workers",
            watch_store::watch_store(
                platform.clone(),
                workers_prefix,
                loaded.workers_revision,
                sender.clone(),
            ),
            sender,
        ),
    ];
    owner_loop.apply_desired_state(&desired_states.borrow_and_update().clone());
    owner_loop.workers.decode_initial(platform);
    owner_loop.update_workers();
    let end = loop {
        let now = since_boot();
        let due = owner_loop.next_due(now);
        let first = tokio::select! {
            message = messages.recv() => match message {
                Some(message) => Some(message),
                None => break TermEnd::MessagesClosed,
            },
            changed = desired_states.changed() => match changed {
                Ok(()) => {
                    owner_loop.apply_desired_state(&desired_states.borrow_and_update().clone());
                    None
                }
                Err(_) => break TermEnd::DesiredStateClosed,
            },
            () = sleep(due.saturating_sub(now)) => None,
            () = lease.ended() => break TermEnd::LeaseEnded,
            () = stop.cancelled() => break TermEnd::Stopped,
        };
        owner_loop.handle_messages(first, &mut messages);
        if owner_loop.is_fenced {
            break TermEnd::Fenced;
        }
        if owner_loop.has_panicked {
            break TermEnd::Panicked;
        }
        owner_loop.loop_stats.record_pass(due, since_boot());
        owner_loop.run_pass();
    };
    if stop.is_cancelled() {
        owner_loop.finish(&mut messages).await;
        release_ownership(lease).await;
    }
    owner_loop.close();
    end
}

async fn release_ownership<S: cassiafold_platform::Store>(lease: LeaseKeeper<S>) {
    let released = timeout(RELEASE_TIMEOUT, lease.close()).await;
    if let Err(error) = released.unwrap_or_else(|_| Err(StoreError::no_response())) {
        emit!(JobsEvent::StoreLost, user = "release of the ownership", error = error);
    }
}

/// Spawns a watch of the term, and tells the loop if it panics.
fn spawn_watch(
    name: &'static str,
    watch: impl Future<Output = ()> + Send + 'static,
    sender: mpsc::Sender<Message>,
) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(async move {
        if catch_panic(name, watch).await.is_err() {
            // The loop may have ended.
            let _ = sender.send(Message::TaskPanicked).await;
        }
    }))
}

/// The current Unix time.
fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl<S: PlatformClients> OwnerLoop<S> {
    fn apply_desired_state(&mut self, desired_state: &DesiredState) {
        let now = since_boot();
        if let Some(config) = &desired_state.config {
            self.scheduler.set_config(config.clone());
            // Which entries name a worker depends on the configured services.
            self.update_workers();
        }
        self.scheduler.set_evacuated_zones(desired_state.evacuated.clone());
        self.scheduler.set_waves(&desired_state.waves, now);
    }

    /// Returns when the next pass is due if there is no message.
    ///
    /// Nothing is planned while no command may be sent, so what is due stays due.
    fn next_due(&self, now: Moment) -> Moment {
        match self.may_send_commands(now) {
            true => self.scheduler.next_due(now),
            false => now + LEASE_CHECK_INTERVAL,
        }
    }

    /// Handles a message and all others that are in the channel.
    fn handle_messages(&mut self, first: Option<Message>, messages: &mut mpsc::Receiver<Message>) {
        let started = since_boot();
        let mut next = first;
        while let Some(message) = next.or_else(|| messages.try_recv().ok()) {
            self.handle_message(message);
            self.loop_stats.count_message();
            self.rate.count_message();
            next = None;
        }
        self.loop_stats.record(LoopPhase::Messages, started);
    }

    fn handle_message(&mut self, message: Message) {
        let now = since_boot();
        match message {
            Message::Outcome(outcome) => self.handle_outcome(outcome, now),
            Message::StoreUpdate(update) => self.apply_store_update(update, now),
            Message::WriteOutcome(outcome) => self.handle_write_outcome(outcome),
            Message::TaskPanicked => self.has_panicked = true,
            Message::OwnershipChecked { is_held } => self.handle_ownership_checked(is_held),
        }
    }

    fn apply_store_update(&mut self, update: StoreUpdate, now: Moment) {
        match update {
            StoreUpdate::Job { id, record, revision } => {
                self.scheduler.add_job(id, *record, revision, None, now);
            }
            StoreUpdate::Cancel(id) => self.scheduler.cancel(id, now),
            StoreUpdate::WorkerEntries(change) => {
                self.workers.apply(change, now);
                self.scheduler.set_workers(self.workers.entries(now), now);
            }
        }
    }

    fn update_workers(&mut self) {
        let now = since_boot();
        self.scheduler.set_workers(self.workers.entries(now), now);
    }

    /// Executes what is due.
    fn run_pass(&mut self) {
        let now = since_boot();
        self.rate.update(now);
        if self.workers.is_due(now) {
            self.scheduler.set_workers(self.workers.entries(now), now);
        }
        if self.may_send_commands(now) {
            let commands = self.scheduler.plan(unix_now(), now);
            let planned = self.loop_stats.record(LoopPhase::Plan, now);
            self.execute(commands, now);
            self.list_machines(now);
            self.loop_stats.record(LoopPhase::Commands, planned);
        }
        self.read_deferred_jobs(now);
        let started = since_boot();
        self.write(now);
        self.loop_stats.record(LoopPhase::Write, started);
        for address in self.scheduler.take_retired_addresses() {
            self.platform.workers().forget(&address);
        }
        self.metrics.count_crashes(self.scheduler.take_crash_counts());
        if self.loop_stats.is_report_due(now) {
            self.report(now);
        }
    }

    /// Reports the state of the loop to the log and the metrics.
    fn report(&mut self, now: Moment) {
        let commands = self.scheduler.take_command_report(now);
        self.metrics.set_commands_in_flight(&commands);
        self.loop_stats.report(now, &self.scheduler.backlog(now), &commands);
    }

    /// Closes the connections to all workers; the next owner opens its own.
    fn close(self) {
        for address in self.scheduler.active_addresses() {
            self.platform.workers().forget(address);
        }
        self.metrics.clear_commands_in_flight();
    }

    /// Writes what is left before the ownership is released.
    async fn finish(&mut self, messages: &mut mpsc::Receiver<Message>) {
        let deadline = since_boot() + LAST_WRITES_TIMEOUT;
        loop {
            self.last_write = Moment::ZERO;
            self.write(since_boot());
            if !self.writer.is_busy() {
                return;
            }
            let left = deadline.saturating_sub(since_boot());
            match timeout(left, messages.recv()).await {
                Ok(Some(Message::WriteOutcome(outcome))) => self.handle_write_outcome(outcome),
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return,
            }
        }
    }
}
