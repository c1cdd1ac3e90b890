//! Log events of callers' connections, numbered from 1800.

cassiafold_event::events! {
    /// Log events of callers' connections.
    pub enum IngressEvent {
        ConnectionsFull = 1800, Warn, "callers' connections have reached their limit";
        BodiesFull = 1801, Warn, "callers' request bodies have reached their limit";
    }
}
