//! Log events of the operators' interface, numbered from 1500.

cassiafold_event::events! {
    /// Log events of the operators' interface.
    pub enum OperatorsEvent {
        CredentialRefused = 1500, Warn, "operator's credential refused";
        PatchAccepted = 1501, Info, "configuration patch accepted";
        PatchRefused = 1502, Info, "configuration patch refused";
        PatchUnsettled = 1503, Error, "outcome of a configuration patch is unknown";
        StoreRolledBack = 1504, Error, "stored configuration was older than the one in force and was replaced";
        KeyGranted = 1505, Info, "key granted";
        KeyWithdrawn = 1506, Info, "keys withdrawn";
        MoveRequested = 1507, Info, "move of instances requested";
        HistoryNotTrimmed = 1508, Info, "old configuration history could not be removed";
        ConnectionRefused = 1509, Warn, "too many operators' connections";
    }
}
