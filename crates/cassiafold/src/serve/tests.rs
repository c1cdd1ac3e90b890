use std::future::pending;
use std::process::ExitCode;

use tokio::sync::mpsc;

use super::{spawn_listener, wait_for_shutdown};
use crate::error::Error;

async fn panicking_listener() {
    tokio::task::yield_now().await;
    panic!("at a connection");
}

#[tokio::test]
async fn a_listener_that_panics_ends_the_process_with_code_101() {
    let (panic_sender, mut panics) = mpsc::channel(1);
    spawn_listener("callers' listener", pending(), &panic_sender);
    spawn_listener("readiness listener", panicking_listener(), &panic_sender);
    let panicked = wait_for_shutdown(pending::<()>(), &mut panics).await.expect("a panic");
    assert_eq!(panicked.to_string(), "readiness listener panicked: at a connection");
    let code = Error::TaskPanicked(panicked).exit_code();
    assert_eq!(format!("{code:?}"), format!("{:?}", ExitCode::from(101)));
}

#[tokio::test]
async fn a_listener_that_returns_does_not_end_the_process() {
    let (panic_sender, mut panics) = mpsc::channel(1);
    let listener = spawn_listener("metrics listener", async {}, &panic_sender);
    listener.await.expect("the listener");
    assert!(wait_for_shutdown(tokio::task::yield_now(), &mut panics).await.is_none());
}
