use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use crate::code::FleetCode;
use crate::document::{Failure, Symptom};
use crate::explain::wave_status;
use crate::plan::Round;
use crate::tests::fixture::{Fixture, Layout, SMALL, config, monday};
use crate::wave::blackout::{completion_time, in_blackout, time_outside_blackouts};
use crate::wave::{WaveStatus, maintenance_refusal};

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);

fn status(fixture: &Fixture) -> WaveStatus {
    wave_status(&fixture.view(), &fixture.policy, &"w".into()).expect("the wave exists")
}

fn code(fixture: &Fixture, id: &str) -> FleetCode {
    let view = fixture.view();
    let mut round = Round::new(&view, &fixture.policy);
    round.count_budgets();
    maintenance_refusal(&round, &id.into()).code
}

/// Runs rounds until the wave is done; returns the zones in the order of their maintenance.
fn run_wave(fixture: &mut Fixture) -> Vec<std::sync::Arc<str>> {
    let mut zones: Vec<std::sync::Arc<str>> = Vec::new();
    for _ in 0..3_000 {
        fixture.round_after(MINUTE);
        fixture.complete_requests();
        for id in fixture.maintaining() {
            let zone = &fixture.listed[&id].zone;
            if zones.last() != Some(zone) {
                zones.push(zone.clone());
            }
        }
        if status(fixture).done == status(fixture).total {
            return zones;
        }
    }
    panic!("the wave does not end: {:?}", status(fixture));
}

#[test]
fn wave_maintains_every_instance_once_zone_by_zone() {
    let mut fixture = Fixture::with_wave(&SMALL);
    let zones = run_wave(&mut fixture);
    assert_eq!(zones, ["z0".into(), "z1".into(), "z2".into()]);
    let done = status(&fixture);
    assert_eq!((done.done, done.total, done.overdue), (21, 21, 0));
    assert_eq!(code(&fixture, "s0-0"), FleetCode::Maintained);
    fixture.round_after(MINUTE);
    assert!(fixture.maintaining().is_empty());
}

#[test]
fn wave_skips_a_zone_out_of_service_and_maintains_it_later() {
    let mut fixture = Fixture::with_wave(&Layout { floor_share: 0.1, ..SMALL });
    fixture.config.zones.get_mut("z0").expect("the zone exists").out = true;
    for _ in 0..300 {
        fixture.round_after(MINUTE);
        fixture.complete_requests();
    }
    let in_z0 = fixture.listed.values().filter(|instance| &*instance.zone == "z0").count();
    assert_eq!(status(&fixture).done, status(&fixture).total - in_z0);
    assert_eq!(code(&fixture, "s0-0"), FleetCode::ZoneOut);
    fixture.config.zones.get_mut("z0").expect("the zone exists").out = false;
    run_wave(&mut fixture);
}

macro_rules! blocked {
    ($($name:ident: $code:ident, $id:literal, $change:expr;)+) => {$(
        #[test]
        fn $name() {
            let mut fixture = Fixture::with_wave(&SMALL);
            let change: fn(&mut Fixture) = $change;
            change(&mut fixture);
            assert_eq!(code(&fixture, $id), FleetCode::$code);
            fixture.round();
            assert!(!fixture.maintaining().contains(&$id.into()));
        }
    )+};
}

blocked! {
    paused_by_operators: WavePaused, "s0-0", |fixture| {
        fixture.config.waves.get_mut("w").expect("the wave exists").paused = true;
    };
    before_its_start: WaveNotStarted, "s0-0", |fixture| fixture.now -= MINUTE;
    zone_out: ZoneOut, "s0-0", |fixture| {
        fixture.config.zones.get_mut("z0").expect("the zone exists").out = true;
    };
    zone_silent: ZoneSilent, "s0-0", |fixture| {
        fixture.observations.unconfirmed_zones.insert("z0".into());
    };
    failing: Failing, "s0-0", |fixture| {
        fixture.fail("s0-0", Symptom::Hanging);
        fixture.round();
    };
    recent_failures: PausedByFailures, "s0-0", |fixture| {
        fixture.fail("s0-1", Symptom::Hanging);
        fixture.fail("s1-1", Symptom::Hanging);
        fixture.config.waves.get_mut("w").expect("the wave exists").paused = true;
        fixture.round();
        fixture.config.waves.get_mut("w").expect("the wave exists").paused = false;
    };
    budget_short: BudgetShort, "s0-0", |fixture| {
        let service = fixture.config.services.get_mut("s0").expect("the service exists");
        service.floor = cassiafold_config::Floor::Count(9);
    };
    demand_high: DemandHigh, "s0-0", |fixture| {
        fixture.policy.spare_reserved = 3;
        fixture.demand("s0", 9 * 8);
    };
    later_zone: EarlierZone, "s0-1", |_| {};
}

#[test]
fn instances_that_do_not_return_pause_the_wave_until_they_are_replaced() {
    let mut fixture = Fixture::with_wave(&SMALL);
    let failure = Failure {
        since: monday(),
        symptom: Symptom::NotReturned,
        attempts: 1,
        retry_at: monday() + 24 * HOUR,
    };
    for id in ["s0-0", "s1-0"] {
        let placement = fixture.document.placements.get_mut(id).expect("placed");
        placement.failure = Some(failure.clone());
    }
    assert_eq!(status(&fixture).paused, Some(FleetCode::PausedByWave));
    for id in ["s0-0", "s1-0"] {
        let placement = fixture.document.placements.get_mut(id).expect("placed");
        placement.failure = Some(Failure { attempts: 3, ..failure.clone() });
    }
    assert_eq!(status(&fixture).paused, None);
}

#[test]
fn wave_resumes_when_failures_have_ended() {
    let mut fixture = Fixture::with_wave(&SMALL);
    fixture.fail("s0-1", Symptom::Hanging);
    fixture.fail("s1-1", Symptom::Hanging);
    fixture.round();
    assert_eq!(status(&fixture).paused, Some(FleetCode::PausedByFailures));
    fixture.observations.symptoms.clear();
    fixture.round_after(MINUTE);
    assert_eq!(status(&fixture).paused, None);
}

fn saturday_morning() -> (cassiafold_config::Wave, SystemTime) {
    let config = config(&SMALL, |raw| {
        let wave = raw.waves.get_mut("w").expect("the wave exists");
        wave.paused = false;
        wave.blackouts = vec![cassiafold_config::raw::RawBlackout {
            weekday: "sat".to_owned(),
            from_hour: 6,
            to_hour: 12,
        }];
    });
    (config.waves["w"].clone(), monday() + 5 * 24 * HOUR + 6 * HOUR)
}

#[test]
fn blackout_covers_its_hours_in_utc() {
    let (wave, blackout_start) = saturday_morning();
    let inside: Vec<bool> = [
        blackout_start - MINUTE,
        blackout_start,
        blackout_start + 6 * HOUR - MINUTE,
        blackout_start + 6 * HOUR,
    ]
    .map(|time| in_blackout(&wave, time))
    .to_vec();
    assert_eq!(inside, [false, true, true, false]);
}

#[test]
fn drain_that_could_reach_into_a_blackout_does_not_start() {
    let (wave, blackout_start) = saturday_morning();
    let mut fixture = Fixture::with_wave(&SMALL);
    fixture.config.waves.insert("w".into(), wave);
    fixture.now = blackout_start - 9 * MINUTE;
    assert_eq!(code(&fixture, "s0-0"), FleetCode::Blackout);
    fixture.now = blackout_start - 11 * MINUTE;
    assert_eq!(code(&fixture, "s0-0"), FleetCode::Due);
}

#[test]
fn forecast_excludes_blackout_hours() {
    let (wave, blackout_start) = saturday_morning();
    assert_eq!(
        time_outside_blackouts(&wave, blackout_start - HOUR, blackout_start + 7 * HOUR),
        2 * HOUR
    );
    let end = completion_time(&wave, blackout_start - HOUR, 2 * HOUR, 48 * HOUR);
    assert_eq!(end, Some(blackout_start + 7 * HOUR));
    assert_eq!(completion_time(&wave, blackout_start, 2 * HOUR, HOUR), None);
}

#[test]
fn expected_end_follows_the_average_speed_and_shows_late_waves() {
    let mut fixture = Fixture::with_wave(&SMALL);
    assert_eq!(status(&fixture).expected_end, None);
    fixture.config.waves.get_mut("w").expect("the wave exists").deadline = monday() + HOUR;
    fixture.run_until(true, |fixture| status(fixture).done >= 7);
    let pace = status(&fixture);
    let elapsed = fixture.now.duration_since(monday()).expect("time has passed");
    let remaining = (elapsed / 7) * (pace.total - 7) as u32;
    assert_eq!(pace.expected_end, Some(fixture.now + remaining));
    assert!(pace.late(fixture.now));
}

#[test]
fn concurrent_maintenance_keeps_the_floor_if_the_worst_rack_fails() {
    let mut fixture = Fixture::with_wave(&SMALL);
    fixture.policy.maintenance_share_max = 1.0;
    fixture.round();
    let down: BTreeSet<_> = fixture.maintaining().into_iter().collect();
    for service in ["s0", "s1"] {
        let up: Vec<_> = fixture
            .document
            .placements
            .iter()
            .filter(|(id, placement)| &*placement.pool == service && !down.contains(*id))
            .map(|(id, _)| &fixture.listed[id])
            .collect();
        let racks: BTreeSet<_> = up.iter().map(|it| (&it.zone, &it.rack)).collect();
        let lost = |rack| up.iter().filter(|it| (&it.zone, &it.rack) == rack).count();
        let worst = racks.into_iter().map(lost).max().unwrap_or(0);
        assert!(up.len() - worst >= 5, "{service}: {} up, worst rack {worst}", up.len());
    }
    assert!(!down.is_empty());
}

#[test]
fn maintenance_is_limited_to_a_share_of_the_spare_pool() {
    let mut fixture = Fixture::with_wave(&Layout { spare: 24, ..SMALL });
    fixture.policy.maintenance_share_max = 1.0;
    fixture.round();
    let down = fixture.maintaining();
    assert_eq!(down.iter().filter(|id| id.starts_with("spare")).count(), 6);
    assert_eq!(code(&fixture, "spare-21"), FleetCode::ParallelLimit);
}
