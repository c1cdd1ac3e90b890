//! What each case plays and checks.

use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::cluster::{Clients, Cluster, KEYS, Route};
use crate::record::Record;

/// Outcome of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

const SERVICES: [&str; 2] = ["svc-a", "svc-b"];
const ROUTE: Route =
    Route { name: "q-one", prefix: "/one/", service: "svc-a", is_public: false, has_policy: false };
const OTHER: Route =
    Route { name: "q-two", prefix: "/two/", service: "svc-b", is_public: false, has_policy: false };
const PUBLIC: Route = Route {
    name: "q-open",
    prefix: "/open/",
    service: "svc-b",
    is_public: true,
    has_policy: false,
};
const WITH_POLICY: Route = Route {
    name: "q-policy",
    prefix: "/policy/",
    service: "svc-a",
    is_public: false,
    has_policy: true,
};

/// Plays a case.
pub fn play(case: &str, record: Record, has_trouble: bool) -> Outcome {
    record.line(format!("case {case}, with the disruption: {has_trouble}"));
    let outcome = match case {
        "removed-queue" => removed_queue(record.clone(), has_trouble),
        "shared-id" => shared_id(record.clone(), has_trouble),
        "open-queue" => open_queue(record.clone(), has_trouble),
        "letter-case" => letter_case(record.clone(), has_trouble),
        "large-jobs" => large_jobs(record.clone(), has_trouble),
        "cancelled-jobs" => cancelled_jobs(record.clone(), has_trouble),
        _ => Outcome::NotRun,
    };
    record.line(format!("outcome: {outcome:?}"));
    outcome
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// A job with one task a step; the tasks of step N work for the Nth time in milliseconds.
fn job(name: &str, times_ms: &[u64]) -> String {
    let steps = (0..times_ms.len()).map(|step| {
        let after = if step > 0 { format!(",\"After\":[{}]", step - 1) } else { String::new() };
        format!("{{\"Count\":1,\"Cpu\":1000,\"MemMb\":64,\"EstMs\":500{after}}}")
    });
    let times: Vec<String> = times_ms.iter().map(u64::to_string).collect();
    let spec = format!("{name} {}", times.join(","));
    format!("{{\"Spec\":\"{spec}\",\"Steps\":[{}]}}", steps.collect::<Vec<_>>().join(","))
}

/// Starts the deployment with these queues; `None` if it does not serve.
fn deploy(record: Record, routes: &[Route]) -> Option<Cluster> {
    deploy_with(record, routes, false)
}

fn deploy_with(record: Record, routes: &[Route], limits_descriptors: bool) -> Option<Cluster> {
    let mut cluster = Cluster::start(record, &SERVICES, 3);
    cluster.limits_descriptors = limits_descriptors;
    cluster.configure(10, routes, &SERVICES);
    for number in 0..cluster.nodes() {
        cluster.start_node(number);
    }
    if !cluster.wait_until_ready(&routes[0]) {
        return None;
    }
    sleep(seconds(4.0));
    Some(cluster)
}

/// Asks for a job's state until it is `wanted` or the time is over; returns the last answer.
fn await_state(
    cluster: &Cluster,
    path: &str,
    key: &str,
    wanted: &str,
    time: Duration,
) -> (u16, String) {
    let until = Instant::now() + time;
    loop {
        let answer = cluster.client(0, "GET", path, Some(key), "");
        if answer.1.contains(wanted) || Instant::now() > until {
            return answer;
        }
        sleep(seconds(0.5));
    }
}

/// A queue with a placement policy is removed while a job of it runs. With the disruption the machines
/// of the system are stopped and started in turn afterwards.
fn removed_queue(record: Record, has_trouble: bool) -> Outcome {
    const ID: &str = "5c0e7a21d94b36f8";
    let Some(mut cluster) = deploy(record.clone(), &[ROUTE, WITH_POLICY]) else {
        return Outcome::NotRun;
    };
    cluster.fleet.jobs_with_policy.lock().expect("jobs").insert(ID.into());
    let path = format!("{}{ID}", WITH_POLICY.prefix);
    let (status, _) = cluster.client(0, "POST", &path, Some(KEYS[0]), &job("plan", &[24_000, 300]));
    let (first, second) = (format!("{ID}.0.0.0"), format!("{ID}.0.1.0"));
    sleep(seconds(3.0));
    if status != 200 || !cluster.begun().iter().any(|(task, _)| *task == first) {
        return Outcome::NotRun;
    }
    cluster.configure(13, &[ROUTE], &SERVICES);
    sleep(seconds(2.5));
    if has_trouble {
        for number in 0..cluster.nodes() {
            cluster.restart_gracefully(number);
            sleep(seconds(1.3));
        }
    }
    let until = Instant::now() + seconds(40.0);
    while !cluster.is_done(&first) && Instant::now() < until {
        sleep(seconds(0.1));
    }
    if !cluster.is_done(&first) {
        record.line("the first step has not ended");
        return Outcome::NotRun;
    }
    record
        .line("the first step has ended; the second one's turn has come, and all minions are idle");
    // 3 s without a run break the rule; the 4 s before them are calm as well.
    let until = Instant::now() + seconds(20.0);
    while !cluster.is_done(&second) && Instant::now() < until {
        sleep(seconds(0.1));
    }
    let orders = cluster.ordered().iter().filter(|(task, _)| *task == second).count();
    let is_done = cluster.is_done(&second);
    record.line(format!("orders to start {second}: {orders}; done: {is_done}"));
    if is_done { Outcome::Held } else { Outcome::Broken }
}

/// A client chooses an id that the job of another tenant in another queue has.
fn shared_id(record: Record, has_trouble: bool) -> Outcome {
    let Some(cluster) = deploy(record.clone(), &[ROUTE, OTHER]) else { return Outcome::NotRun };
    let id = "0000000000000001";
    let other_id = if has_trouble { id } else { "0000000000000002" };
    let (path, other_path) =
        (format!("{}{id}", ROUTE.prefix), format!("{}{other_id}", OTHER.prefix));
    let (status, _) = cluster.client(0, "POST", &path, Some(KEYS[0]), &job("of-one", &[300]));
    if status != 200 {
        return Outcome::NotRun;
    }
    sleep(seconds(2.0));
    let (status, _) = cluster.client(1, "POST", &other_path, Some(KEYS[1]), &job("of-two", &[300]));
    if !(200..300).contains(&status) {
        record.line("the second job was not accepted, so nothing is owed for it");
        return Outcome::Held;
    }
    // Well beyond `visible_ms`.
    sleep(seconds(6.0));
    let (state, _) = await_state(&cluster, &other_path, KEYS[1], "completed", seconds(12.0));
    let has_begun = cluster.begun().iter().any(|(_, spec)| spec.starts_with("of-two"));
    record.line(format!(
        "the second job was accepted; a task of it was begun: {has_begun}; its state: {state}"
    ));
    if state == 410 || !has_begun { Outcome::Broken } else { Outcome::Held }
}

/// A caller without a key cancels, at an open queue, the job of a tenant in a queue that needs one.
fn open_queue(record: Record, has_trouble: bool) -> Outcome {
    let Some(cluster) = deploy(record.clone(), &[ROUTE, PUBLIC]) else { return Outcome::NotRun };
    let (id, own_id) = ("7d1f00c2a96be410", "7d1f00c2a96be411");
    let path = format!("{}{id}", ROUTE.prefix);
    let (status, _) = cluster.client(0, "POST", &path, Some(KEYS[0]), &job("of-one", &[12_000]));
    let own_path = format!("{}{own_id}", PUBLIC.prefix);
    let (own_status, _) = cluster.client(1, "POST", &own_path, None, &job("open", &[20_000]));
    if status != 200 || own_status != 200 {
        return Outcome::NotRun;
    }
    sleep(seconds(4.0));
    let deleted = if has_trouble { id } else { own_id };
    let deleted_path = format!("{}{deleted}", PUBLIC.prefix);
    cluster.client(1, "GET", &deleted_path, None, "");
    cluster.client(1, "DELETE", &deleted_path, None, "");
    let (_, state) = await_state(&cluster, &path, KEYS[0], "cancelled", seconds(20.0));
    let is_done = cluster.is_done(&format!("{id}.0.0.0"));
    record.line(format!("the tenant's job: {state}; its task is done: {is_done}"));
    if state.contains("cancelled") || !is_done { Outcome::Broken } else { Outcome::Held }
}

/// A client writes the hexadecimal digits of its job's id as capitals.
fn letter_case(record: Record, has_trouble: bool) -> Outcome {
    let Some(cluster) = deploy(record.clone(), &[ROUTE, OTHER]) else { return Outcome::NotRun };
    let id = if has_trouble { "5C0E7A21D94B36F8" } else { "5c0e7a21d94b36f8" };
    let path = format!("{}{id}", ROUTE.prefix);
    let (status, _) = cluster.client(0, "POST", &path, Some(KEYS[0]), &job("of-one", &[300]));
    if !(200..300).contains(&status) {
        record.line("the job was not accepted, so nothing is owed for it");
        return Outcome::Held;
    }
    await_state(&cluster, &path, KEYS[0], "completed", seconds(10.0));
    let ordered = cluster.jobs_ordered();
    record.line(format!("sent: {id}; minions were told to start tasks of: {ordered:?}"));
    match ordered.iter().all(|job| job == id) {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}

/// A caller hands in small requests for jobs of many tasks, in rounds. The platform kills a process
/// that uses more memory than its machine has, and starts it again.
fn large_jobs(record: Record, has_trouble: bool) -> Outcome {
    let Some(mut cluster) = deploy(record.clone(), &[ROUTE, OTHER]) else { return Outcome::NotRun };
    let (clients, others) = (cluster.clients(), cluster.clients());
    let rounds = spawn(move || hand_in_large_jobs(&clients, has_trouble));
    let ordinary = spawn(move || hand_in_ordinary_jobs(&others));
    let until = Instant::now() + seconds(65.0);
    while Instant::now() < until {
        cluster.enforce_memory();
        sleep(seconds(0.01));
    }
    let (Ok(large), Ok(accepted)) = (rounds.join(), ordinary.join()) else {
        return Outcome::NotRun;
    };
    let done = accepted.iter().filter(|id| cluster.is_done(&format!("{id}.0.0.0"))).count();
    record.line(format!("accepted large jobs: {large}"));
    record.line(format!(
        "accepted ordinary jobs of another tenant and service: {}, done: {done}",
        accepted.len()
    ));
    judge_kills(&record, &cluster)
}

/// Whether processes ended by themselves three times on two machines, as the rule says.
fn judge_kills(record: &Record, cluster: &Cluster) -> Outcome {
    const KILLS: u32 = 3;
    const MACHINES: usize = 2;
    let kills = cluster.memory_kills();
    record.line(format!("kills for memory over the limit, by machine: {kills:?}"));
    match kills.iter().filter(|kills| **kills >= KILLS).count() >= MACHINES {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// A client hands in two jobs of many tasks in each round, and cancels them while they run. The
/// platform kills a process that uses more memory than its machine has, and starts it again.
fn cancelled_jobs(record: Record, has_trouble: bool) -> Outcome {
    let Some(mut cluster) = deploy_with(record.clone(), &[ROUTE, OTHER], true) else {
        return Outcome::NotRun;
    };
    let (clients, others) = (cluster.clients(), cluster.clients());
    let rounds = spawn(move || hand_in_and_cancel(&clients, has_trouble));
    let ordinary = spawn(move || hand_in_ordinary_jobs(&others));
    let until = Instant::now() + seconds(75.0);
    while Instant::now() < until {
        cluster.enforce_memory();
        sleep(seconds(0.01));
    }
    let (Ok((accepted, cancelled)), Ok(ordinary)) = (rounds.join(), ordinary.join()) else {
        return Outcome::NotRun;
    };
    let done = ordinary.iter().filter(|id| cluster.is_done(&format!("{id}.0.0.0"))).count();
    record.line(format!("large jobs accepted: {accepted}, cancelled: {cancelled}"));
    record.line(format!(
        "accepted ordinary jobs of another tenant and service: {}, done: {done}",
        ordinary.len()
    ));
    judge_kills(&record, &cluster)
}

/// Hands in two jobs a round, and cancels them 3 s later; returns how many were accepted and how many
/// cancelled.
fn hand_in_and_cancel(clients: &Clients, has_trouble: bool) -> (usize, usize) {
    const ROUNDS: usize = 5;
    const ROUND_S: f64 = 14.0;
    let step = "{\"Count\":10000,\"Cpu\":1,\"EstMs\":9000}";
    let spec = format!("{} 9000,9000", "x".repeat(200));
    let body = format!("{{\"Spec\":\"{spec}\",\"Steps\":[{step},{step}]}}");
    let (mut accepted, mut cancelled) = (0, 0);
    let start = Instant::now();
    for round in 0..ROUNDS {
        sleep(seconds(ROUND_S * round as f64).saturating_sub(start.elapsed()));
        let paths: Vec<String> =
            (0..2).map(|number| format!("{}a0000000000000{round}{number}", ROUTE.prefix)).collect();
        accepted += paths.iter().filter(|path| retry(clients, "POST", path, &body)).count();
        sleep(seconds(3.0));
        if has_trouble {
            cancelled += paths.iter().filter(|path| retry(clients, "DELETE", path, "")).count();
        }
    }
    (accepted, cancelled)
}

/// Sends a call to one process after the other until it succeeds; returns whether it did.
fn retry(clients: &Clients, method: &str, path: &str, body: &str) -> bool {
    (0..6).any(|attempt| {
        if attempt > 0 {
            sleep(seconds(0.3));
        }
        clients.call(attempt % 3, method, path, Some(KEYS[0]), body).0 == 200
    })
}

/// Hands in jobs of two steps; returns how many were accepted.
fn hand_in_large_jobs(clients: &Clients, has_trouble: bool) -> usize {
    const ROUNDS: usize = 8;
    const JOBS_PER_ROUND: usize = 8;
    const TEXT_BYTES: usize = 3_980;
    let count = if has_trouble { 10_000 } else { 10 };
    let step = format!("{{\"Count\":{count},\"Cpu\":1,\"EstMs\":5000}}");
    let body =
        format!("{{\"Spec\":\"{} 5000,5000\",\"Steps\":[{step},{step}]}}", "x".repeat(TEXT_BYTES));
    let mut accepted = 0;
    for number in 0..ROUNDS * JOBS_PER_ROUND {
        if number > 0 && number % JOBS_PER_ROUND == 0 {
            sleep(seconds(5.0));
        }
        let path = format!("{}a0000000000000{number:02}", ROUTE.prefix);
        let (status, _) = clients.call(number % 3, "POST", &path, Some(KEYS[0]), &body);
        accepted += usize::from(status == 200);
    }
    accepted
}

/// Hands in a small job each two seconds; returns the ids of those that were accepted.
fn hand_in_ordinary_jobs(clients: &Clients) -> Vec<String> {
    let ids = (0..20).map(|number| format!("b0000000000000{number:02}"));
    let numbered = ids.enumerate().filter(|(number, id)| {
        sleep(seconds(2.0));
        let path = format!("{}{id}", OTHER.prefix);
        let body = job("ordinary", &[200]);
        clients.call(number % 3, "POST", &path, Some(KEYS[1]), &body).0 == 200
    });
    numbered.map(|(_, id)| id).collect()
}
