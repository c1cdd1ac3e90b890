use cassiafold_config::Floor;

use super::*;

fn service() -> Service {
    Service {
        open: false,
        floor: Floor::Share(0.5),
        slots_per_instance: 8,
        connections_per_instance: 64,
        queue_length_max: 10,
        deadline_default: Duration::from_secs(30),
        deadline_max: Duration::from_secs(600),
        body_max_bytes: 1_000,
    }
}

fn headers(name: &'static str, values: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(name, value.parse().unwrap());
    }
    headers
}

macro_rules! deadline_cases {
    ($($name:ident: $values:expr => $expected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let result = deadline(&headers("x-deadline-ms", &$values), &service());
                assert_eq!(result.ok(), $expected.map(Duration::from_millis));
            }
        )+
    };
}

deadline_cases! {
    absent_deadline_is_the_default: [] => Some(30_000);
    smallest_deadline: ["1"] => Some(1);
    largest_deadline: ["600000"] => Some(600_000);
    deadline_above_the_largest: ["600001"] => None::<u64>;
    zero_deadline: ["0"] => None::<u64>;
    negative_deadline: ["-5"] => None::<u64>;
    fractional_deadline: ["1.5"] => None::<u64>;
    signed_deadline: ["+5"] => None::<u64>;
    empty_deadline: [""] => None::<u64>;
    spaced_deadline: ["1 0"] => None::<u64>;
    textual_deadline: ["soon"] => None::<u64>;
    overflowing_deadline: ["99999999999999999999999999"] => None::<u64>;
    two_deadlines: ["5", "6"] => None::<u64>;
}

macro_rules! request_id_cases {
    ($($name:ident: $values:expr => $well_formed:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let result = request_id(&headers("x-request-id", &$values));
                assert_eq!(result.is_ok(), $well_formed);
            }
        )+
    };
}

request_id_cases! {
    plain_id: ["order-7_a.b:c"] => true;
    longest_id: [&"x".repeat(128)] => true;
    too_long_id: [&"x".repeat(129)] => false;
    empty_id: [""] => false;
    id_with_a_space: ["a b"] => false;
    id_with_a_quote: ["a\"b"] => false;
    two_ids: ["a", "b"] => false;
}

#[test]
fn generated_ids_differ_and_are_well_formed() {
    let (one, other) = (generate_request_id(), generate_request_id());
    assert_ne!(one, other);
    assert!(request_id(&headers("x-request-id", &[&one])).is_ok());
}

macro_rules! uri_cases {
    ($($name:ident: $uri:literal => $expected:literal;)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(forward_uri(&$uri.parse().unwrap()).unwrap(), $expected);
            }
        )+
    };
}

uri_cases! {
    bare_queue: "/queues/portal" => "/";
    queue_with_slash: "/queues/portal/" => "/";
    path_and_query: "/queues/portal/a/b?c=d" => "/a/b?c=d";
    query_without_path: "/queues/portal?c=d" => "/?c=d";
    escapes_stay: "/queues/portal/a%2Fb%20c" => "/a%2Fb%20c";
    doubled_slash_stays: "/queues/portal//a" => "//a";
}

#[test]
fn hop_by_hop_headers_and_the_key_are_not_forwarded() {
    let mut map = headers("connection", &["x-private, keep-alive"]);
    for (name, value) in [
        ("x-private", "1"),
        ("keep-alive", "timeout=5"),
        ("te", "trailers"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "websocket"),
        ("proxy-authorization", "secret"),
        ("authorization", "Bearer secret"),
        ("accept", "text/plain"),
        ("idempotency-key", "7"),
    ] {
        map.insert(name, value.parse().unwrap());
    }
    forward_headers(&mut map, &"r1".into(), Duration::from_millis(250));
    let mut names: Vec<&str> = map.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["accept", "idempotency-key", "te", "x-deadline-ms", "x-request-id"]);
    assert_eq!(map["x-deadline-ms"], "250");
}
