//! The process that gives the orders freezes while a cut holds up its orders to machines.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{Call, Caller};
use crate::minion::{Minion, MinionSettings, Record, Work};
use crate::system::System;

const MINIONS: usize = 8;
/// How long the process stands still.
const FREEZE: Duration = Duration::from_millis(5_000);
/// Longest time for which the way to the platform's machines is cut.
const CUT_MAX: Duration = Duration::from_millis(4_900);
/// Time in which the first orders have to come.
const ORDERS_WAIT: Duration = Duration::from_secs(20);

fn config() -> String {
    r#"{"Version":3,"Routes":[{"Name":"r-1","Host":"pule25.example","Prefix":"/quick/","Kind":"unsafe","TimeoutMs":3000,"SloMs":600,"Service":"pricing","Attempts":2,"Stretch":1.6}],"Services":[{"Name":"pricing","RejectsOverload":true},{"Name":"cribdesk","RejectsOverload":true},{"Name":"clerks","RejectsOverload":true,"Spare":true}],"Tenants":[{"Name":"tenant-1","ApiKeys":["key-1"],"Weight":50}],"Limits":{}}"#.into()
}

pub fn play(is_troubled: bool, record_path: &str) -> Verdict {
    let record = Arc::new(Record::default());
    let minions: Vec<Arc<Minion>> = (0..MINIONS)
        .map(|number| {
            let settings = MinionSettings {
                id: format!("i-7f3a91c{number}"),
                machine: format!("m-0a3f{number}"),
                service: if number < 2 { "pricing" } else { "cribdesk" }.into(),
                zone: format!("zone-{}", number % 3),
                rack: format!("r{}-{}", number % 3, number / 4),
                cpu: 16_000,
                mem_mb: 32_768,
                hold_max_ms: 10_000,
                stop_ms: 400,
            };
            let work = Work { ms: 8_000, how: "done", cpu: 800, mem_mb: 256, serves: false };
            Minion::start(settings, &record, move |_, _| work.clone())
        })
        .collect();
    let system = System::start(3, &minions, &config());
    let verdict = run(&system, &minions, is_troubled);
    system.close(record_path);
    verdict
}

fn run(system: &System, minions: &[Arc<Minion>], is_troubled: bool) -> Verdict {
    for daemon in &system.daemons {
        daemon.cloud_door.cuts_at_order.store(is_troubled, Ordering::SeqCst);
    }
    if !system.wait_until_ready(Duration::from_secs(20)) {
        system.note("the processes did not become ready");
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(2));
    // More than the two machines of the pool can do: idle ones of another pool are to move there.
    let body = r#"{"Spec":"price","Steps":[{"Count":120,"Cpu":800,"MemMb":256,"EstMs":8000}]}"#;
    let path = "/quick/5c0e7a21d94b36f8";
    let (host, key, timeout) = ("pule25.example", "key-1", Duration::from_secs(3));
    let call = Call { method: "POST", host, path, key, body, timeout };
    let answer = Caller::new(system.daemons[0].front).call(&call);
    system.note(format!("POST {path} with 120 tasks -> {answer:?}"));
    let deadline = Instant::now() + ORDERS_WAIT;
    let mut frozen = None;
    while is_troubled && frozen.is_none() && Instant::now() < deadline {
        let mut daemons = system.daemons.iter();
        frozen = daemons.position(|daemon| daemon.cloud_door.is_cut.load(Ordering::SeqCst));
        thread::sleep(Duration::from_millis(1));
    }
    if let Some(number) = frozen {
        system.signal(number, "STOP");
        let begun = Instant::now();
        let name = &system.daemons[number].name;
        system.note(format!("{name} has sent orders; a cut holds them up, and {name} stands still"));
        for daemon in &system.daemons {
            daemon.cloud_door.cuts_at_order.store(false, Ordering::SeqCst);
        }
        while !system.cloud.has_overtaking_order() && begun.elapsed() < CUT_MAX {
            forget_left(system, minions);
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(50).min(CUT_MAX.saturating_sub(begun.elapsed())));
        let cut_ms = begun.elapsed().as_millis();
        system.daemons[number].cloud_door.is_cut.store(false, Ordering::SeqCst);
        system.note(format!("the cut ends after {cut_ms} ms"));
        thread::sleep(FREEZE.saturating_sub(begun.elapsed()));
        system.signal(number, "CONT");
        system.note(format!("{name} goes on after {} ms", begun.elapsed().as_millis()));
    } else if is_troubled {
        system.note("no order was sent");
        return Verdict::CouldNotRun;
    }
    let end = Instant::now() + Duration::from_secs(8);
    while Instant::now() < end {
        forget_left(system, minions);
        thread::sleep(Duration::from_millis(20));
    }
    judge(system)
}

/// Removes the entries of the minions that have left.
fn forget_left(system: &System, minions: &[Arc<Minion>]) {
    for minion in minions.iter().filter(|minion| minion.has_left()) {
        system.store.delete(&format!("servers/{}", minion.settings.id));
    }
}

/// ONE: where fences aren't checked, a lower one after a higher one, for one machine.
fn judge(system: &System) -> Verdict {
    let mut highest: HashMap<String, u64> = HashMap::new();
    let mut lower = 0;
    let orders = system.cloud.orders();
    for order in &orders {
        let known = highest.entry(order.machine.clone()).or_default();
        let is_lower = order.fence < *known;
        lower += usize::from(is_lower);
        *known = order.fence.max(*known);
        system.note(format!(
            "{:.3} s: {} by {} with fence number {} -> {}{}",
            system.since(order.at),
            order.machine,
            order.holder,
            order.fence,
            order.status,
            if is_lower { ", after a higher one" } else { "" }
        ));
    }
    system.note(format!("ONE: {lower} of {} orders with a lower fence number after a higher one", orders.len()));
    if orders.is_empty() {
        return Verdict::CouldNotRun;
    }
    if lower > 0 { Verdict::Broken } else { Verdict::Held }
}
