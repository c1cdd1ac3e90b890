//! Log events of the platform's clients, numbered from 1100.

cassiafold_event::events! {
    /// Log events of the platform's clients.
    pub enum PlatformEvent {
        LeaseRenewalFailed = 1100, Warn, "lease renewal failed";
        LeaseExpired = 1101, Warn, "lease expired in the key-value service";
        WatchSilent = 1102, Warn, "no message on a watch of the key-value service; resuming the watch";
        EndpointsSkipped = 1103, Warn, "skipped unusable endpoints of the instance list";
        ItemUnreadable = 1104, Warn, "item of the key-value service could not be read";
        MachineUnreadable = 1105, Warn, "machine in the list of machines could not be read";
        MachineListUnreadable = 1106, Warn, "list of machines could not be read";
        LeaseTooShort = 1107, Warn, "lease given up: renewals take longer than it lasts";
        ConfigPartUnreadable = 1108, Warn, "part of the configuration could not be read and is left out";
    }
}
