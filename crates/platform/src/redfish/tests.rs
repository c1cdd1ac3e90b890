use cassiafold_config::InstanceId;
use http::StatusCode;

use super::{reset_request, response_result};
use crate::instances::ControlError;

#[test]
fn a_reboot_is_a_graceful_restart() {
    let request = reset_request("portal-0", "wave-7/3").unwrap();
    let path = "/redfish/v1/Systems/portal-0/Actions/ComputerSystem.Reset";
    assert_eq!(request.uri().path(), path);
    assert_eq!(request.headers()["x-request-id"], "wave-7/3");
    assert_eq!(&request.body()[..], br#"{"ResetType":"GracefulRestart"}"#);
}

#[test]
fn ids_that_could_alter_the_request_are_refused() {
    for instance in ["", "..", "a/b", "a b", "a?b", "a%2fb", "ü"] {
        let id = InstanceId::from(instance);
        assert!(matches!(reset_request(&id, "1"), Err(ControlError::Unavailable(_))), "{instance}");
    }
    assert!(matches!(reset_request("a", "line\r\nbreak"), Err(ControlError::Unavailable(_))));
}

#[test]
fn only_refused_requests_count_as_without_effect() {
    for code in 100..600u16 {
        let result = response_result(StatusCode::from_u16(code).unwrap());
        match code {
            200..300 => assert_eq!(result, Ok(())),
            400..500 | 503 => assert!(matches!(result, Err(ControlError::Unavailable(_)))),
            _ => assert!(matches!(result, Err(ControlError::OutcomeUnknown(_)))),
        }
    }
}
