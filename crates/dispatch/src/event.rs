//! Log events of the request path, numbered from 1300.

cassiafold_event::events! {
    /// Log events of the request path.
    pub enum DispatchEvent {
        RequestRefused = 1300, Debug, "request refused";
        AttemptFailed = 1301, Info, "attempt at a backend server failed";
        InstanceEjected = 1302, Warn, "instance ejected from routing";
        InstanceReturned = 1303, Info, "instance returned to routing after a trial request";
        AnswerCrossed = 1304, Error, "response with the id of another request discarded and its connection closed";
        OutcomeHeld = 1305, Debug, "slot held until the outcome of an abandoned request is known";
        OutcomeUnsettled = 1306, Warn, "slot released after the timeout; the outcome of the abandoned request is unknown";
        StopStarted = 1307, Info, "graceful stop started; reporting not ready";
        StopDraining = 1308, Info, "refusing new requests and finishing accepted ones";
        StopFinished = 1309, Info, "graceful stop finished";
        StopCutOff = 1310, Error, "request aborted by a forced stop";
    }
}
