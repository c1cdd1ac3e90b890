//! A key is taken away while the store gives one machine of the system no answer.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{Call, Caller};
use crate::minion::{Minion, MinionSettings, Record, Work};
use crate::store::{SERVED, SILENT};
use crate::system::System;

const JOB: &str = "5c0e7a21d94b36f8";
const HOST: &str = "pule25.example";
const KEY: &str = "key-withdrawn";
const OTHER_KEY: &str = "key-kept";
/// `RevokeMs` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
/// How long the store turns the machine away.
const OUTAGE: Duration = Duration::from_secs(9);
const CALL_INTERVAL: Duration = Duration::from_millis(400);

fn config(version: u32, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-1","Host":"{HOST}","Prefix":"/quick/","Kind":"unsafe","TimeoutMs":3000,"SloMs":600,"Service":"pricing","Attempts":2,"Stretch":1.6}}],"Services":[{{"Name":"pricing","RejectsOverload":true}}],"Tenants":[{{"Name":"tenant-1","ApiKeys":[{}],"Weight":50}}],"Limits":{{}}}}"#,
        keys.join(",")
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
    let work = Work { ms: 640, how: "done", cpu: 800, mem_mb: 256, serves: false };
    let minions = [Minion::start(settings, &record, move |_, _| work.clone())];
    let system = System::start(3, &minions, &config(3, &[KEY, OTHER_KEY]));
    let verdict = run(&system, is_troubled);
    system.close(record_path);
    verdict
}

fn run(system: &System, is_troubled: bool) -> Verdict {
    if !system.wait_until_ready(Duration::from_secs(20)) {
        system.note("the processes did not become ready");
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let path = format!("/quick/{JOB}");
    // The client's connection stays with this machine, which does not give the orders.
    let owner = system.store.last_writer().unwrap_or(0);
    let machine = &system.daemons[(owner + 1) % system.daemons.len()];
    let mut caller = Caller::new(machine.front);
    let body = r#"{"Spec":"price","Steps":[{"Count":6,"Cpu":800,"MemMb":256,"EstMs":640}]}"#;
    let answer = call("POST", &path, body, &mut caller);
    system.note(format!("POST {path} at {} -> {answer:?}", machine.name));
    if !matches!(answer, Some((200, _))) {
        return Verdict::CouldNotRun;
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let answer = call("GET", &path, "", &mut caller);
        if answer.as_ref().is_some_and(|(_, body)| body.contains("completed")) {
            system.note(format!("GET {path} at {} -> {answer:?}", machine.name));
            break;
        }
        if Instant::now() > deadline {
            system.note(format!("the job did not complete: {answer:?}"));
            return Verdict::CouldNotRun;
        }
        thread::sleep(Duration::from_millis(200));
    }
    let cut_at = Instant::now();
    if is_troubled {
        machine.door.set(SILENT);
        system.note(format!("the store gives {} no answer", machine.name));
    }
    thread::sleep(Duration::from_millis(100));
    system.store.put("op/config", &config(5, &[OTHER_KEY]));
    let acked = Instant::now();
    system.note(format!("version 5 is acknowledged: {KEY} is taken away"));
    let mut served_late = 0;
    while cut_at.elapsed() < OUTAGE - CALL_INTERVAL {
        let sent = Instant::now();
        let answer = call("GET", &path, "", &mut caller);
        let is_late = sent > acked + REVOKE;
        let is_served = matches!(answer, Some((200..=299, _)));
        served_late += usize::from(is_late && is_served);
        let age_ms = (sent - acked).as_millis();
        system.note(format!("GET {path} with {KEY}, sent {age_ms} ms after the ack -> {answer:?}"));
        if answer.is_none() {
            caller = Caller::new(machine.front);
        }
        thread::sleep(CALL_INTERVAL);
    }
    machine.door.set(SERVED);
    system.note(format!(
        "CONFIG: {served_late} requests sent later than {} ms after the ack were answered with success",
        REVOKE.as_millis()
    ));
    if served_late > 0 { Verdict::Broken } else { Verdict::Held }
}
