//! Log events of the program, numbered from 1700.

cassiafold_event::events! {
    /// Log events of the program.
    pub enum EntryEvent {
        Started = 1700, Info, "entry instance started";
        Stopped = 1701, Info, "entry instance stopped";
    }
}
