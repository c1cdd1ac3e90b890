//! Log events of the program, numbered from 1700.

cassiafold_event::events! {
    /// Log events of the program.
    pub enum EntryEvent {
        Started = 1700, Info, "entry instance started";
        Stopped = 1701, Info, "entry instance stopped";
        LogLinesDropped = 1702, Warn, "log lines were dropped while the output took none";
        Panicked = 1703, Error, "code panicked";
    }
}
