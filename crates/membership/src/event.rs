//! Log events of the membership crate, numbered from 1200.

cassiafold_event::events! {
    /// Log events of the state that entry instances share.
    pub enum MembershipEvent {
        SlicesLost = 1200, Warn, "other entry instances reclaimed the slices of this entry instance";
        SlicesReclaimed = 1201, Warn, "slices of an unresponsive entry instance were reclaimed";
        SlicesRetired = 1202, Error, "a later run of this entry instance has joined; this run may not use its slices";
        LedgerMalformed = 1203, Error, "the ledger of upper limits is malformed";
        TransferUnknown = 1204, Info, "the outcome of a ledger write is unknown";
        ProcessPaused = 1205, Warn, "the process was paused; slices are unusable until a ledger write confirms them";
        LedgerRestored = 1206, Error, "the ledger of upper limits was restored to an older state";
        ConfigAdopted = 1207, Info, "configuration is in force";
        ConfigStale = 1208, Warn, "configuration rejected: its version is lower than the one in force";
        ConfigMalformed = 1209, Error, "configuration rejected: it is malformed or invalid";
        MessageRefused = 1210, Warn, "message from another entry instance rejected";
        PeerLost = 1211, Info, "connection to another entry instance failed";
        Registered = 1212, Info, "entry instance is registered in the key-value service";
        RegistrationLost = 1213, Warn, "registration of this entry instance has expired";
        IdInUse = 1214, Error, "another run of this entry instance is registered";
        ControlAcquired = 1215, Info, "this entry instance holds the control role";
        ControlLost = 1216, Warn, "this entry instance has lost the control role";
    }
}
