//! Each fault of a backend server, for an idempotent request and for one that is not.

mod support;

use http::Method;
use support::faults::{CASES, run};

async fn check(name: &str) {
    let case = CASES.iter().find(|case| case.name == name).expect("the case exists");
    for (method, (runs, response)) in [(Method::POST, case.post), (Method::GET, case.get)] {
        let outcome = run(case, method.clone()).await;
        assert_eq!((outcome.runs, outcome.response.as_str()), (runs, response), "{method} {name}");
        assert!(outcome.is_consistent, "{method} {name}");
    }
}

macro_rules! fault_cases {
    ($($test:ident: $name:literal;)+) => {
        $(
            #[tokio::test]
            async fn $test() {
                check($name).await;
            }
        )+

        #[test]
        fn every_case_has_a_test() {
            let tested = [$($name),+];
            assert!(CASES.iter().map(|case| case.name).eq(tested));
        }
    };
}

fault_cases! {
    no_fault: "none";
    refused_by_one: "refused by one";
    refused_by_all: "refused by all";
    reset_while_unused: "reset while unused";
    reset_during_the_write: "reset during the write";
    reset_after_the_run: "reset after the run";
    cut_in_the_headers: "cut in the headers";
    cut_in_a_short_body: "cut in a short body";
    cut_in_a_long_body: "cut in a long body";
    cut_in_a_chunked_body: "cut in a chunked body";
    silence_before_the_run: "silence before the run";
    silence_after_the_run: "silence after the run";
    proved_connection_silent: "proved connection silent";
    old_connection_silent: "old connection silent";
    slow: "slow";
    late: "late";
    crossed_id: "crossed id";
    end_not_marked: "end not marked";
    refused_as_not_run: "refused as not run";
    refused_by_all_as_not_run: "refused by all as not run";
    reset_after_the_run_then_refused: "reset after the run, then refused";
    server_error: "server error";
}
