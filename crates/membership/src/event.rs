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
        ConfigAdopted = 1207, Info, "configuration is in force";
        ConfigStale = 1208, Warn, "configuration refused: its version is lower than the one in force";
        ConfigMalformed = 1209, Error, "configuration refused: it cannot be understood";
        MessageRefused = 1210, Warn, "message of another entry instance refused";
        PeerLost = 1211, Info, "connection to another entry instance ended";
        Registered = 1212, Info, "entry instance is registered in the key-value service";
        RegistrationLost = 1213, Warn, "registration of this entry instance has expired";
        IdInUse = 1214, Error, "another run of this entry instance is registered";
        ControlAcquired = 1215, Info, "this entry instance holds the control role";
        ControlLost = 1216, Warn, "this entry instance has lost the control role";
    }
}
