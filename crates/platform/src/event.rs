//! Log events of the platform's clients, numbered from 1100.

cassiafold_event::events! {
    /// Log events of the platform's clients.
    pub enum PlatformEvent {
        LeaseRenewalFailed = 1100, Warn, "renewal of the lease failed";
        LeaseExpired = 1101, Warn, "lease expired in the key-value service";
        WatchSilent = 1102, Warn, "watch of the key-value service went silent; resuming it";
        EndpointsSkipped = 1103, Warn, "endpoints of the instance list cannot be used";
    }
}
