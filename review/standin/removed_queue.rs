//! A configuration removes a route while a job on it, which can never be done, is running.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{Call, Caller};
use crate::minion::{Minion, MinionSettings, Record, Work};
use crate::system::System;

const JOB: &str = "5c0e7a21d94b36f8";
const HOST: &str = "pule25.example";
const KEY: &str = "key-1";
const ATTEMPTS: usize = 2;
/// How long the route is not configured.
const REMOVED: Duration = Duration::from_secs(6);

fn config(version: u32, has_route: bool) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            r#"{{"Name":"{name}","Host":"{HOST}","Prefix":"{prefix}","Kind":"unsafe","TimeoutMs":3000,"SloMs":600,"Service":"pricing","Attempts":{ATTEMPTS},"Stretch":1.6}}"#
        )
    };
    let mut routes = vec![route("r-kept", "/kept/")];
    if has_route {
        routes.push(route("r-1", "/quick/"));
    }
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[{{"Name":"pricing","RejectsOverload":true}}],"Tenants":[{{"Name":"tenant-1","ApiKeys":["{KEY}"],"Weight":50}}],"Limits":{{}}}}"#,
        routes.join(",")
    )
}

fn call(method: &str, path: &str, body: &str, caller: &mut Caller) -> Option<(u16, String)> {
    let timeout = Duration::from_secs(3);
    caller.call(&Call { method, host: HOST, path, key: KEY, body, timeout })
}

pub fn play(is_troubled: bool, record_path: &str) -> Verdict {
    let record = Arc::new(Record::default());
    let minions: Vec<Arc<Minion>> = (0..3)
        .map(|number| {
            let settings = MinionSettings {
                id: format!("i-7f3a91c{number}"),
                machine: format!("m-0a3f{number}"),
                service: "pricing".into(),
                zone: format!("zone-{number}"),
                rack: format!("r1-{number}"),
                cpu: 16_000,
                mem_mb: 32_768,
                hold_max_ms: 10_000,
                stop_ms: 400,
            };
            let work = Work { ms: 640, how: "failed", cpu: 800, mem_mb: 256, serves: false };
            Minion::start(settings, &record, move |_, _| work.clone())
        })
        .collect();
    let system = System::start(3, &minions, &config(3, true));
    let verdict = run(&system, &record, is_troubled);
    system.close(record_path);
    verdict
}

fn run(system: &System, record: &Record, is_troubled: bool) -> Verdict {
    if !system.wait_until_ready(Duration::from_secs(20)) {
        system.note("the processes did not become ready");
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let path = format!("/quick/{JOB}");
    let mut caller = Caller::new(system.daemons[0].front);
    let body = r#"{"Spec":"hopeless","Steps":[{"Count":1,"Cpu":800,"MemMb":256,"EstMs":640}]}"#;
    let answer = call("POST", &path, body, &mut caller);
    system.note(format!("POST {path} -> {answer:?}"));
    if !matches!(answer, Some((200, _))) {
        return Verdict::CouldNotRun;
    }
    let deadline = Instant::now() + Duration::from_secs(5);
    while record.events().is_empty() {
        if Instant::now() > deadline {
            system.note("the task did not start");
            return Verdict::CouldNotRun;
        }
        thread::sleep(Duration::from_millis(5));
    }
    if is_troubled {
        system.store.put("op/config", &config(5, false));
        system.note("version 5 is acknowledged: the route is removed");
    }
    thread::sleep(REMOVED);
    if is_troubled {
        system.store.put("op/config", &config(9, true));
        system.note("version 9 is acknowledged: the route is there again");
    }
    thread::sleep(Duration::from_secs(4));
    let answer = call("GET", &path, "", &mut caller);
    system.note(format!("GET {path} -> {answer:?}"));
    judge(system, record)
}

/// BUDGET: a start after `Attempts` runs of the task have ended `failed`, if these ends are taken
/// note of then or later.
fn judge(system: &System, record: &Record) -> Verdict {
    let events = record.events();
    let is_acked = |run: u64| events.iter().any(|event| event.what == "acked" && event.run == run);
    let (mut failed, mut over) = (0, 0);
    for event in &events {
        let at = system.since(event.at);
        system.note(format!("{at:7.3} s: {} run {} on {}: {}", event.task, event.run, event.minion, event.what));
        match event.what {
            "start" => over += usize::from(failed >= ATTEMPTS),
            "failed" => failed += usize::from(is_acked(event.run)),
            _ => {}
        }
    }
    system.note(format!(
        "BUDGET: {over} starts after {ATTEMPTS} runs had ended 'failed' and were taken note of; {failed} such ends in all"
    ));
    if over > 0 { Verdict::Broken } else { Verdict::Held }
}
