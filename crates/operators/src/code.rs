//! Result codes of the operators' interface, numbered from 500.

cassiafold_event::codes! {
    /// Result codes of the operators' interface.
    pub enum OperatorsCode {
        CredentialInvalid = 500, 401, "the operator's credential is missing or wrong";
        PathUnknown = 501, 404, "the operators' interface has no such path or method";
        RequestMalformed = 502, 400, "the request cannot be understood";
        RequestTooLarge = 503, 413, "the request body is too large";
        MediaTypeUnknown = 504, 415, "a patch is application/merge-patch+json or application/json-patch+json";
        VersionMissing = 505, 428, "the header If-Match must name the version that the patch was made from";
        VersionStale = 506, 412, "the configuration has another version than the patch was made from";
        ConfigInvalid = 507, 422, "the new configuration would have faults";
        StoreUnavailable = 508, 503, "the key-value service cannot be reached; nothing was changed";
        OutcomeUnknown = 509, 504, "the change may have taken effect; repeat it with the same write id";
        VersionBehind = 510, 503, "another entry instance has a higher version than this one knows; nothing was changed";
        StoredConfigInvalid = 511, 500, "the stored configuration cannot be read; nothing was changed";
        Contended = 512, 503, "other operators won every race; nothing was changed";
        NotReady = 513, 503, "no configuration is known yet";
        ZoneUnknown = 514, 404, "no such availability zone";
        TeamUnknown = 515, 404, "no such team";
        WaveUnknown = 516, 404, "no such maintenance wave";
        PoolUnknown = 517, 404, "no such pool";
        MoveRefused = 518, 409, "the move of instances is refused";
        NotExplained = 519, 404, "no decision about this is known";
        TimedOut = 520, 504, "the request took too long";
    }
}
