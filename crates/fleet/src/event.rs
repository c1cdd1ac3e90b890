//! Log events of the fleet, numbered from 1400.

cassiafold_event::events! {
    /// Log events of the fleet.
    pub enum FleetEvent {
        InstanceAdopted = 1400, Info, "instance added to a pool";
        InstanceVanished = 1401, Info, "instance no longer listed by the platform";
        InstanceForgotten = 1402, Info, "unlisted instance removed from the fleet document";
        InstanceFailed = 1403, Warn, "instance is failing";
        InstanceRecovered = 1404, Info, "instance recovered without a repair";
        MaintenanceStarted = 1405, Info, "maintenance started: draining the instance";
        RepairStarted = 1406, Info, "repair started: draining the instance";
        MoveStarted = 1407, Info, "move started: draining the instance";
        InstanceAssigned = 1408, Info, "idle instance assigned to another pool";
        InstanceMoved = 1409, Info, "drained instance moved to another pool";
        RebootDecided = 1410, Info, "instance drained: rebooting it";
        RebootForced = 1411, Warn, "drain of a failing instance timed out: rebooting it";
        TrialStarted = 1412, Info, "instance rebooted: waiting for a trial request to succeed";
        InstanceReturned = 1413, Info, "trial request succeeded: instance back in service";
        InstanceNotReturned = 1414, Warn, "no trial request succeeded after the reboot";
        DrainGivenUp = 1415, Warn, "drain timed out: instance back in service";
        StepDropped = 1416, Warn, "step cancelled: instance no longer listed";
        InstanceReplaced = 1417, Warn, "failing instance replaced by a spare one";
        WavePaused = 1418, Warn, "maintenance wave paused";
        WaveResumed = 1419, Info, "maintenance wave resumed";
        DomainSuspected = 1420, Warn, "instances suspected of sharing a failure domain";
        DomainDropped = 1421, Info, "failure domain no longer suspected";
        ControlTaken = 1422, Info, "fleet control acquired";
        ControlLost = 1423, Info, "fleet control lost";
        StoreFailed = 1424, Warn, "request to the key-value service failed";
        PlanConflict = 1425, Info, "fleet document changed concurrently: retrying in the next round";
        RebootFailed = 1426, Warn, "reboot request failed: retrying in the next round";
        DocumentRefused = 1427, Error, "fleet state rejected: malformed or too large";
        ListFailed = 1428, Warn, "instance list could not be read";
        StaleObservations = 1429, Warn, "observations are too old: planning is suspended";
    }
}

impl FleetEvent {
    /// Event with the given number, if a decision can have it.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::DECISION_EVENTS.iter().copied().find(|event| event.row().number == number)
    }

    /// Events that a decision can have.
    const DECISION_EVENTS: &'static [Self] = &[
        Self::InstanceAdopted,
        Self::InstanceVanished,
        Self::InstanceForgotten,
        Self::InstanceFailed,
        Self::InstanceRecovered,
        Self::MaintenanceStarted,
        Self::RepairStarted,
        Self::MoveStarted,
        Self::InstanceAssigned,
        Self::InstanceMoved,
        Self::RebootDecided,
        Self::RebootForced,
        Self::TrialStarted,
        Self::InstanceReturned,
        Self::InstanceNotReturned,
        Self::DrainGivenUp,
        Self::StepDropped,
        Self::InstanceReplaced,
        Self::WavePaused,
        Self::WaveResumed,
        Self::DomainSuspected,
        Self::DomainDropped,
    ];
}
