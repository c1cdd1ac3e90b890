use std::time::Duration;

use cassiafold_config::InstanceState;
use cassiafold_platform::{ControlError, InstanceControl, InstanceList, ListedInstance};
use tokio::time::advance;

use super::{MemoryInstances, RebootFault};

const LAG: Duration = Duration::from_secs(5);

fn instance(id: &str) -> ListedInstance {
    ListedInstance {
        id: id.into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".into(),
        rack: "a-1".into(),
        state: InstanceState::Live,
    }
}

#[tokio::test(start_paused = true)]
async fn changes_appear_after_the_lag() {
    let instances = MemoryInstances::default();
    instances.set_lag(LAG);
    instances.put(instance("one"));
    advance(LAG / 2).await;
    instances.put(instance("two"));
    let mut seen = Vec::new();
    for _ in 0..3 {
        seen.push(instances.list().await.unwrap().len());
        advance(LAG / 2).await;
    }
    assert_eq!(seen, [0, 1, 2]);
}

#[tokio::test(start_paused = true)]
async fn without_a_lag_changes_appear_immediately() {
    let instances = MemoryInstances::default();
    instances.put(instance("one"));
    instances.set_state(&"one".into(), InstanceState::Leaving);
    assert_eq!(instances.list().await.unwrap()[0].state, InstanceState::Leaving);
    instances.set_list_outage(true);
    assert!(instances.list().await.is_err());
}

macro_rules! reboot_faults {
    ($($name:ident: $fault:expr => $error:pat, reboots: $reboots:literal;)+) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let instances = MemoryInstances::default();
            instances.fail_reboots(1, $fault);
            let first = instances.reboot(&"one".into(), "r1").await;
            assert!(matches!(first, Err($error)), "{first:?}");
            assert_eq!(instances.reboot_count("one"), $reboots);
            assert_eq!(instances.reboot(&"one".into(), "r1").await, Ok(()));
            assert_eq!(instances.reboot_count("one"), 1);
            assert_eq!(instances.reboot(&"one".into(), "r2").await, Ok(()));
            assert_eq!(instances.reboot_count("one"), 2);
        }
    )+};
}

reboot_faults! {
    a_rejected_reboot_has_no_effect:
        RebootFault::Refused => ControlError::Unavailable(_), reboots: 0;
    a_reboot_with_a_lost_response_takes_effect:
        RebootFault::LostAnswer => ControlError::OutcomeUnknown(_), reboots: 1;
    a_reboot_with_a_lost_request_has_no_effect:
        RebootFault::LostRequest => ControlError::OutcomeUnknown(_), reboots: 0;
}
