//! The cases.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::cloud::Cloud;
use crate::http::{Passage, Request, Server};
use crate::instance::{Instance, InstanceFacts, wait_for};
use crate::store::Store;
use crate::world::{Cut, JobFacts, Judge, Record};

const ZONES: [&str; 3] = ["sfax-medina", "sfax-sakiet", "sfax-thyna"];
const SERVICE: &str = "pricing";
const SPARE: &str = "clerks";
const KEY: &str = "sjnbanfqasnmgkcuyj8p";
/// Length of the cut that holds up an order. It ends before the order is sent again 1.4 s after it
/// was first sent, and before its sender gives it up after 1.5 s.
const SHORT_CUT: Duration = Duration::from_millis(1_350);
/// Length of the cut of a zone, the shortest of the site's days.
const ZONE_CUT: Duration = Duration::from_millis(5_400);
/// Time without reports after which the store removes a worker's entry.
const ENTRY_TIME: Duration = Duration::from_millis(4_500);

/// The first cut starts when a maintenance order is on its way, if this is set.
#[derive(Default)]
struct Trigger {
    is_armed: AtomicBool,
    /// When the cut started, and at which instance.
    started: Mutex<Option<(Instant, usize)>>,
}

struct Deployment {
    judge: Arc<Judge>,
    store: Arc<Store>,
    cloud: Arc<Cloud>,
    cut: Arc<Cut>,
    trigger: Arc<Trigger>,
    instances: Vec<Instance>,
    _servers: Vec<Server>,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.instances.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

struct Plan {
    requires_fence: bool,
    cap_cpu: u64,
    machines_per_zone: usize,
    spare_machines: usize,
}

/// Runs a case; returns whether the rule held.
pub fn run(case: &str, folder: &Path, trouble: bool) -> Result<bool, String> {
    let record = Record::create(&folder.join("record.txt")).map_err(|error| error.to_string())?;
    record.note(&format!("case {case}, trouble: {trouble}"));
    match case {
        "limit" => limit(record, trouble),
        "quota" => quota(record, trouble),
        _ => Err("unknown case".to_string()),
    }
}

/// An address of the loopback range that depends on the process.
fn ip(last: u8) -> IpAddr {
    let process = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 64 + (process >> 8) as u8 % 64, process as u8, last))
}

fn deploy(record: Record, plan: &Plan) -> Result<Deployment, String> {
    let text = |error: std::io::Error| error.to_string();
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(text)?;
    let judge = Arc::new(Judge::new(record, plan.cap_cpu));
    let store = Arc::new(Store::new());
    let cut = Arc::new(Cut::default());
    let cloud =
        Cloud::new(plan.requires_fence, judge.clone(), store.clone(), cut.clone(), ip(2));
    store.write("op/config", &config(plan.cap_cpu));
    let mut count = 0;
    for zone in ZONES {
        for place in 0..plan.machines_per_zone {
            count += 1;
            let pool = if place < plan.machines_per_zone - plan.spare_machines { SERVICE } else { SPARE };
            cloud.add(&format!("m-{count}"), pool, zone, &format!("r-{zone}"), 8_000);
        }
    }
    let expiring = store.clone();
    thread::spawn(move || {
        loop {
            expiring.expire_leases();
            sleep(Duration::from_millis(5));
        }
    });
    let trigger = Arc::new(Trigger::default());
    let (mut servers, mut instances) = (Vec::new(), Vec::new());
    for (number, zone) in ZONES.into_iter().enumerate() {
        let (own_cut, own_store) = (cut.clone(), store.clone());
        let link = Arc::new(move |_: &Request| match own_cut.is_cut(zone) {
            true => Passage::Held,
            false => Passage::Open,
        });
        let handler = Arc::new(move |request: &Request| own_store.handle(request, number));
        let any = SocketAddr::new(ip(1), 0);
        let store_server = Server::start(any, link, handler).map_err(text)?;
        let (own_cut, own_trigger, own_cloud) = (cut.clone(), trigger.clone(), cloud.clone());
        let judge_of_link = judge.clone();
        let link = Arc::new(move |request: &Request| {
            let is_order = request.path == "/machine-upkeep";
            if is_order && own_trigger.is_armed.swap(false, Ordering::SeqCst) {
                let fence = request.header("X-Fence-Token").parse().unwrap_or(0);
                own_cut.start(zone, fence);
                judge_of_link.record.note(&format!(
                    "{zone} is cut off while its instance's order is on the way: {}",
                    request.body
                ));
                *own_trigger.started.lock().unwrap() = Some((Instant::now(), number));
            }
            match own_cut.is_cut(zone) {
                true => Passage::Held,
                false => Passage::Open,
            }
        });
        let handler = Arc::new(move |request: &Request| own_cloud.handle(request));
        let cloud_server = Server::start(any, link, handler).map_err(text)?;
        let facts = InstanceFacts {
            name: &format!("front-{zone}-1"),
            zone,
            ip: ip(10 + number as u8),
            store: store_server.address,
            cloud: cloud_server.address,
            requires_fence: plan.requires_fence,
        };
        instances.push(Instance::start(&facts, &folder).map_err(text)?);
        servers.extend([store_server, cloud_server]);
    }
    let deployment =
        Deployment { judge, store, cloud, cut, trigger, instances, _servers: servers, folder };
    wait_for(Duration::from_secs(15), "the instances are not ready", || {
        deployment.instances.iter().all(Instance::is_ready) && deployment.store.leader().is_some()
    })?;
    // The owner has polled all workers.
    sleep(Duration::from_secs(1));
    Ok(deployment)
}

fn config(cap_cpu: u64) -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-a","Host":"a.example","Prefix":"/qa/","Kind":"unsafe","TimeoutMs":3000,"SloMs":600,"Priority":0,"Service":"{SERVICE}","Attempts":3,"Stretch":1.6,"Public":false}}],"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","MaxConns":64,"Proto":"h1","RejectsOverload":true,"Spare":false}},{{"Name":"{SPARE}","HealthPath":"/health","MaxConns":64,"Proto":"h1","RejectsOverload":true,"Spare":true}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144}},"Tenants":[{{"Name":"cugo130","ApiKeys":["{KEY}"],"Priority":1,"Weight":67,"Cap":{{"Cpu":{cap_cpu},"MemMb":0,"Gpu":0}}}}]}}"#
    )
}

impl Deployment {
    fn note(&self, line: &str) {
        self.judge.record.note(line);
    }

    fn submit(&self, instance: usize, id: &str, step: &str, facts: JobFacts) -> Result<(), String> {
        self.judge.add_job(id, facts);
        let body = format!(r#"{{"Spec":"work","Steps":[{step}]}}"#);
        let response = self.instances[instance].call("POST", &format!("/qa/{id}"), KEY, &body);
        self.note(&format!("POST {id} {step}: {response:?}"));
        match response {
            Some((200, _)) => Ok(()),
            _ => Err("a job was not accepted".to_string()),
        }
    }

    fn highest_fence(&self) -> u64 {
        self.cloud.workers().iter().map(|worker| worker.fence()).max().unwrap_or(0)
    }

    /// Cuts off a zone, whose workers' entries lapse after a while, for `length`.
    fn cut_zone(&self, zone: &str, length: Duration) {
        self.cut.start(zone, self.highest_fence());
        self.note(&format!("{zone} is cut off"));
        let inside: Vec<_> =
            self.cloud.workers().into_iter().filter(|one| one.facts.zone == zone).collect();
        let silent = length.min(ENTRY_TIME);
        sleep(silent);
        if length > ENTRY_TIME {
            inside.iter().for_each(|worker| worker.unregister());
            sleep(length - silent);
        }
        self.cut.end();
        self.note(&format!("{zone} is no longer cut off"));
        inside.iter().filter(|worker| worker.is_up()).for_each(|worker| worker.register());
    }
}

/// The zone of the owner is cut off for a moment while its order to a machine is on the way. Another
/// instance becomes the owner and goes on with the wave; the order arrives after the cut.
fn limit(record: Record, trouble: bool) -> Result<bool, String> {
    // The rule is broken whether or not the machine control checks fences.
    let requires_fence = std::env::var_os("REQUIRE_FENCE").is_some();
    let plan =
        Plan { requires_fence, cap_cpu: 100_000, machines_per_zone: 3, spare_machines: 1 };
    let deployment = deploy(record, &plan)?;
    deployment.trigger.is_armed.store(trouble, Ordering::SeqCst);
    deployment.cloud.request_wave(1, &["m-1", "m-2", "m-4", "m-5"], 1, 26);
    if trouble {
        let trigger = deployment.trigger.clone();
        wait_for(Duration::from_secs(10), "no order", || trigger.started.lock().unwrap().is_some())?;
        let (started, _) = trigger.started.lock().unwrap().ok_or("no order")?;
        let at = |time| sleep((started + time).saturating_duration_since(Instant::now()));
        at(SHORT_CUT);
        deployment.cut.end();
        deployment.note("the zone is no longer cut off");
    }
    sleep(Duration::from_secs(5));
    Ok(!deployment.judge.is_broken())
}

/// The zone of the owner is cut off while a tenant has as much running as it may, and a further job
/// waits.
fn quota(record: Record, trouble: bool) -> Result<bool, String> {
    let plan =
        Plan { requires_fence: false, cap_cpu: 12_000, machines_per_zone: 3, spare_machines: 1 };
    let deployment = deploy(record, &plan)?;
    let facts = |work_s| JobFacts {
        cpu: 1_000,
        work: Duration::from_secs(work_s),
        crashes_after: None,
    };
    let step = r#"{"Count":12,"Cpu":1000,"MemMb":256,"EstMs":20000,"MaxPerServer":2}"#;
    deployment.submit(0, "5c0e7a21d94b36f8", step, facts(20))?;
    let judge = deployment.judge.clone();
    wait_for(Duration::from_secs(10), "the first job has not started", || judge.running() == 12)?;
    deployment.submit(1, "5c0e7a21d94b36f9", step, facts(20))?;
    sleep(Duration::from_secs(1));
    let running = judge.running_cpu();
    deployment.note(&format!("before the disruption: {running} mcores are running"));
    if trouble {
        let owner = deployment.store.leader().ok_or("no owner")?;
        let zone = deployment.instances[owner].zone.clone();
        deployment.cut_zone(&zone, ZONE_CUT);
    }
    sleep(Duration::from_secs(10));
    Ok(!deployment.judge.is_broken())
}
