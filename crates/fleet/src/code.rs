//! Result codes of the fleet, numbered from 400: reasons why a step does not start.

cassiafold_event::codes! {
    /// Reason why a step does not start now.
    pub enum FleetCode {
        UnknownInstance = 400, 404, "the fleet document holds no such instance";
        UnknownPool = 401, 404, "the configuration holds no such pool";
        UnknownWave = 402, 404, "the configuration holds no such maintenance wave";
        UnknownTeam = 403, 404, "the configuration holds no such team";
        NoWave = 404, 200, "no maintenance wave covers the instance";
        WaveNotStarted = 405, 200, "the maintenance wave has not started";
        WavePaused = 406, 200, "operators have paused the maintenance wave";
        PausedByFailures = 407, 200, "recent failures pause all maintenance waves";
        PausedByWave = 408, 200, "instances did not return from maintenance, which pauses the wave";
        Blackout = 409, 200, "blackout hours, or they begin before a drain must have ended";
        Maintained = 410, 200, "the instance was maintained in this wave";
        StepInProgress = 411, 409, "a step is in progress on the instance";
        EarlierZone = 412, 200, "an earlier availability zone of the wave is not finished";
        ZoneOut = 413, 200, "operators have taken the availability zone out";
        ZoneSilent = 414, 200, "entry instances of the availability zone do not confirm";
        Failing = 415, 200, "the instance is failing and is left to repair";
        NotListed = 416, 200, "the platform does not list the instance as live";
        RetryLater = 417, 200, "an earlier step was given up and is tried again later";
        BudgetShort = 418, 409, "the availability budget does not allow it";
        DemandHigh = 419, 200, "demand needs every available instance of the service";
        ParallelLimit = 420, 200, "as many steps as allowed are in progress";
        ZoneStorm = 421, 200, "a large part of the availability zone fails: reboots would not help";
        RepairLimit = 422, 200, "as many repairs as allowed are in progress";
        RepairTooSoon = 423, 200, "the failure is recent and may end by itself";
        NotFailing = 424, 200, "the instance is not failing";
        Due = 425, 200, "nothing holds it back: the step starts in the next planning round";
        SamePool = 426, 200, "the instance already belongs to the pool";
        StoreDown = 427, 503, "the key-value service cannot be reached: no step starts";
        NoSpare = 428, 409, "no spare instance is available";
    }
}
