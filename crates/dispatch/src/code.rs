//! Result codes of the request path, numbered from 300.

cassiafold_event::codes! {
    /// Result codes of the request path.
    pub enum DispatchCode {
        NotReady = 300, 503, "this entry instance knows no configuration yet";
        UnknownQueue = 301, 404, "no service has this queue";
        InvalidKey = 302, 401, "the key is missing, malformed or not granted to any team";
        NoInstance = 303, 503, "no backend server of the service can take the request";
        LimitReached = 304, 429, "the team already runs as much as its upper limit allows";
        ConnectFailed = 305, 502, "no connection to a backend server could be made";
        AnswerLost = 306, 502, "the connection to the backend server broke after the request was sent";
    }
}
