//! The traffic of a queue with advice is 2.6 times the usual for 4 s.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{Call, Caller};
use crate::minion::{Minion, MinionSettings, Record, Work};
use crate::system::System;

const HOST: &str = "pule25.example";
const KEY: &str = "key-1";
const MINIONS: usize = 14;
/// Time between two jobs.
const INTERVAL: Duration = Duration::from_millis(2_000);
/// Length of the traffic.
const TRAFFIC: Duration = Duration::from_secs(20);
/// Start and length of the burst, and how many times the traffic it is.
const BURST_AT: Duration = Duration::from_secs(6);
const BURST_LENGTH: Duration = Duration::from_secs(4);
const BURST_X: f64 = 2.6;
const DECIDE_MS: u64 = 300;
const EACH_MS: u64 = 40;
const VALID_MS: u64 = 3_000;
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);
/// How long a job may have nothing running.
const IDLE_MAX: Duration = Duration::from_secs(3);

fn config() -> String {
    format!(
        r#"{{"Version":3,"Routes":[{{"Name":"r-1","Host":"{HOST}","Prefix":"/quick/","Kind":"unsafe","TimeoutMs":3000,"SloMs":600,"Service":"pricing","Attempts":2,"Stretch":1.6,"Advice":{{"DecideMs":{DECIDE_MS},"EachMs":{EACH_MS},"ValidMs":{VALID_MS}}}}}],"Services":[{{"Name":"pricing","RejectsOverload":true}}],"Tenants":[{{"Name":"tenant-1","ApiKeys":["{KEY}"],"Weight":50}}],"Limits":{{}}}}"#
    )
}

fn path(job: u64) -> String {
    format!("/quick/{:016x}", 0x5c0e_7a21_d94b_0000 + job)
}

fn call(method: &str, path: &str, body: &str, caller: &mut Caller) -> Option<(u16, String)> {
    let timeout = Duration::from_secs(3);
    caller.call(&Call { method, host: HOST, path, key: KEY, body, timeout })
}

pub fn play(is_troubled: bool, record_path: &str) -> Verdict {
    let record = Arc::new(Record::default());
    let minions: Vec<Arc<Minion>> = (0..MINIONS)
        .map(|number| {
            let settings = MinionSettings {
                id: format!("i-7f3a91{number:02}"),
                machine: format!("m-0a3{number:02}"),
                service: "pricing".into(),
                zone: format!("zone-{}", number % 3),
                rack: format!("r{}-{}", number % 3, number / 4),
                cpu: 16_000,
                mem_mb: 32_768,
                hold_max_ms: 10_000,
                stop_ms: 400,
            };
            let work = Work { ms: 640, how: "done", cpu: 800, mem_mb: 256, serves: false };
            Minion::start(settings, &record, move |_, _| work.clone())
        })
        .collect();
    let system = System::start(3, &minions, &config());
    let verdict = run(&system, &minions, &record, is_troubled);
    system.close(record_path);
    verdict
}

fn run(system: &System, minions: &[Arc<Minion>], record: &Record, is_troubled: bool) -> Verdict {
    system.advice.decide_ms.store(DECIDE_MS, Ordering::SeqCst);
    system.advice.each_ms.store(EACH_MS, Ordering::SeqCst);
    system.advice.valid_ms.store(VALID_MS, Ordering::SeqCst);
    if !system.wait_until_ready(Duration::from_secs(20)) {
        system.note("the processes did not become ready");
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let mut caller = Caller::new(system.daemons[0].front);
    let body = r#"{"Spec":"price","Steps":[{"Count":4,"Cpu":800,"MemMb":256,"EstMs":640}]}"#;
    let begun = Instant::now();
    let mut next = begun;
    let mut jobs = 0;
    while begun.elapsed() < TRAFFIC {
        let answer = call("POST", &path(jobs), body, &mut caller);
        system.note(format!("POST {} -> {answer:?}", path(jobs)));
        if !matches!(answer, Some((200, _))) {
            return Verdict::CouldNotRun;
        }
        jobs += 1;
        let in_burst = (BURST_AT..BURST_AT + BURST_LENGTH).contains(&begun.elapsed());
        next += if is_troubled && in_burst { INTERVAL.div_f64(BURST_X) } else { INTERVAL };
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    let end = Instant::now();
    system.note("the traffic ends");
    thread::sleep(FINISH - IDLE_MAX);
    // LOST: for 3 s nothing of the job runs, though its turn has come and all minions are idle.
    let deadline = end + FINISH;
    let before = record.events().len();
    let mut busiest = 0;
    while Instant::now() < deadline {
        busiest = busiest.max(minions.iter().map(|minion| minion.running()).sum());
        thread::sleep(Duration::from_millis(20));
    }
    let events = record.events();
    system.note(format!(
        "in the 3 s until {} s after the traffic: {} events on the minions, at most {busiest} tasks at once on room for {}",
        FINISH.as_secs(),
        events.len() - before,
        MINIONS * 20
    ));
    let mut idle = 0;
    for job in 0..jobs {
        let answer = call("GET", &path(job), "", &mut caller);
        let id = path(job).replace("/quick/", "");
        let is_of_job = |task: &str| task.starts_with(&id);
        let late = events[before..].iter().any(|event| is_of_job(&event.task));
        let starts = events.iter().filter(|event| event.what == "start" && is_of_job(&event.task));
        let is_over = answer.as_ref().is_some_and(|(_, body)| body.contains("completed"));
        idle += u32::from(!is_over && !late);
        system.note(format!("GET {} -> {answer:?}; {} starts", path(job), starts.count()));
    }
    system.note(format!(
        "the service answered {} calls for advice",
        system.advice.answered.load(Ordering::SeqCst)
    ));
    system.note(format!(
        "LOST: {idle} of {jobs} accepted jobs had nothing running for 3 s, {} s after the traffic",
        FINISH.as_secs()
    ));
    let is_busy = busiest * 2 >= MINIONS * 20;
    if idle > 0 && !is_busy { Verdict::Broken } else { Verdict::Held }
}
