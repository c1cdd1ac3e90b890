use std::time::Duration;

use super::report;
use crate::document::Symptom;
use crate::history::History;
use crate::tests::fixture::{Fixture, SMALL, monday};
use crate::timeline::{SAMPLE_INTERVAL, SAMPLES_MAX, Timeline};

fn run_two_days() -> (Fixture, Timeline, History) {
    let mut fixture = Fixture::with_wave(&SMALL);
    let mut timeline = Timeline::default();
    let mut history = History::default();
    for minute in 0..3_000_u64 {
        if minute == 120 {
            fixture.observations.symptoms.clear();
        }
        if minute == 100 {
            for id in ["s0-1", "s0-4", "s1-7"] {
                fixture.fail(id, Symptom::Hanging);
                fixture.domains.record_failure(&id.into(), fixture.now, &fixture.listed);
            }
        }
        fixture.now = monday() + Duration::from_secs(minute * 60);
        fixture.domains.advance(fixture.now, &fixture.listed);
        let plan = fixture.round();
        fixture.complete_requests();
        timeline.record_round(&fixture.view(), &fixture.policy, &plan);
        history.extend(plan.decisions);
    }
    (fixture, timeline, history)
}

#[test]
fn page_shows_pools_budgets_waves_moves_and_domains() {
    let (fixture, timeline, history) = run_two_days();
    let page = report(&timeline, &fixture.domains, &history).expect("the charts can be drawn");
    for text in ["Budgets:", "Pools:", "Waves:", "Moves,", "learned-1", "s0-1, s0-4, s1-7", "1405"]
    {
        assert!(page.contains(text), "{text} is missing");
    }
    assert_eq!(page.matches("<svg").count(), 5);
    assert!(page.matches("<polyline").count() > 2 + 3 + 1 + 3);
}

#[test]
fn empty_fleet_has_a_page() {
    let fixture = Fixture::new(&SMALL);
    let page = report(&Timeline::default(), &fixture.domains, &History::default());
    assert_eq!(page.map(|page| page.matches("<svg").count()), Ok(5));
}

#[test]
fn ids_are_escaped() {
    assert_eq!(super::escape("<a&\">"), "&lt;a&amp;&quot;&gt;");
}

#[test]
fn samples_are_bounded_and_keep_the_lowest_margin_of_their_interval() {
    let (_, timeline, _) = run_two_days();
    assert_eq!(timeline.samples.len(), SAMPLES_MAX);
    let span = timeline.samples[1].at_unix_s - timeline.samples[0].at_unix_s;
    assert_eq!(span, SAMPLE_INTERVAL.as_secs());
    let mut fixture = Fixture::new(&SMALL);
    let mut timeline = Timeline::default();
    let mut record = |fixture: &mut Fixture| {
        let plan = fixture.round_after(Duration::from_secs(60));
        timeline.record_round(&fixture.view(), &fixture.policy, &plan);
        timeline.samples[0].services["s0"].available
    };
    let before = record(&mut fixture);
    fixture.fail("s0-0", Symptom::Hanging);
    let during = record(&mut fixture);
    fixture.observations.symptoms.clear();
    let after = record(&mut fixture);
    assert_eq!((before, during, after), (9, 8, 8));
}
