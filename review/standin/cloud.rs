//! The platform's list of machines and the orders to them. Fence numbers aren't checked
//! (`RequireFence` false).

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, respond, serve};
use crate::json::{Json, obj, text};
use crate::minion::Minion;

/// `MoveS` of the settings.
const MOVE: Duration = Duration::from_millis(1_500);

struct Machine {
    minion: Arc<Minion>,
    pool: String,
    /// Until when it is moving.
    moving: Option<Instant>,
    has_left: bool,
}

/// An order as it reached the platform.
#[derive(Clone)]
pub struct Order {
    pub at: Instant,
    pub machine: String,
    pub holder: String,
    pub fence: u64,
    pub status: u16,
}

pub struct Cloud {
    machines: Mutex<Vec<Machine>>,
    orders: Mutex<Vec<Order>>,
    /// Machines for which a cut has held up an order.
    held_up: Mutex<Vec<String>>,
}

/// The way of one machine of the system to the platform's machines.
pub struct CloudDoor {
    pub address: SocketAddr,
    /// Whether the way is cut as soon as an order is on it.
    pub cuts_at_order: Arc<AtomicBool>,
    /// Whether it is cut: what is on it is held up.
    pub is_cut: Arc<AtomicBool>,
}

impl Cloud {
    pub fn new(minions: &[Arc<Minion>]) -> Arc<Self> {
        let machines = minions.iter().map(|minion| Machine {
            minion: Arc::clone(minion),
            pool: minion.settings.service.clone(),
            moving: None,
            has_left: false,
        });
        Arc::new(Self {
            machines: Mutex::new(machines.collect()),
            orders: Mutex::default(),
            held_up: Mutex::default(),
        })
    }

    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().unwrap().clone()
    }

    /// Whether a machine has got an order while a cut holds up another one.
    pub fn has_overtaking_order(&self) -> bool {
        let held_up = self.held_up.lock().unwrap();
        self.orders.lock().unwrap().iter().any(|order| held_up.contains(&order.machine))
    }

    pub fn open_door(self: &Arc<Self>) -> CloudDoor {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let (cuts_at_order, is_cut) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let door =
            CloudDoor { address, cuts_at_order: cuts_at_order.clone(), is_cut: is_cut.clone() };
        let cloud = Arc::clone(self);
        serve(listener, move |request| {
            if request.method == "POST" && cuts_at_order.load(Ordering::SeqCst) {
                is_cut.store(true, Ordering::SeqCst);
            }
            let was_cut = is_cut.load(Ordering::SeqCst);
            if was_cut && request.method == "POST" {
                let machine = Json::parse(&request.body).map(|body| body.str("Machine").to_string());
                cloud.held_up.lock().unwrap().extend(machine);
            }
            while is_cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(2));
            }
            // Bytes that were held up are lost if their sender has reset the connection.
            if was_cut && request.is_abandoned() {
                return None;
            }
            cloud.handle(request)
        });
        door
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        if request.path == "/machines" {
            return respond(200, self.list());
        }
        let body = Json::parse(&request.body)?;
        let machine = body.str("Machine").to_string();
        let status = match &*request.path {
            "/machine-move" => self.move_machine(&machine, body.str("Pool")),
            _ => 400,
        };
        let fence = request.header("X-Fence-Token").parse().unwrap_or(0);
        let holder = request.header("X-Holder").to_string();
        let order = Order { at: Instant::now(), machine, holder, fence, status };
        self.orders.lock().unwrap().push(order);
        respond(status, if status == 409 { r#"{"Reason":"busy"}"# } else { "{}" })
    }

    fn list(&self) -> String {
        let mut machines = self.machines.lock().unwrap();
        let rows = machines.iter_mut().map(|machine| {
            machine.moving = machine.moving.filter(|until| *until > Instant::now());
            let state = if machine.moving.is_some() { "moving" } else { "up" };
            let Json::Obj(fields) = machine.minion.machine() else { return Json::Null };
            // A machine of the spare pool is off: it has no minion.
            let kept = fields.into_iter().filter(|(name, _)| name != "Id" || !machine.has_left);
            let changed = kept.map(|(name, value)| match &*name {
                "Pool" => (name, text(&*machine.pool)),
                "State" => (name, text(state)),
                _ => (name, value),
            });
            Json::Obj(changed.collect())
        });
        let rows = rows.collect();
        obj(&[("Machines", Json::Arr(rows)), ("NextToken", Json::Null)]).print()
    }

    fn move_machine(&self, id: &str, pool: &str) -> u16 {
        let mut machines = self.machines.lock().unwrap();
        let found = machines.iter_mut().find(|machine| machine.minion.settings.machine == id);
        let Some(machine) = found else { return 400 };
        if machine.pool == pool {
            return 200;
        }
        if machine.moving.is_some_and(|until| until > Instant::now()) {
            return 409;
        }
        machine.pool = pool.into();
        machine.moving = Some(Instant::now() + MOVE);
        machine.has_left = true;
        machine.minion.leave();
        200
    }
}
