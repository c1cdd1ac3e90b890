//! Log events of jobs and workers, numbered from 1600.

cassiafold_event::events! {
    /// Log events of jobs and workers.
    pub enum JobsEvent {
        JobAccepted = 1600, Info, "job accepted";
        JobRefused = 1601, Info, "job not accepted; it never runs";
        JobUnsettled = 1602, Warn, "outcome of accepting a job is unknown";
        JobCancelled = 1603, Info, "cancel of a job stored";
        JobEnded = 1604, Info, "job ended";
        StateUnknown = 1605, Warn, "state of a job could not be read";
        JobStarted = 1606, Info, "first task of a job has begun";
        CountOutdated = 1607, Warn, "number of waiting jobs is too old to be shown";
        RunFailed = 1610, Info, "run failed";
        RunEnded = 1611, Info, "run ended without result";
        RunAdopted = 1612, Info, "run of an earlier owner taken over";
        RunVanished = 1613, Info, "worker no longer knows a run";
        StartNotAccepted = 1614, Info, "order to start a run was not accepted";
        PaceChanged = 1615, Info, "pace of an opportunistic task changed";
        WorkerListed = 1620, Info, "worker listed";
        WorkerUnlisted = 1621, Info, "worker no longer listed";
        WorkerDraining = 1622, Info, "worker is about to leave";
        WorkerLost = 1623, Info, "life of a worker is over";
        WorkerReborn = 1624, Info, "worker has started anew";
        LookFailed = 1625, Info, "worker did not answer";
        LeaseOver = 1626, Info, "lease of the runs on a silent worker is over";
        MachineOrdered = 1630, Info, "machine ordered to move or to be maintained";
        PoolsBalanced = 1631, Info, "machines move between services";
        OwnerBegan = 1640, Info, "this instance now places the jobs";
        OwnerEnded = 1641, Info, "this instance no longer places the jobs";
        ConfigInForce = 1642, Info, "configuration in force";
        ItemUnreadable = 1643, Warn, "item in the store cannot be read";
        StoreLost = 1644, Warn, "store does not answer";
        StoreRegained = 1645, Info, "store answers again";
        RecordNotEncoded = 1646, Error, "record could not be encoded";
        OwnerBusy = 1647, Info, "how the owner spent the last second, and what waits";
        NodeStarted = 1650, Info, "instance started";
        NodeStopped = 1651, Info, "instance stopped";
        NodeReloaded = 1652, Info, "settings read again";
        NodeNotReloaded = 1653, Warn, "changed settings cannot be used";
        ConnectionNotAccepted = 1654, Warn, "connection could not be accepted";
        MetricsNotServed = 1655, Warn, "metrics cannot be served";
    }
}
