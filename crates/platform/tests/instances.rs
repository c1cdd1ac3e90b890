//! Tests of the clients of the instance list and of the instance control against their stand-ins.

#![allow(clippy::unwrap_used)]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use cassiafold_config::{InstanceId, InstanceState};
use cassiafold_platform::{
    ControlError, HttpInstanceControl, HttpInstanceList, InstanceControl, InstanceList, ListError,
    ListedInstance,
};
use cassiafold_standin::{ControlServer, ListServer, MemoryInstances, RebootFault};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn the_list_is_read_over_http() {
    let instances = MemoryInstances::default();
    for (index, state) in [InstanceState::Live, InstanceState::Leaving].into_iter().enumerate() {
        instances.put(ListedInstance {
            id: format!("portal-{index}").into(),
            address: ([127, 0, 0, 1], 8_000 + index as u16).into(),
            zone: "a".into(),
            rack: "a-1".into(),
            state,
        });
    }
    let server = ListServer::start(LOOPBACK, instances.clone()).await.unwrap();
    let client = HttpInstanceList::new(server.address(), "entry", TIMEOUT);
    assert_eq!(client.list().await, instances.list().await);
    instances.set_list_outage(true);
    assert!(matches!(client.list().await, Err(ListError::Unavailable(_))));
    server.close().await;
    assert!(matches!(client.list().await, Err(ListError::Unavailable(_))));
}

#[tokio::test]
async fn reboots_are_idempotent_by_request_id_under_every_fault() {
    let instances = MemoryInstances::default();
    let server = ControlServer::start(LOOPBACK, instances.clone()).await.unwrap();
    let client = HttpInstanceControl::new(server.address(), "entry", TIMEOUT);
    let id = InstanceId::from("portal-0");
    let faults = [RebootFault::LostAnswer, RebootFault::LostRequest, RebootFault::Refused];
    for (index, fault) in faults.into_iter().enumerate() {
        let request_id = format!("wave-1/{index}");
        instances.fail_reboots(1, fault);
        let first = client.reboot(&id, &request_id).await;
        match fault {
            RebootFault::Refused => {
                assert!(matches!(first, Err(ControlError::Unavailable(_))), "{first:?}");
            }
            _ => assert!(matches!(first, Err(ControlError::OutcomeUnknown(_))), "{first:?}"),
        }
        for _ in 0..2 {
            assert_eq!(client.reboot(&id, &request_id).await, Ok(()));
        }
        assert_eq!(instances.reboot_count("portal-0"), index + 1);
    }
    server.close().await;
    let refused = client.reboot(&id, "wave-1/9").await;
    assert!(matches!(refused, Err(ControlError::Unavailable(_))), "{refused:?}");
}

#[tokio::test]
async fn a_changed_list_is_read_again() {
    let instances = MemoryInstances::default();
    let server = ListServer::start(LOOPBACK, instances.clone()).await.unwrap();
    let client = HttpInstanceList::new(server.address(), "entry", TIMEOUT);
    for index in 0..3 {
        instances.put(ListedInstance {
            id: format!("portal-{index}").into(),
            address: ([127, 0, 0, 1], 8_000 + index).into(),
            zone: "a".into(),
            rack: "a-1".into(),
            state: InstanceState::Live,
        });
        for _ in 0..2 {
            assert_eq!(client.list().await, instances.list().await);
        }
    }
}

/// Responds to the first request with a list, and with 304 to later ones that contain its entity
/// tag.
async fn tagged_list(listener: TcpListener) {
    const BODY: &str = r#"{"items":[]}"#;
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buffer = vec![0; 4_096];
    for number in 0.. {
        let length = stream.read(&mut buffer).await.unwrap();
        let head = String::from_utf8_lossy(&buffer[..length]).to_ascii_lowercase();
        let response = match (number, head.contains("if-none-match: \"one\"")) {
            (0, false) => format!(
                "HTTP/1.1 200 OK\r\netag: \"one\"\r\ncontent-length: {}\r\n\r\n{BODY}",
                BODY.len()
            ),
            (_, true) => "HTTP/1.1 304 Not Modified\r\netag: \"one\"\r\n\r\n".to_owned(),
            _ => "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n".to_owned(),
        };
        stream.write_all(response.as_bytes()).await.unwrap();
    }
}

#[tokio::test]
async fn an_unchanged_list_is_not_sent_again() {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let client = HttpInstanceList::new(listener.local_addr().unwrap(), "entry", TIMEOUT);
    let server = tokio::spawn(tagged_list(listener));
    for _ in 0..3 {
        assert_eq!(client.list().await, Ok(Vec::new()));
    }
    server.abort();
}
