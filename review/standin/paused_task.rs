//! The process that gives the orders is killed while it keeps a task that fills paused.
//!
//! No rule names what is seen, so this is no case of the review.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::{Call, Caller};
use crate::minion::{Minion, MinionSettings, Record, Work};
use crate::system::System;

const HOST: &str = "pule25.example";
const KEY: &str = "key-1";
const SERVING: &str = "/quick/5c0e7a21d94b0001";
const FILLING: &str = "/quick/5c0e7a21d94b0002";
/// Tail of the serving tasks' response times: their target, while they are busy, and later.
const TARGET_MS: u64 = 100;
const BUSY_MS: u64 = 500;
const CALM_MS: u64 = 20;

fn config() -> String {
    format!(
        r#"{{"Version":3,"Routes":[{{"Name":"r-1","Host":"{HOST}","Prefix":"/quick/","Kind":"unsafe","TimeoutMs":3000,"SloMs":600,"Service":"pricing","Attempts":2,"Stretch":1.6}}],"Services":[{{"Name":"pricing","RejectsOverload":true}}],"Tenants":[{{"Name":"tenant-1","ApiKeys":["{KEY}"],"Weight":50}}],"Limits":{{}}}}"#
    )
}

fn call(method: &str, path: &str, body: &str, caller: &mut Caller) -> Option<(u16, String)> {
    let timeout = Duration::from_secs(3);
    caller.call(&Call { method, host: HOST, path, key: KEY, body, timeout })
}

pub fn play(is_troubled: bool, record_path: &str) -> Verdict {
    let record = Arc::new(Record::default());
    let settings = MinionSettings {
        id: "i-7f3a91c0".into(),
        machine: "m-0a3f0".into(),
        service: "pricing".into(),
        zone: "zone-0".into(),
        rack: "r1-0".into(),
        cpu: 16_000,
        mem_mb: 32_768,
        hold_max_ms: 10_000,
        stop_ms: 400,
    };
    let minion = Minion::start(settings, &record, |task, _| {
        let serves = task.starts_with(&SERVING[7..]);
        let ms = if serves { 1_000_000_000 } else { 6_000 };
        Work { ms, how: "done", cpu: 1_600, mem_mb: 512, serves }
    });
    let mut system = System::start(3, &[Arc::clone(&minion)], &config());
    let verdict = run(&mut system, &minion, &record, is_troubled);
    system.close(record_path);
    verdict
}

fn run(system: &mut System, minion: &Minion, record: &Record, is_troubled: bool) -> Verdict {
    if !system.wait_until_ready(Duration::from_secs(20)) {
        system.note("the processes did not become ready");
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(2));
    minion.tail_ms.store(BUSY_MS, Ordering::SeqCst);
    let mut caller = Caller::new(system.daemons[0].front);
    let task = r#""Count":1,"Cpu":1600,"MemMb":512,"EstMs":6000"#;
    let serving = format!(r#"{{"Spec":"serve","Steps":[{{{task},"LongRunning":true,"TargetMs":{TARGET_MS}}}]}}"#);
    let answer = call("POST", SERVING, &serving, &mut caller);
    system.note(format!("POST {SERVING} (serves) -> {answer:?}"));
    thread::sleep(Duration::from_millis(500));
    let filling = format!(r#"{{"Spec":"fill","Steps":[{{{task},"Fills":true}}]}}"#);
    let answer = call("POST", FILLING, &filling, &mut caller);
    system.note(format!("POST {FILLING} (fills) -> {answer:?}"));
    let paused = |event: &crate::minion::Event| event.what == "paced to 0";
    for _ in 0..100 {
        if record.events().iter().any(paused) {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    if !record.events().iter().any(paused) {
        system.note("the task that fills was not paused");
        return Verdict::CouldNotRun;
    }
    system.note("the task that fills is paced to 0 percent, since the other one is over its target");
    let owner = system.store.last_writer().unwrap_or(0);
    if is_troubled {
        system.kill(owner);
        system.note(format!("SIGKILL of {}", system.daemons[owner].name));
    }
    minion.tail_ms.store(CALM_MS, Ordering::SeqCst);
    system.note("the task that serves is far below its target from now on");
    thread::sleep(Duration::from_millis(1_000));
    if is_troubled {
        system.spawn(owner);
        system.note(format!("{} starts again", system.daemons[owner].name));
    }
    let mut caller = Caller::new(system.daemons[(owner + 1) % system.daemons.len()].front);
    let mut is_over = false;
    for _ in 0..10 {
        thread::sleep(Duration::from_secs(3));
        let answer = call("GET", FILLING, "", &mut caller);
        is_over = answer.as_ref().is_some_and(|(_, body)| body.contains("completed"));
        system.note(format!("GET {FILLING} -> {answer:?}"));
        if is_over {
            break;
        }
    }
    let last = record.events().into_iter().rev().find(|event| event.what.starts_with("paced"));
    system.note(format!("last order on pace: {:?}", last.map(|event| event.what)));
    if is_over { Verdict::Held } else { Verdict::Broken }
}
