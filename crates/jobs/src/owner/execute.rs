//! Execution of the scheduler's commands, each in a task of its own.

use std::collections::BTreeMap;
use std::future::Future;

use cassiafold_event::emit;
use cassiafold_platform::{Moment, Record, Store, StoreError, since_boot};

use super::{MACHINES_INTERVAL, Message, OwnerLoop};
use crate::clients::{
    CommandOutcome, MachineClient, MachineOutcome, PolicyClient, PolicyError, PolicyResponse,
    PollError, PollResponse, Refusal, StartRequest, StopRequest, ThrottleRequest, WorkerClient,
};
use crate::cluster::Machine;
use crate::event::JobsEvent;
use crate::job::WorkerSlot;
use crate::platform_clients::PlatformClients;
use crate::record::{JobRecord, StateRecord, job_key, state_key};
use crate::scheduler::{Command, MachineAttempt, MachineCommand, PolicyQuery};
use crate::spec::{JobId, RunNumber, TaskId};
use crate::task_panic::catch_panic;

/// Outcome of a command.
pub(super) enum Outcome {
    Poll {
        worker: WorkerSlot,
        is_out_of_band: bool,
        sent: Moment,
        result: Result<PollResponse, PollError>,
    },
    Starts {
        worker: WorkerSlot,
        starts: Vec<(TaskId, RunNumber, CommandOutcome)>,
    },
    Stops {
        worker: WorkerSlot,
        stops: Vec<(StopRequest, CommandOutcome)>,
    },
    Throttles {
        worker: WorkerSlot,
        throttles: Vec<(ThrottleRequest, CommandOutcome)>,
    },
    Policy {
        query: PolicyQuery,
        response: Result<PolicyResponse, PolicyError>,
        sent: Moment,
        received: Moment,
    },
    Machine {
        attempt: MachineAttempt,
        outcome: MachineOutcome,
    },
    MachineList {
        machines: Option<Vec<Machine>>,
        sent: Moment,
    },
    DeferredJob {
        id: JobId,
        read: Result<StoredJob, StoreError>,
    },
}

/// A job as it is stored, and its state.
pub(super) struct StoredJob {
    job: Option<Record>,
    state: Option<Record>,
}

impl<S: PlatformClients> OwnerLoop<S> {
    /// Spawns a call, and sends its outcome to the owner's loop.
    fn run(&self, call: impl Future<Output = Outcome> + Send + 'static) {
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let outcome = catch_panic("call of the owner", call).await;
            let message = outcome.map_or(Message::TaskPanicked, Message::Outcome);
            // The loop may have ended.
            let _ = sender.send(message).await;
        });
    }

    /// Executes commands; those of one kind to one worker are sent in one call.
    pub(super) fn execute(&mut self, commands: Vec<Command>, now: Moment) {
        let mut starts: BTreeMap<WorkerSlot, Vec<StartRequest>> = BTreeMap::new();
        let mut stops: BTreeMap<WorkerSlot, Vec<StopRequest>> = BTreeMap::new();
        let mut throttles: BTreeMap<WorkerSlot, Vec<ThrottleRequest>> = BTreeMap::new();
        let token = self.scheduler.token();
        for command in commands {
            match command {
                Command::Poll { worker, is_out_of_band } => self.poll(worker, is_out_of_band, now),
                Command::Start { worker, task, run, ticket } => {
                    match self.scheduler.start_request(worker, task, run, ticket, now) {
                        Some(request) => starts.entry(worker).or_default().push(request),
                        None => {
                            let outcome = CommandOutcome::NotSent;
                            self.scheduler.handle_start_outcome(worker, task, run, outcome, now);
                        }
                    }
                }
                Command::Stop { worker, task, run } => {
                    stops.entry(worker).or_default().push(StopRequest { token, task, run });
                }
                Command::Throttle { worker, task, run, percent } => {
                    let request = ThrottleRequest { token, task, run, percent };
                    throttles.entry(worker).or_default().push(request);
                }
                Command::QueryPolicy(query) => self.query_policy(query),
                Command::Machine(attempt) => self.command_machine(attempt),
            }
        }
        for (worker, requests) in starts {
            self.start(worker, requests);
        }
        for (worker, requests) in stops {
            self.stop(worker, requests);
        }
        for (worker, requests) in throttles {
            self.throttle(worker, requests);
        }
    }

    fn throttle(&mut self, worker: WorkerSlot, requests: Vec<ThrottleRequest>) {
        let workers = self.platform.workers().clone();
        let address = self.scheduler.worker(worker).address.clone();
        self.run(async move {
            let outcomes = workers.throttle(&address, requests.clone()).await;
            let throttles = requests.into_iter().zip(outcomes).collect();
            Outcome::Throttles { worker, throttles }
        });
    }

    /// Sends a query to the placement policy; it is dropped when the owner's loop ends.
    fn query_policy(&mut self, query: PolicyQuery) {
        let policy = self.platform.policy().clone();
        let sender = self.sender.clone();
        self.run(async move {
            let sent = since_boot();
            let workers = query.workers.clone();
            let response = tokio::select! {
                response = policy.request_tickets(query.step, workers, query.call.timeout) => {
                    response
                }
                () = sender.closed() => Err(PolicyError::Unanswered),
            };
            Outcome::Policy { query, response, sent, received: since_boot() }
        });
    }

    fn poll(&mut self, worker: WorkerSlot, is_out_of_band: bool, now: Moment) {
        let request = self.scheduler.poll_request(worker, is_out_of_band, now);
        let address = self.scheduler.worker(worker).address.clone();
        let workers = self.platform.workers().clone();
        self.run(async move {
            let sent = since_boot();
            let result = workers.poll(&address, request).await;
            Outcome::Poll { worker, is_out_of_band, sent, result }
        });
    }

    fn start(&mut self, worker: WorkerSlot, requests: Vec<StartRequest>) {
        let address = self.scheduler.worker(worker).address.clone();
        let (workers, lease) = (self.platform.workers().clone(), self.lease.clone());
        self.run(async move {
            let runs: Vec<(TaskId, RunNumber)> =
                requests.iter().map(|request| (request.task, request.run)).collect();
            let outcomes = match lease.is_valid() {
                true => workers.start(&address, requests).await,
                false => vec![CommandOutcome::NotSent; runs.len()],
            };
            let starts = runs.into_iter().zip(outcomes);
            let starts = starts.map(|((task, run), outcome)| (task, run, outcome)).collect();
            Outcome::Starts { worker, starts }
        });
    }

    fn stop(&mut self, worker: WorkerSlot, requests: Vec<StopRequest>) {
        let workers = self.platform.workers().clone();
        let address = self.scheduler.worker(worker).address.clone();
        self.run(async move {
            let outcomes = workers.stop(&address, requests.clone()).await;
            let stops = requests.into_iter().zip(outcomes).collect();
            Outcome::Stops { worker, stops }
        });
    }

    fn command_machine(&mut self, attempt: MachineAttempt) {
        let (machines, token) = (self.platform.machines().clone(), self.scheduler.token());
        let lease = self.lease.clone();
        self.run(async move {
            let outcome = match &attempt.command {
                _ if !lease.is_valid() => MachineOutcome::Busy,
                MachineCommand::Maintain { machine, wave } => {
                    machines.maintain(machine.clone(), *wave, token).await
                }
                MachineCommand::Move { machine, service } => {
                    machines.move_to(machine.clone(), service.clone(), token).await
                }
            };
            Outcome::Machine { attempt, outcome }
        });
    }

    /// Lists the machines, if they are needed and the last list is old.
    pub(super) fn list_machines(&mut self, now: Moment) {
        let is_due = self.machines_requested.is_none_or(|at| now >= at + MACHINES_INTERVAL)
            || self.scheduler.take_machine_list_request();
        if !is_due || !self.scheduler.needs_machine_list() {
            return;
        }
        self.machines_requested = Some(now);
        let machines = self.platform.machines().clone();
        self.run(async move {
            let sent = since_boot();
            Outcome::MachineList { machines: machines.list().await, sent }
        });
    }

    /// Reads the deferred jobs that are to be held now.
    pub(super) fn read_deferred_jobs(&mut self, now: Moment) {
        for id in self.scheduler.take_wanted_jobs(now) {
            let store = self.platform.store().clone();
            self.run(async move {
                let (job_key, state_key) = (job_key(id), state_key(id));
                let read = tokio::try_join!(store.get(&job_key), store.get(&state_key));
                let read = read.map(|(job, state)| StoredJob { job, state });
                Outcome::DeferredJob { id, read }
            });
        }
    }

    /// Holds a deferred job that was read. A job whose state can't be read is never run again.
    fn add_deferred_job(&mut self, id: JobId, stored: &StoredJob, now: Moment) {
        let Some(job) = &stored.job else { return self.scheduler.forget_deferred_job(id) };
        let state = stored.state.as_ref().map(|state| StateRecord::try_from(&state.value[..]));
        let decoded =
            JobRecord::try_from(&job.value[..]).and_then(|record| Ok((record, state.transpose()?)));
        match decoded {
            Ok((record, state)) => {
                let revision = job.revision;
                self.scheduler.add_deferred_job(id, record, revision, state.as_ref(), now);
            }
            Err(error) => {
                emit!(JobsEvent::ItemUnreadable, key = job.key, error = error);
                self.scheduler.forget_deferred_job(id);
                self.scheduler.exclude_job(id);
            }
        }
    }

    /// Counts the outcome of a command.
    fn count(&self, outcome: &Outcome) {
        match outcome {
            Outcome::Poll { result, .. } => {
                self.metrics.count_poll(result.is_ok());
                for row in result.iter().flat_map(|poll| &poll.ended) {
                    self.metrics.count_run_end(row.end);
                }
            }
            Outcome::Starts { starts, .. } => {
                for (_, _, outcome) in starts {
                    self.metrics.count_command("start", *outcome);
                }
            }
            Outcome::Stops { stops, .. } => {
                for (_, outcome) in stops {
                    self.metrics.count_command("stop", *outcome);
                }
            }
            Outcome::Throttles { throttles, .. } => {
                for (_, outcome) in throttles {
                    self.metrics.count_command("pace", *outcome);
                }
            }
            Outcome::Machine { attempt, outcome } => {
                let kind = match attempt.command {
                    MachineCommand::Maintain { .. } => "maintain",
                    MachineCommand::Move { .. } => "move",
                };
                self.metrics.count_machine_command(kind, *outcome);
            }
            Outcome::Policy { .. } | Outcome::MachineList { .. } | Outcome::DeferredJob { .. } => {}
        }
    }

    fn note_refusal(&mut self, worker: WorkerSlot, outcome: CommandOutcome, now: Moment) {
        if outcome == CommandOutcome::Refused(Refusal::Fenced) {
            self.handle_token_refusal(worker, now);
        }
    }

    pub(super) fn handle_outcome(&mut self, outcome: Outcome, now: Moment) {
        self.count(&outcome);
        match outcome {
            Outcome::Poll { worker, is_out_of_band, sent, result: Ok(poll) } => {
                self.loop_stats.count_poll(self.scheduler.has_only_known_ends(worker, &poll));
                self.scheduler.handle_poll_response(worker, is_out_of_band, sent, now, poll);
            }
            Outcome::Poll { worker, is_out_of_band, result: Err(error), .. } => {
                self.scheduler.handle_poll_failure(worker, is_out_of_band, &error, now);
                if error == PollError::Fenced {
                    self.handle_token_refusal(worker, now);
                }
            }
            Outcome::Starts { worker, starts } => {
                for (task, run, outcome) in starts {
                    self.scheduler.handle_start_outcome(worker, task, run, outcome, now);
                    self.note_refusal(worker, outcome, now);
                }
            }
            Outcome::Stops { worker, stops } => {
                for (StopRequest { task, run, .. }, outcome) in stops {
                    self.scheduler.handle_stop_outcome(worker, task, run, outcome, now);
                    self.note_refusal(worker, outcome, now);
                }
            }
            Outcome::Throttles { worker, throttles } => {
                for (ThrottleRequest { task, run, percent, .. }, outcome) in throttles {
                    let scheduler = &mut self.scheduler;
                    scheduler.handle_throttle_outcome(worker, task, run, percent, outcome, now);
                    self.note_refusal(worker, outcome, now);
                }
            }
            Outcome::Policy { query, response, sent, received } => {
                self.scheduler.handle_policy_response(&query, response, sent, received);
            }
            Outcome::Machine { attempt, outcome } => {
                self.scheduler.handle_machine_outcome(&attempt, outcome, now);
            }
            Outcome::MachineList { machines: Some(machines), sent } => {
                self.scheduler.set_machines(machines, sent, now);
            }
            Outcome::DeferredJob { id, read: Ok(stored) } => {
                self.add_deferred_job(id, &stored, now);
            }
            Outcome::DeferredJob { id, read: Err(error) } => {
                emit!(
                    JobsEvent::DeferredJobNotRead,
                    job = format_args!("{id:016x}"),
                    error = error
                );
                self.scheduler.keep_deferred(id, now);
            }
            // The next list is requested after the usual interval.
            Outcome::MachineList { machines: None, .. } => {}
        }
    }
}
