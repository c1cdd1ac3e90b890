//! Carrying out orders, each as a task of its own.

use std::collections::BTreeMap;
use std::future::Future;

use cassiafold_platform::{Moment, since_boot};

use super::{MACHINES_INTERVAL, Message, Office};
use crate::cluster::Machine;
use crate::edges::{
    Advice, Advisor, Look, LookError, MachineOutcome, Machines, OrderOutcome, Refusal,
    StartRequest, Workers,
};
use crate::job::WorkerSlot;
use crate::scheduler::{MachineOrder, Order, Question};
use crate::site::Site;
use crate::spec::{RunNumber, TaskId};

/// What came of an order.
pub(super) enum Outcome {
    Look { worker: WorkerSlot, is_probe: bool, sent: Moment, result: Result<Look, LookError> },
    Starts { worker: WorkerSlot, starts: Vec<(TaskId, RunNumber, OrderOutcome)> },
    Stop { worker: WorkerSlot, task: TaskId, run: RunNumber, outcome: OrderOutcome },
    Pace(OrderOutcome),
    Advice { question: Question, advice: Option<Advice>, sent: Moment },
    Machine { order: MachineOrder, outcome: MachineOutcome },
    Machines { machines: Option<Vec<Machine>>, sent: Moment },
}

impl<S: Site> Office<S> {
    /// Runs a call and sends what came of it to the loop.
    fn run(&self, call: impl Future<Output = Outcome> + Send + 'static) {
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let outcome = call.await;
            // The loop that gave the order may be over.
            let _ = sender.send(Message::Outcome(outcome)).await;
        });
    }

    /// Carries out orders; the starts on one worker go together.
    pub(super) fn carry_out(&mut self, orders: Vec<Order>, now: Moment) {
        let mut starts: BTreeMap<WorkerSlot, Vec<StartRequest>> = BTreeMap::new();
        for order in orders {
            match order {
                Order::Look { worker, is_probe } => self.look(worker, is_probe, now),
                Order::Start { worker, task, run, ticket } => {
                    match self.scheduler.start_request(worker, task, run, ticket, now) {
                        Some(request) => starts.entry(worker).or_default().push(request),
                        None => {
                            let outcome = OrderOutcome::NotSent;
                            self.scheduler.note_start(worker, task, run, outcome, now);
                        }
                    }
                }
                Order::Stop { worker, task, run } => self.stop(worker, task, run),
                Order::Pace { worker, task, run, percent } => {
                    self.pace(worker, task, run, percent);
                }
                Order::Ask(question) => self.ask(question),
                Order::Machine(order) => self.order_machine(order),
            }
        }
        for (worker, requests) in starts {
            self.start(worker, requests);
        }
    }

    fn pace(&mut self, worker: WorkerSlot, task: TaskId, run: RunNumber, percent: u8) {
        let (workers, token) = (self.site.workers().clone(), self.scheduler.token());
        let address = self.scheduler.worker(worker).address.clone();
        self.run(
            async move { Outcome::Pace(workers.pace(&address, task, run, percent, token).await) },
        );
    }

    fn ask(&mut self, question: Question) {
        let advisor = self.site.advisor().clone();
        self.run(async move {
            let sent = since_boot();
            let advice = advisor.advise(question.step, question.workers.clone()).await;
            Outcome::Advice { question, advice, sent }
        });
    }

    fn look(&mut self, worker: WorkerSlot, is_probe: bool, now: Moment) {
        let request = self.scheduler.look_request(worker, is_probe, now);
        let address = self.scheduler.worker(worker).address.clone();
        let workers = self.site.workers().clone();
        self.run(async move {
            let sent = since_boot();
            let result = workers.look(&address, request).await;
            Outcome::Look { worker, is_probe, sent, result }
        });
    }

    fn start(&mut self, worker: WorkerSlot, requests: Vec<StartRequest>) {
        let address = self.scheduler.worker(worker).address.clone();
        let (workers, lease) = (self.site.workers().clone(), self.lease.clone());
        self.run(async move {
            let runs: Vec<(TaskId, RunNumber)> =
                requests.iter().map(|request| (request.task, request.run)).collect();
            let outcomes = match lease.is_valid() {
                true => workers.start(&address, requests).await,
                false => vec![OrderOutcome::NotSent; runs.len()],
            };
            let starts = runs.into_iter().zip(outcomes);
            let starts = starts.map(|((task, run), outcome)| (task, run, outcome)).collect();
            Outcome::Starts { worker, starts }
        });
    }

    fn stop(&mut self, worker: WorkerSlot, task: TaskId, run: RunNumber) {
        let (workers, token) = (self.site.workers().clone(), self.scheduler.token());
        let address = self.scheduler.worker(worker).address.clone();
        self.run(async move {
            let outcome = workers.stop(&address, task, run, token).await;
            Outcome::Stop { worker, task, run, outcome }
        });
    }

    fn order_machine(&mut self, order: MachineOrder) {
        let (machines, token) = (self.site.machines().clone(), self.scheduler.token());
        let lease = self.lease.clone();
        self.run(async move {
            let outcome = match &order {
                _ if !lease.is_valid() => MachineOutcome::Busy,
                MachineOrder::Maintain { machine, wave } => {
                    machines.maintain(machine.clone(), *wave, token).await
                }
                MachineOrder::Move { machine, service } => {
                    machines.move_to(machine.clone(), service.clone(), token).await
                }
            };
            Outcome::Machine { order, outcome }
        });
    }

    /// Asks for the machines, if they are needed and the last answer is old.
    pub(super) fn list_machines(&mut self, now: Moment) {
        let is_due = self.machines_asked.is_none_or(|at| now >= at + MACHINES_INTERVAL)
            || self.scheduler.take_list_wish();
        if !is_due || !self.scheduler.needs_machines() {
            return;
        }
        self.machines_asked = Some(now);
        let machines = self.site.machines().clone();
        self.run(async move {
            let sent = since_boot();
            Outcome::Machines { machines: machines.list().await, sent }
        });
    }

    /// Counts what came of an order.
    fn count(&self, outcome: &Outcome) {
        match outcome {
            Outcome::Look { result, .. } => {
                self.metrics.note_look(result.is_ok());
                for row in result.iter().flat_map(|look| &look.ended) {
                    self.metrics.note_end(row.end);
                }
            }
            Outcome::Starts { starts, .. } => {
                for (_, _, outcome) in starts {
                    self.metrics.note_order("start", *outcome);
                }
            }
            Outcome::Stop { outcome, .. } => self.metrics.note_order("stop", *outcome),
            Outcome::Pace(outcome) => self.metrics.note_order("pace", *outcome),
            Outcome::Machine { order: MachineOrder::Maintain { .. }, outcome } => {
                self.metrics.note_machine("maintain", *outcome);
            }
            Outcome::Machine { order: MachineOrder::Move { .. }, outcome } => {
                self.metrics.note_machine("move", *outcome);
            }
            Outcome::Advice { .. } | Outcome::Machines { .. } => {}
        }
    }

    pub(super) fn take_outcome(&mut self, outcome: Outcome, now: Moment) {
        self.count(&outcome);
        match outcome {
            Outcome::Look { worker, is_probe, sent, result: Ok(look) } => {
                self.usage.note_look(self.scheduler.is_repeated(worker, &look));
                self.scheduler.note_look(worker, is_probe, sent, now, look);
            }
            Outcome::Look { worker, is_probe, result: Err(error), .. } => {
                self.is_fenced |= error == LookError::Fenced;
                self.scheduler.note_look_failed(worker, is_probe, &error, now);
            }
            Outcome::Starts { worker, starts } => {
                for (task, run, outcome) in starts {
                    self.is_fenced |= outcome == OrderOutcome::Refused(Refusal::Fenced);
                    self.scheduler.note_start(worker, task, run, outcome, now);
                }
            }
            Outcome::Stop { worker, task, run, outcome } => {
                self.is_fenced |= outcome == OrderOutcome::Refused(Refusal::Fenced);
                self.scheduler.note_stop(worker, task, run, outcome, now);
            }
            Outcome::Pace(outcome) => {
                self.is_fenced |= outcome == OrderOutcome::Refused(Refusal::Fenced);
            }
            Outcome::Advice { question, advice, sent } => {
                self.scheduler.note_advice(&question, advice, sent, now);
            }
            Outcome::Machine { order, outcome } => {
                self.scheduler.note_machine(&order, outcome, now);
            }
            Outcome::Machines { machines: Some(machines), sent } => {
                self.scheduler.set_machines(machines, sent, now);
            }
            // The next list is asked for after the usual time.
            Outcome::Machines { machines: None, .. } => {}
        }
    }
}
