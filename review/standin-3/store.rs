//! Stand-in of the platform's store: items, leases, watches and transactions.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response};
use crate::json::{Json, parse, quote};

/// A page ends with this many items, or with this many bytes.
const ITEMS_PER_PAGE: usize = 500;
const BYTES_PER_PAGE: usize = 1_000_000;

#[derive(Clone)]
struct Item {
    /// Base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: revision, key and the item, or none if it was removed.
    changes: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, Lease>,
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn new() -> Self {
        let state = State { revision: 100, ..State::default() };
        let store = Self(Arc::new((Mutex::new(state), Condvar::new())));
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                expiring.end_leases();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Writes an item, as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, encode(value.as_bytes()), 0);
        self.0.1.notify_all();
    }

    fn end_leases(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        if !ended.is_empty() {
            ended.into_iter().for_each(|id| state.end_lease(id));
            self.0.1.notify_all();
        }
    }

    pub fn handle(&self, request: &Request) -> Response {
        match (&*request.method, &*request.path) {
            ("GET", "/kv-key") => self.get(request.parameter("Key")),
            ("GET", "/kv-range") => self.list(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(&parse(&request.body)),
            ("POST", "/kv-lease") => self.grant(parse(&request.body).get("TtlMs").number()),
            ("POST", path) if path.starts_with("/kv-keep/") => self.keep(id_of(path)),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                self.lock().end_lease(id_of(path));
                self.0.1.notify_all();
                Response::new(200, "{}")
            }
            _ => Response::new(404, "{}"),
        }
    }

    fn get(&self, key: &str) -> Response {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => Response::new(
                200,
                format!("{{{},\"CurrentRev\":{}}}", fields(key, item), state.revision),
            ),
            None => Response::new(404, "{}"),
        }
    }

    fn list(&self, request: &Request) -> Response {
        let (prefix, after) = (request.parameter("Prefix"), request.parameter("After"));
        let state = self.lock();
        let matching = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut rest = matching.filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let (mut page, mut bytes) = (Vec::new(), 0);
        while page.len() < ITEMS_PER_PAGE
            && bytes < BYTES_PER_PAGE
            && let Some((key, item)) = rest.next()
        {
            let item = format!("{{{}}}", fields(key, item));
            bytes += item.len();
            page.push(item);
        }
        let more = rest.next().is_some();
        Response::new(
            200,
            format!(
                "{{\"items\":[{}],\"MorePages\":{more},\"CurrentRev\":{}}}",
                page.join(","),
                state.revision
            ),
        )
    }

    fn watch(&self, request: &Request) -> Response {
        let after: u64 = request.parameter("After").parse().unwrap_or(0);
        let wait: u64 = request.parameter("WaitMs").parse().unwrap_or(0);
        let prefix = request.parameter("Prefix");
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let from = state.changes.partition_point(|(revision, ..)| *revision <= after);
            let new = state.changes[from..].iter().filter(|(_, key, _)| key.starts_with(prefix));
            let events: Vec<String> = new
                .map(|(revision, key, item)| match item {
                    Some(item) => format!("{{{}}}", fields(key, item)),
                    None => {
                        format!("{{\"Key\":{},\"Rev\":{revision},\"Deleted\":true}}", quote(key))
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let current = state.revision;
                let events = events.join(",");
                return Response::new(
                    200,
                    format!("{{\"events\":[{events}],\"CurrentRev\":{current}}}"),
                );
            }
            state = match self.0.1.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(error) => error.into_inner().0,
            };
        }
    }

    fn transact(&self, body: &Json) -> Response {
        let mut state = self.lock();
        let expected = body.get("Expected").list();
        let revision_of =
            |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let holds = expected
            .iter()
            .all(|row| revision_of(&state, row.get("Key").text()) == row.get("Rev").number());
        if !holds {
            let items = expected.iter().map(|row| {
                let key = row.get("Key").text();
                match state.items.get(key) {
                    Some(item) => format!("{{{}}}", fields(key, item)),
                    None => format!("{{\"Key\":{},\"Rev\":0}}", quote(key)),
                }
            });
            let items: Vec<String> = items.collect();
            return Response::new(412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("Puts").list();
        let is_known = |put: &Json| {
            let lease = put.get("Lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !puts.iter().all(is_known) {
            return Response::new(404, "{}");
        }
        state.revision += 1;
        for put in puts {
            let value = put.get("Value").text().to_string();
            state.put(put.get("Key").text(), value, put.get("Lease").number());
        }
        for key in body.get("Remove").list() {
            state.remove(key.text());
        }
        self.0.1.notify_all();
        Response::new(200, format!("{{\"Rev\":{}}}", state.revision))
    }

    fn grant(&self, ttl_ms: u64) -> Response {
        let mut state = self.lock();
        let ttl = Duration::from_millis(ttl_ms.clamp(1_000, 600_000));
        let id = 70_000 + state.leases.len() as u64 + state.revision * 1_000;
        state.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
        Response::new(200, format!("{{\"Lease\":{id},\"TtlMs\":{}}}", ttl.as_millis()))
    }

    fn keep(&self, id: u64) -> Response {
        match self.lock().leases.get_mut(&id) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                Response::new(200, format!("{{\"TtlMs\":{}}}", lease.ttl.as_millis()))
            }
            None => Response::new(404, "{}"),
        }
    }
}

impl State {
    /// Writes an item at the current revision.
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.into(), item.clone());
        self.changes.push((self.revision, key.into(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push((self.revision, key.into(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

fn id_of(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0)
}

fn fields(key: &str, item: &Item) -> String {
    format!(
        "\"Key\":{},\"Value\":\"{}\",\"Rev\":{},\"CreateRevision\":{},\"Lease\":{}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

/// Encodes bytes as standard base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            match position <= chunk.len() {
                true => out.push(char::from(DIGITS[(bits >> (18 - 6 * position) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}
