//! The owner: the instance that holds the owner key in the store and places jobs.
//!
//! The key is attached to a lease and is claimed by a transaction, whose revision is the fencing
//! token. Commands are sent only while the lease is certain to be valid. A new owner waits until
//! runs that a previous owner may have started on unresponsive workers have expired.

mod claim;
mod execute;
mod load;
mod usage;
mod watch_store;
mod write;

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cassiafold_event::emit;
use cassiafold_platform::{LeaseKeeper, LeaseValidity, Moment, since_boot};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use self::claim::Ownership;
use self::execute::Outcome;
use self::usage::{Usage, Work};
use self::watch_store::{Followed, Inbox, Listing, Reports};
use self::write::{Writer, Written};
use crate::clients::WorkerClient;
use crate::coalescing::{MessageRate, WakeupCoalescing};
use crate::desired_state::DesiredState;
use crate::event::JobsEvent;
use crate::metrics::JobsMetrics;
use crate::platform_clients::PlatformClients;
use crate::scheduler::{Scheduler, SchedulerSettings};

/// Time between the starts of two state writes that nothing waits for.
const WRITE_INTERVAL: Duration = Duration::from_millis(120);
/// Time between them while workers keep run ends that are not stored.
const ENDS_WRITE_INTERVAL: Duration = Duration::from_millis(40);
/// Time between them while starts or callers wait for them.
const URGENT_WRITE_INTERVAL: Duration = Duration::from_millis(12);
/// Timeout of the last writes before the ownership is released.
const LAST_WRITES_MAX: Duration = Duration::from_millis(400);
/// Time between two lists of machines while they are needed.
const MACHINES_INTERVAL: Duration = Duration::from_millis(700);
/// Capacity of the message channel of the owner's loop.
const QUEUE_LENGTH: usize = 4_096;

/// Settings of an owner.
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    /// Name of this instance.
    pub instance: Arc<str>,
    /// Time to live of the owner's lease.
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
    loop {
        let claimed = tokio::select! {
            claimed = claim::claim(&platform, &settings) => claimed,
            () = stop.cancelled() => return,
        };
        let token = claimed.token;
        emit!(JobsEvent::OwnerBegan, token = token);
        settings.metrics.set_is_owner(true);
        let reason = place(&platform, &settings, desired_states.clone(), claimed, &stop).await;
        settings.metrics.set_is_owner(false);
        emit!(JobsEvent::OwnerEnded, token = token, reason = reason);
    }
}

/// Input of the owner's loop.
enum Message {
    Outcome(Outcome),
    Followed(Followed),
    Written(Written),
}

/// State of the owner's loop during one term.
struct Office<S: PlatformClients> {
    platform: S,
    scheduler: Scheduler,
    lease: LeaseValidity,
    sender: mpsc::Sender<Message>,
    workers: Listing,
    writer: Writer<S>,
    written: Moment,
    machines_asked: Option<Moment>,
    is_fenced: bool,
    metrics: JobsMetrics,
    usage: Usage,
    rate: MessageRate,
}

async fn place<S: PlatformClients>(
    platform: &S,
    settings: &OwnerSettings,
    mut desired_states: watch::Receiver<Arc<DesiredState>>,
    ownership: Ownership<S>,
    stop: &CancellationToken,
) -> &'static str {
    let Ownership { lease, token } = ownership;
    let loading = load::load(platform, settings.scheduler, token, &settings.instance);
    let loaded = tokio::select! {
        loaded = loading => loaded,
        () = lease.ended() => return "lease ended while loading",
        () = stop.cancelled() => {
            give_back(lease).await;
            return "stopped while loading";
        }
    };
    let (sender, mut messages) = mpsc::channel(QUEUE_LENGTH);
    let mut office = Office {
        platform: platform.clone(),
        scheduler: loaded.scheduler,
        lease: lease.validity(),
        workers: Listing::new(loaded.workers),
        writer: Writer::new(platform.clone(), token, loaded.sequences),
        sender: sender.clone(),
        written: since_boot(),
        machines_asked: None,
        is_fenced: false,
        metrics: settings.metrics.clone(),
        usage: Usage::new(since_boot()),
        rate: MessageRate::new(settings.coalescing.clone(), since_boot()),
    };
    let reports = Reports { platform: platform.clone() };
    let _following = [
        spawn(watch_store::watch_store(
            platform.clone(),
            Inbox,
            loaded.inbox_revision,
            sender.clone(),
        )),
        spawn(watch_store::watch_store(platform.clone(), reports, loaded.workers_revision, sender)),
    ];
    office.apply_desired_state(&desired_states.borrow_and_update().clone());
    office.workers.read_first(platform);
    office.list_workers();
    let reason = loop {
        let now = since_boot();
        let due = office.scheduler.next_due(now);
        let first = tokio::select! {
            message = messages.recv() => match message {
                Some(message) => Some(message),
                None => break "queue closed",
            },
            changed = desired_states.changed() => match changed {
                Ok(()) => {
                    office.apply_desired_state(&desired_states.borrow_and_update().clone());
                    None
                }
                Err(_) => break "view closed",
            },
            () = sleep(due.saturating_sub(now)) => None,
            () = lease.ended() => break "lease ended",
            () = stop.cancelled() => break "stopped",
        };
        office.take_in_all(first, &mut messages);
        if office.is_fenced {
            break "a later owner was obeyed";
        }
        office.usage.record_pass(due, since_boot());
        office.act();
    };
    if stop.is_cancelled() {
        office.finish(&mut messages).await;
        give_back(lease).await;
    }
    office.close();
    reason
}

async fn give_back<S: cassiafold_platform::Store>(lease: LeaseKeeper<S>) {
    if let Err(error) = lease.close().await {
        emit!(JobsEvent::StoreLost, error = error);
    }
}

fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(task))
}

/// The current Unix time.
fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl<S: PlatformClients> Office<S> {
    fn apply_desired_state(&mut self, desired_state: &DesiredState) {
        let now = since_boot();
        if let Some(config) = &desired_state.config {
            self.scheduler.set_config(config.clone());
        }
        self.scheduler.set_evacuated_zones(desired_state.evacuated.clone());
        self.scheduler.set_waves(&desired_state.waves, now);
    }

    /// Handles a message and all others that are in the channel.
    fn take_in_all(&mut self, first: Option<Message>, messages: &mut mpsc::Receiver<Message>) {
        let begun = since_boot();
        let mut next = first;
        while let Some(message) = next.or_else(|| messages.try_recv().ok()) {
            self.take_in(message);
            self.usage.count_message();
            self.rate.count_message();
            next = None;
        }
        self.usage.record(Work::TakeIn, begun);
    }

    fn take_in(&mut self, message: Message) {
        let now = since_boot();
        match message {
            Message::Outcome(outcome) => self.take_outcome(outcome, now),
            Message::Followed(followed) => self.take_followed(followed, now),
            Message::Written(written) => self.take_written(written),
        }
    }

    fn take_followed(&mut self, followed: Followed, now: Moment) {
        match followed {
            Followed::Job { id, record, revision } => {
                self.scheduler.add_job(id, *record, revision, None, now);
            }
            Followed::Cancel(id) => self.scheduler.cancel(id, now),
            Followed::WorkerEntries(change) => {
                self.workers.apply(change, now);
                self.scheduler.set_workers(self.workers.entries(now), now);
            }
        }
    }

    fn list_workers(&mut self) {
        let now = since_boot();
        self.scheduler.set_workers(self.workers.entries(now), now);
    }

    /// Executes what is due.
    fn act(&mut self) {
        let now = since_boot();
        self.rate.update(now);
        if self.workers.is_due(now) {
            self.scheduler.set_workers(self.workers.entries(now), now);
        }
        if self.lease.is_valid() {
            let commands = self.scheduler.plan(unix_now(), now);
            let planned = self.usage.record(Work::Plan, now);
            self.carry_out(commands, now);
            self.list_machines(now);
            self.usage.record(Work::CarryOut, planned);
        }
        let begun = since_boot();
        self.write(now);
        self.usage.record(Work::Write, begun);
        for address in self.scheduler.take_retired_addresses() {
            self.platform.workers().forget(&address);
        }
        self.usage.report(now, || self.scheduler.backlog(now));
    }

    /// Closes the connections to all workers; the next owner opens its own.
    fn close(self) {
        for address in self.scheduler.active_addresses() {
            self.platform.workers().forget(address);
        }
    }

    /// Writes what is left before the ownership is released.
    async fn finish(&mut self, messages: &mut mpsc::Receiver<Message>) {
        let deadline = since_boot() + LAST_WRITES_MAX;
        loop {
            self.written = Moment::ZERO;
            self.write(since_boot());
            if !self.writer.is_busy() {
                return;
            }
            let left = deadline.saturating_sub(since_boot());
            match timeout(left, messages.recv()).await {
                Ok(Some(Message::Written(written))) => self.take_written(written),
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return,
            }
        }
    }
}
