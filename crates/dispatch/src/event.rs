//! Log events of the request path, numbered from 1300.

cassiafold_event::events! {
    /// Log events of the request path.
    pub enum DispatchEvent {
        RequestRefused = 1300, Debug, "request refused";
        AttemptFailed = 1301, Info, "attempt at a backend server failed";
    }
}
