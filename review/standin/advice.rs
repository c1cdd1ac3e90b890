//! The service that knows which minions may run a step. It handles one call at a time, in turn.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{respond, serve};
use crate::json::{Json, num, obj, text};

/// Calls that may wait.
const WAITING_MAX: u64 = 32;

#[derive(Default)]
struct Turns {
    next: Mutex<(u64, u64)>,
    changed: Condvar,
}

pub struct Advice {
    pub address: SocketAddr,
    pub decide_ms: Arc<AtomicU64>,
    pub each_ms: Arc<AtomicU64>,
    pub valid_ms: Arc<AtomicU64>,
    /// Calls that were answered.
    pub answered: Arc<AtomicUsize>,
}

impl Advice {
    /// Starts a service that allows all minions. All calls come from one machine at a time, the one
    /// that gives the orders, so there is one queue.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let advice = Self {
            address: listener.local_addr().expect("address"),
            decide_ms: Arc::new(AtomicU64::new(20)),
            each_ms: Arc::new(AtomicU64::new(2)),
            valid_ms: Arc::new(AtomicU64::new(3_000)),
            answered: Arc::default(),
        };
        let turns = Arc::new(Turns::default());
        let (decide_ms, each_ms) = (Arc::clone(&advice.decide_ms), Arc::clone(&advice.each_ms));
        let valid_ms = Arc::clone(&advice.valid_ms);
        let answered = Arc::clone(&advice.answered);
        serve(listener, move |request| {
            let body = Json::parse(&request.body)?;
            let workers = body.arr("Workers");
            let mut next = turns.next.lock().unwrap();
            if next.0 - next.1 > WAITING_MAX {
                return respond(429, "");
            }
            let turn = next.0;
            next.0 += 1;
            while next.1 != turn {
                next = turns.changed.wait(next).unwrap();
            }
            drop(next);
            let time_ms = decide_ms.load(Ordering::SeqCst)
                + each_ms.load(Ordering::SeqCst) * workers.len() as u64;
            thread::sleep(Duration::from_millis(time_ms));
            turns.next.lock().unwrap().1 += 1;
            turns.changed.notify_all();
            answered.fetch_add(1, Ordering::SeqCst);
            let rows = workers.iter().map(|worker| {
                let ticket = format!("ticket-{}-{}", body.str("Step"), worker.text());
                Json::Arr(vec![worker.clone(), text(ticket)])
            });
            let valid_ms = num(valid_ms.load(Ordering::SeqCst) as i64);
            respond(200, obj(&[("Good", Json::Arr(rows.collect())), ("ValidMs", valid_ms)]).print())
        });
        advice
    }
}
