use std::time::{Duration, UNIX_EPOCH};

use cassiafold_fleet::decision::Inputs;
use cassiafold_fleet::explain::{BlockedStep, Fact};
use cassiafold_fleet::{Decision, FleetCode, FleetEvent, Refusal};

use crate::source::Explanation;

#[test]
fn explanation_keeps_code_numbers_and_inputs() {
    let budget = Inputs::Budget { available: 9, floor: 8, reserve: 1, domain: None };
    let refusal = Refusal { code: FleetCode::BudgetShort, inputs: budget };
    let explanation = cassiafold_fleet::Explanation {
        facts: vec![Fact { name: "pool", value: "portal".into() }],
        blocked_steps: vec![BlockedStep { step: "maintenance", refusal }],
        decisions: vec![Decision {
            at: UNIX_EPOCH + Duration::from_millis(1_500),
            event: FleetEvent::MoveStarted,
            instance: Some("i1".into()),
            pool: None,
            wave: None,
            inputs: Inputs::None,
        }],
    };
    let json = serde_json::to_string_pretty(&Explanation::from(explanation)).unwrap();
    expect_test::expect![[r#"
        {
          "facts": [
            {
              "name": "pool",
              "value": "portal"
            }
          ],
          "why_not": [
            {
              "step": "maintenance",
              "reason": {
                "code": 418,
                "meaning": "the availability budget does not allow it"
              },
              "inputs": {
                "available": "9",
                "floor": "8",
                "reserve": "1"
              }
            }
          ],
          "decisions": [
            {
              "unix_ms": 1500,
              "event": 1407,
              "message": "move started: draining the instance",
              "instance": "i1",
              "pool": null,
              "wave": null,
              "inputs": {}
            }
          ]
        }"#]]
    .assert_eq(&json);
}
