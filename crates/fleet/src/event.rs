//! Log events of the fleet, numbered from 1400.

cassiafold_event::events! {
    /// Log events of the fleet.
    pub enum FleetEvent {
        InstanceAdopted = 1400, Info, "instance adopted into a pool";
        InstanceVanished = 1401, Info, "instance no longer listed by the platform";
        InstanceForgotten = 1402, Info, "instance forgotten after it was not listed for long";
        InstanceFailed = 1403, Warn, "instance failing";
        InstanceRecovered = 1404, Info, "instance recovered without a repair";
        MaintenanceStarted = 1405, Info, "maintenance started: draining the instance";
        RepairStarted = 1406, Info, "repair started: draining the instance";
        MoveStarted = 1407, Info, "move started: draining the instance";
        InstanceAssigned = 1408, Info, "idle instance assigned to another pool";
        InstanceMoved = 1409, Info, "drained instance moved to another pool";
        RebootDecided = 1410, Info, "nothing runs on the instance: rebooting";
        RebootForced = 1411, Warn, "rebooting a failing instance after the longest wait for its drain";
        TrialStarted = 1412, Info, "instance rebooted: waiting for a trial request";
        InstanceReturned = 1413, Info, "trial request succeeded: instance back in service";
        InstanceNotReturned = 1414, Warn, "no trial request succeeded after the reboot";
        DrainGivenUp = 1415, Warn, "drain took too long: instance back in service";
        StepDropped = 1416, Warn, "step ended because the instance left";
        InstanceReplaced = 1417, Warn, "failing instance exchanged for a spare one";
        WavePaused = 1418, Warn, "maintenance wave paused";
        WaveResumed = 1419, Info, "maintenance wave resumed";
        DomainSuspected = 1420, Warn, "instances suspected of sharing a failure domain";
        DomainDropped = 1421, Info, "failure domain no longer suspected";
        ControlTaken = 1422, Info, "fleet control taken";
        ControlLost = 1423, Info, "fleet control lost";
        StoreFailed = 1424, Warn, "fleet control waits: key-value service failed";
        PlanConflict = 1425, Info, "fleet document changed meanwhile: planning again";
        RebootFailed = 1426, Warn, "reboot request failed; it is sent again";
        DocumentRefused = 1427, Error, "stored fleet state refused";
        ListFailed = 1428, Warn, "instance list not read";
        StaleObservations = 1429, Warn, "observations are too old: no step starts";
    }
}

impl FleetEvent {
    /// Event with this number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|event| event.row().number == number)
    }

    const ALL: &'static [Self] = &[
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
