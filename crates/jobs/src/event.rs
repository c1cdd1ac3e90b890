//! Log events of jobs and workers, numbered from 1600.

cassiafold_event::events! {
    /// Log events of jobs and workers.
    pub enum JobsEvent {
        JobAccepted = 1600, Info, "job accepted";
        JobRefused = 1601, Info, "job refused; it will never run";
        JobUnsettled = 1602, Warn, "outcome of a job submission is unknown";
        JobCancelled = 1603, Info, "job cancellation stored";
        JobEnded = 1604, Info, "job ended";
        CallWithoutResult = 1605, Warn, "call has no result";
        JobStarted = 1606, Info, "first task of a job started";
        CountOutdated = 1607, Warn, "number of waiting jobs is outdated and not reported";
        CallLinesOmitted = 1608, Warn, "calls without a result that have no line of their own";
        RunFailed = 1610, Info, "run failed";
        RunEnded = 1611, Info, "run ended without result";
        RunAdopted = 1612, Info, "run of a previous owner adopted";
        RunVanished = 1613, Info, "worker no longer reports a run";
        StartNotAccepted = 1614, Info, "start command was not accepted";
        PaceChanged = 1615, Info, "speed of an opportunistic task changed";
        RunLost = 1616, Info, "worker incarnation ended under a run";
        TaskGivenUp = 1617, Warn, "task crashes its workers and is given up; its job has failed";
        CrashPresumed = 1618, Info, "run is presumed to have crashed its worker";
        WorkerListed = 1620, Info, "worker listed";
        WorkerUnlisted = 1621, Info, "worker no longer listed";
        WorkerDraining = 1622, Info, "worker is draining";
        WorkerLost = 1623, Info, "worker incarnation ended";
        WorkerReborn = 1624, Info, "worker restarted";
        LookFailed = 1625, Info, "poll of a worker failed";
        LeaseOver = 1626, Info, "lease of the runs on an unresponsive worker expired";
        TokenRefused = 1627, Warn, "worker refused the owner's token and is sent nothing more";
        EndsPending = 1628, Info, "worker has more run ends than a response lists";
        EndsListed = 1629, Info, "worker lists all of its run ends again";
        MachineOrdered = 1630, Info, "outcome of a command to move or maintain a machine";
        PoolsBalanced = 1631, Info, "machines move between services";
        EntryIgnored = 1632, Warn, "entry in the list of workers names no worker to use";
        ResponseLate = 1633, Info, "response of an earlier incarnation of a worker discarded";
        PolicyUnanswered = 1634, Info, "query to the placement policy got no response";
        PolicyLate = 1635, Info, "response of the placement policy is late; it is awaited beside the next query";
        WavePaced = 1636, Info, "machines of a wave that remain, and what they wait for";
        ImagesInterfere = 1637, Info, "tasks of one image slow down tasks of another on the same worker";
        ImagesInterfereNoMore = 1638, Info, "tasks of one image no longer slow down tasks of another";
        MachineCommandSent = 1639, Info, "command to move or maintain a machine sent";
        OwnerBegan = 1640, Info, "this instance became the owner and places jobs";
        OwnerEnded = 1641, Info, "this instance is no longer the owner";
        ConfigInForce = 1642, Info, "configuration in force";
        ItemUnreadable = 1643, Warn, "item in the store could not be decoded";
        StoreLost = 1644, Warn, "store is unavailable";
        StoreRegained = 1645, Info, "store is available again";
        RecordNotEncoded = 1646, Error, "record could not be encoded";
        OwnerBusy = 1647, Info, "time use of the owner's loop in the last second, and its backlog";
        NodeStarted = 1650, Info, "instance started";
        NodeStopped = 1651, Info, "instance stopped";
        NodeReloaded = 1652, Info, "settings read again";
        NodeNotReloaded = 1653, Warn, "changed settings were rejected";
        ConnectionNotAccepted = 1654, Warn, "connection could not be accepted";
        MetricsNotServed = 1655, Warn, "metrics could not be served";
        TimeoutMalformed = 1660, Info, "caller's timeout is malformed; the default applies";
        JobOversized = 1661, Warn, "job is too large for the owner and has failed";
        JobRejected = 1662, Info, "submitted job is malformed or out of range";
        TaskPanicked = 1663, Error, "task ended by a panic";
        StateUnstorable = 1664, Error, "state of an ended job is too large and is not stored";
        JobsDeferred = 1665, Warn, "owner holds as many jobs as its memory allows; further ones wait in the store";
        JobsFull = 1666, Warn, "no further jobs are accepted";
        JobsAcceptedAgain = 1667, Info, "jobs are accepted again";
        DeferredJobNotRead = 1668, Info, "job that waits in the store could not be read; it is read again";
    }
}
