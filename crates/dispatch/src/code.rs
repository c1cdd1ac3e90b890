//! Result codes of the request path, numbered from 300.

cassiafold_event::codes! {
    /// Result codes of the request path.
    pub enum DispatchCode {
        NotReady = 300, 503, "this entry instance knows no configuration yet";
        UnknownQueue = 301, 404, "no service has this queue";
        InvalidKey = 302, 401, "the key is missing, malformed or not granted to any team";
        NoInstance = 303, 503, "no backend server of the service takes new work";
        LimitReached = 304, 429, "the team already runs as much as its upper limit allows";
        ConnectFailed = 305, 502, "no connection to a backend server could be made";
        AnswerLost = 306, 502, "the connection to the backend server broke after the request was sent";
        InvalidDeadline = 307, 400, "x-deadline-ms must be a whole number of milliseconds, at least 1 and at most the queue's longest deadline";
        InvalidRequestId = 308, 400, "x-request-id must be 1 to 128 letters, digits or one of - _ . :";
        BodyTooLarge = 309, 413, "the request body is longer than the queue takes";
        QueueFull = 310, 429, "the team already has as many requests waiting as the queue takes";
        CannotStartInTime = 311, 503, "the request cannot be answered before its deadline";
        QueueTimeout = 312, 504, "the request waited in the queue until it could not be answered before its deadline";
        AnswerTimeout = 313, 504, "the deadline passed before the backend server answered";
        RefusedByInstances = 314, 503, "the backend servers tried refused the request without running it";
        AnswerCrossed = 315, 502, "the backend server answered another request";
        AnswerUnframed = 316, 502, "the end of the backend server's answer could not be told from a broken connection";
        Stopping = 317, 503, "this entry instance is stopping";
        InvalidPath = 318, 400, "the path cannot be forwarded";
        BodyBroken = 319, 400, "the request body ended early";
        LimitsSuspended = 320, 503, "this entry instance is cut off and may have missed changes of keys or upper limits";
    }
}
