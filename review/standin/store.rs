//! The platform's store: keys with revisions, transactions, watches and leases.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, respond, serve};
use crate::json::{Json, num, obj, text};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;
const TXN_ENTRIES_MAX: usize = 32;

/// How the store treats one machine of the system.
pub const SERVED: u8 = 0;
/// It gives no answer.
pub const SILENT: u8 = 1;

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Contents {
    rev: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// The door through which the last conditional write came.
    last_writer: Option<usize>,
}

#[derive(Default)]
pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
}

/// The address at which one machine of the system reaches the store.
pub struct Door {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Door {
    pub fn set(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    obj(&[
        ("Key", text(key)),
        ("Value", text(&*item.value)),
        ("Rev", num(item.rev as i64)),
        ("CreateRevision", num(item.created as i64)),
        ("Lease", num(item.lease as i64)),
    ])
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.lock().rev = 100;
        let expiring = Arc::clone(&store);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(10));
            expiring.expire_leases();
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap()
    }

    /// Opens an address for one machine of the system.
    pub fn open_door(self: &Arc<Self>, number: usize) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let mode = Arc::new(AtomicU8::new(SERVED));
        let (store, known_mode) = (Arc::clone(self), Arc::clone(&mode));
        serve(listener, move |request| {
            let is_silent = || known_mode.load(Ordering::SeqCst) == SILENT;
            if is_silent() {
                return None;
            }
            thread::sleep(ANSWER_TIME);
            let response = store.handle(request, number);
            if is_silent() { None } else { response }
        });
        Door { address, mode }
    }

    /// The door through which the last conditional write came.
    pub fn last_writer(&self) -> Option<usize> {
        self.lock().last_writer
    }

    /// Writes for the operator or a minion; the return is the acknowledgement.
    pub fn put(&self, key: &str, body: &str) {
        let mut contents = self.lock();
        contents.rev += 1;
        let value = encode_base64(body.as_bytes());
        contents.put(key, value, 0);
        drop(contents);
        self.changed.notify_all();
    }

    /// Removes a key for the operator or a minion.
    pub fn delete(&self, key: &str) {
        let mut contents = self.lock();
        if contents.items.contains_key(key) {
            contents.rev += 1;
            contents.remove(key);
        }
        drop(contents);
        self.changed.notify_all();
    }

    fn expire_leases(&self) {
        let mut contents = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = contents
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            contents.end_lease(lease);
        }
        drop(contents);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request, door: usize) -> Option<Response> {
        match (&*request.method, &*request.path) {
            ("GET", "/kv-key") => self.get(request),
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(request, door),
            ("POST", "/kv-lease") => self.grant(request),
            ("POST", path) if path.starts_with("/kv-keep/") => self.keep(path),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path.rsplit('/').next()?.parse().unwrap_or(0);
                self.lock().end_lease(lease);
                self.changed.notify_all();
                respond(200, "{}")
            }
            _ => respond(404, ""),
        }
    }

    fn get(&self, request: &Request) -> Option<Response> {
        let contents = self.lock();
        let key = request.param("Key");
        let Some(item) = contents.items.get(key) else { return respond(404, "") };
        let Json::Obj(mut fields) = item_json(key, item) else { return None };
        fields.push(("CurrentRev".into(), num(contents.rev as i64)));
        respond(200, Json::Obj(fields).print())
    }

    fn range(&self, request: &Request) -> Option<Response> {
        let contents = self.lock();
        let (prefix, after) = (request.param("Prefix"), request.param("After"));
        let matching = contents.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let mut items: Vec<Json> = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, item) in matching {
            if items.len() >= PAGE_ITEMS || bytes > 1_000_000 {
                more = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_json(key, item));
        }
        let body = obj(&[
            ("items", Json::Arr(items)),
            ("MorePages", Json::Bool(more)),
            ("CurrentRev", num(contents.rev as i64)),
        ]);
        respond(200, body.print())
    }

    fn watch(&self, request: &Request) -> Option<Response> {
        let after: u64 = request.param("After").parse().unwrap_or(0);
        let wait: u64 = request.param("WaitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let prefix = request.param("Prefix");
        let mut contents = self.lock();
        loop {
            let new = contents.events.iter().rev().take_while(|(rev, _, _)| *rev > after);
            let mut events: Vec<Json> = new
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(rev, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => obj(&[
                        ("Key", text(&**key)),
                        ("Rev", num(*rev as i64)),
                        ("Deleted", Json::Bool(true)),
                    ]),
                })
                .collect();
            events.reverse();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let rev = num(contents.rev as i64);
                let body = obj(&[("events", Json::Arr(events)), ("CurrentRev", rev)]);
                return respond(200, body.print());
            }
            contents = self.changed.wait_timeout(contents, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request, door: usize) -> Option<Response> {
        let Some(body) = Json::parse(&request.body) else { return respond(400, "") };
        let (expected, puts, remove) = (body.arr("Expected"), body.arr("Puts"), body.arr("Remove"));
        if expected.len() + puts.len() + remove.len() > TXN_ENTRIES_MAX {
            return respond(400, "");
        }
        let reserved = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if puts.iter().any(|put| reserved(put.str("Key")))
            || remove.iter().any(|key| reserved(key.text()))
        {
            return respond(403, "");
        }
        let mut contents = self.lock();
        let rev_of = |key: &str| contents.items.get(key).map_or(0, |item| item.rev);
        if expected.iter().any(|row| rev_of(row.str("Key")) != row.u64("Rev")) {
            let current = expected.iter().filter_map(|row| {
                let key = row.str("Key");
                contents.items.get(key).map(|item| item_json(key, item))
            });
            let body = obj(&[("items", Json::Arr(current.collect()))]);
            return respond(412, body.print());
        }
        let is_lost = |lease: u64| lease != 0 && !contents.leases.contains_key(&lease);
        if puts.iter().any(|put| is_lost(put.u64("Lease"))) {
            return respond(404, "");
        }
        contents.rev += 1;
        for put in puts {
            contents.put(put.str("Key"), put.str("Value").to_string(), put.u64("Lease"));
        }
        for key in remove {
            contents.remove(key.text());
        }
        contents.last_writer = Some(door);
        let body = obj(&[("Rev", num(contents.rev as i64))]);
        drop(contents);
        self.changed.notify_all();
        respond(200, body.print())
    }

    fn grant(&self, request: &Request) -> Option<Response> {
        let Some(body) = Json::parse(&request.body) else { return respond(400, "") };
        let ttl = Duration::from_millis(body.u64("TtlMs").clamp(1_000, 600_000));
        let mut contents = self.lock();
        contents.next_lease += 1;
        let lease = 77_000 + contents.next_lease;
        contents.leases.insert(lease, (ttl, Instant::now() + ttl));
        let ttl_ms = num(ttl.as_millis() as i64);
        respond(200, obj(&[("Lease", num(lease as i64)), ("TtlMs", ttl_ms)]).print())
    }

    fn keep(&self, path: &str) -> Option<Response> {
        let lease: u64 = path.rsplit('/').next()?.parse().unwrap_or(0);
        let mut contents = self.lock();
        let Some((ttl, until)) = contents.leases.get_mut(&lease) else { return respond(404, "") };
        *until = Instant::now() + *ttl;
        let ttl_ms = num(ttl.as_millis() as i64);
        respond(200, obj(&[("TtlMs", ttl_ms)]).print())
    }
}

impl Contents {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item { value, rev: self.rev, created, lease };
        self.events.push((self.rev, key.into(), Some(item.clone())));
        self.items.insert(key.into(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.rev, key.into(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let items = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.rev += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            match position <= chunk.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * position) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
