//! Log events of the shared state, numbered from 1200.

cassiafold_event::events! {
    /// Log events of the shared state between entry instances.
    pub enum MembershipEvent {
        SlicesLost = 1200, Warn, "slices of upper limits were taken back from this entry instance";
        SlicesReclaimed = 1201, Warn, "slices of a silent entry instance were taken back";
        SlicesRetired = 1202, Error, "another run of this entry instance has joined; its slices may not be used";
        LedgerMalformed = 1203, Error, "the ledger of upper limits cannot be understood";
        TransferUnknown = 1204, Info, "outcome of a write of the ledger is unknown";
        ProcessPaused = 1205, Warn, "the process was paused; slices wait for a confirmation";
        LedgerRestored = 1206, Error, "the ledger of upper limits went back to an older state";
    }
}
