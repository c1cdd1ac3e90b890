//! The processes that read the logs stand still for a while.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{Call, Caller};
use crate::minion::{Minion, MinionSettings, Record, Work};
use crate::system::System;

const HOST: &str = "pule25.example";
const KEY: &str = "key-1";
/// Jobs sent, at this interval.
const JOBS: u64 = 500;
const JOB_INTERVAL: Duration = Duration::from_millis(30);
/// Jobs sent before the readers of the logs stand still.
const JOBS_BEFORE: u64 = 20;
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);
/// Unanswered jobs after which no more are sent.
const MISSES_MAX: usize = 3;
/// Accepted jobs that are asked for, the latest ones.
const ASKED: usize = 3;
/// Time in which the answer to a question about a job has to come, with retries.
const ANSWER_MAX: Duration = Duration::from_secs(6);

/// The process that answered last.
static LAST_ANSWER: AtomicUsize = AtomicUsize::new(0);

fn config() -> String {
    format!(
        r#"{{"Version":3,"Routes":[{{"Name":"r-1","Host":"{HOST}","Prefix":"/quick/","Kind":"unsafe","TimeoutMs":3000,"SloMs":600,"Service":"pricing","Attempts":2,"Stretch":1.6}}],"Services":[{{"Name":"pricing","RejectsOverload":true}}],"Tenants":[{{"Name":"tenant-1","ApiKeys":["{KEY}"],"Weight":50}}],"Limits":{{}}}}"#
    )
}

fn path(job: u64) -> String {
    format!("/quick/{:016x}", 0x5c0e_7a21_d94b_0000 + job)
}

/// Calls each process in turn, first the one that answered last, until one answers with a final status, or the time is over.
fn call(system: &System, method: &str, path: &str, body: &str, limit: Duration) -> Option<(u16, String)> {
    let deadline = Instant::now() + limit;
    let mut number = LAST_ANSWER.load(Ordering::SeqCst);
    while Instant::now() < deadline {
        let daemon = &system.daemons[number % system.daemons.len()];
        let timeout = Duration::from_millis(1_000);
        let answer =
            Caller::new(daemon.front).call(&Call { method, host: HOST, path, key: KEY, body, timeout });
        if matches!(answer, Some((200 | 410 | 404 | 401, _))) {
            LAST_ANSWER.store(number, Ordering::SeqCst);
            return answer;
        }
        number += 1;
        thread::sleep(Duration::from_millis(50));
    }
    None
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
            let work = Work { ms: 640, how: "done", cpu: 400, mem_mb: 256, serves: false };
            Minion::start(settings, &record, move |_, _| work.clone())
        })
        .collect();
    let mut system = System::start_with_collectors(3, &minions, &config());
    let verdict = run(&mut system, is_troubled);
    system.close(record_path);
    verdict
}

fn run(system: &mut System, is_troubled: bool) -> Verdict {
    if !system.wait_until_ready(Duration::from_secs(20)) {
        system.note("the processes did not become ready");
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let body = r#"{"Spec":"price","Steps":[{"Count":2,"Cpu":400,"MemMb":256,"EstMs":640}]}"#;
    let mut accepted = Vec::new();
    for job in 0..JOBS {
        if job == JOBS_BEFORE && is_troubled {
            for number in 0..system.daemons.len() {
                system.signal_collector(number, "STOP");
            }
            system.note("SIGSTOP to the three processes that read the logs");
        }
        let answer = call(system, "POST", &path(job), body, Duration::from_secs(2));
        if matches!(answer, Some((200, _))) {
            accepted.push(job);
        } else {
            system.note(format!("POST {} -> {answer:?}", path(job)));
        }
        thread::sleep(JOB_INTERVAL);
        if job as usize >= accepted.len() + MISSES_MAX {
            break;
        }
    }
    system.note(format!("{} jobs were accepted; no more are sent", accepted.len()));
    thread::sleep(FINISH);
    let (mut unanswered, mut unfinished) = (0, 0);
    for job in accepted.iter().rev().take(ASKED) {
        let answer = call(system, "GET", &path(*job), "", ANSWER_MAX);
        unanswered += u32::from(answer.is_none());
        unfinished += u32::from(answer.as_ref().is_some_and(|(_, body)| !body.contains("completed")));
        system.note(format!("GET {} -> {answer:?}", path(*job)));
    }
    for number in 0..system.daemons.len() {
        system.signal_collector(number, "CONT");
        let state = if system.is_alive(number) { "runs" } else { "has ended" };
        system.note(format!("the process of {} {state}", system.daemons[number].name));
    }
    if is_troubled {
        system.note("SIGCONT to the processes that read the logs");
        thread::sleep(Duration::from_secs(6));
        for job in accepted.iter().rev().take(1) {
            let answer = call(system, "GET", &path(*job), "", ANSWER_MAX);
            system.note(format!("GET {} -> {answer:?}", path(*job)));
        }
    }
    system.note(format!(
        "LOST: {unanswered} accepted jobs got no answer, {unfinished} had not completed, {} s after the last job",
        FINISH.as_secs()
    ));
    if unanswered > 0 || unfinished > 0 { Verdict::Broken } else { Verdict::Held }
}
