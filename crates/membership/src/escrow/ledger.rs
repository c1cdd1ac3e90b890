//! The ledger of escrowed upper limits, stored as one document in the key-value service.

use std::collections::BTreeMap;
use std::time::Duration;

use cassiafold_config::{InstanceId, TeamId, Version};
use serde::{Deserialize, Serialize};

/// Key of the ledger in the key-value service.
pub const LEDGER_KEY: &str = "cassiafold/limits/ledger";

/// Incarnation number of one run of an entry instance, distinct for each run of the same id.
pub type Incarnation = u64;

/// Identifies one run of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId {
    /// Identifier of the entry instance.
    pub instance: InstanceId,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
}

/// An entry instance that holds slices.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Run of the instance that holds the slices.
    pub id: HolderId,
    /// Number of writes of the ledger by this holder. The other holders detect from an unchanged
    /// number that it no longer writes.
    pub writes: u64,
    /// Configuration in force at the holder when it last wrote the ledger.
    pub version: Version,
    /// Longest deadline under which this holder may have started work.
    pub deadline_max: Duration,
    /// Time for which the holder may use its slices after a write of the ledger.
    pub slice_validity: Duration,
    /// Whether the holder has left or a later run of the same instance has joined; a retired
    /// holder starts no work.
    pub retired: bool,
}

/// Part of one team's upper limit that one holder has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Slice {
    /// Number of the team's requests that the holder may run concurrently.
    pub tokens: u32,
    /// Number of requests that the holder would run without a limit; zero unless above `tokens`.
    pub want: u32,
}

impl Slice {
    /// Returns the number of wanted tokens that the holder does not have.
    pub fn unmet(self) -> u32 {
        self.want.saturating_sub(self.tokens)
    }
}

/// The ledger. Only a holder lowers its own slices, except that an expired holder is removed
/// together with its slices.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Highest configuration version under which tokens were assigned or reduced.
    pub config_version: Version,
    /// Holders in the order in which they joined.
    pub holders: Vec<Holder>,
    /// Slices of each team, one for each holder, in the order of `holders`.
    pub teams: BTreeMap<TeamId, Vec<Slice>>,
}

/// Reason why a stored ledger cannot be parsed.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The document is not valid JSON of the expected structure.
    #[error("ledger is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The number of a team's slices differs from the number of holders.
    #[error("ledger has {slices} slices of team {team} for {holders} holders")]
    SliceCount {
        /// Team of the slices.
        team: TeamId,
        /// Number of slices found.
        slices: usize,
        /// Number of holders.
        holders: usize,
    },
}

impl Ledger {
    /// Returns the position of a holder.
    pub fn position(&self, id: &HolderId) -> Option<usize> {
        self.holders.iter().position(|holder| holder.id == *id)
    }

    /// Adds a holder without tokens and retires previous runs of the same instance.
    pub fn join(&mut self, joining: Holder) {
        for holder in &mut self.holders {
            holder.retired |= holder.id.instance == joining.id.instance;
        }
        self.holders.push(joining);
        for slices in self.teams.values_mut() {
            slices.push(Slice::default());
        }
    }

    /// Removes the holder at `index`; its tokens become unassigned.
    pub fn remove(&mut self, index: usize) {
        self.holders.remove(index);
        for slices in self.teams.values_mut() {
            slices.remove(index);
        }
    }

    /// Returns the sum of a team's tokens over all holders.
    pub fn total(&self, team: &TeamId) -> u32 {
        self.teams.get(team).map_or(0, |slices| slices.iter().map(|slice| slice.tokens).sum())
    }

    /// Returns a team's tokens at the holder `me`, and their sum over all holders that have at
    /// least `version` in force; `me` is always included.
    pub fn confirmed(&self, team: &TeamId, me: usize, version: Version) -> (u32, u32) {
        let Some(slices) = self.teams.get(team) else { return (0, 0) };
        let pairs = self.holders.iter().zip(slices).enumerate();
        let confirmed =
            pairs.filter(|(index, (holder, _))| *index == me || holder.version >= version);
        (slices[me].tokens, confirmed.map(|(_, (_, slice))| slice.tokens).sum())
    }

    /// Serializes the ledger for the key-value service.
    pub fn to_json(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(&RawLedger::from(self))
    }

    /// Parses a stored ledger.
    pub fn from_json(bytes: &[u8]) -> Result<Self, LedgerError> {
        Self::try_from(serde_json::from_slice::<RawLedger>(bytes)?)
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct RawLedger {
    config: Version,
    holders: Vec<RawHolder>,
    teams: BTreeMap<TeamId, RawSlices>,
}

#[derive(Debug, Serialize, Deserialize)]
struct RawHolder {
    id: InstanceId,
    run: Incarnation,
    writes: u64,
    version: Version,
    deadline_max_ms: u64,
    hold_ms: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    retired: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct RawSlices {
    t: Vec<u32>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    w: Vec<u32>,
}

impl From<&Ledger> for RawLedger {
    fn from(ledger: &Ledger) -> Self {
        let teams = ledger.teams.iter();
        Self {
            config: ledger.config_version,
            holders: ledger.holders.iter().map(RawHolder::from).collect(),
            teams: teams.map(|(team, slices)| (team.clone(), RawSlices::from(slices))).collect(),
        }
    }
}

impl From<&Holder> for RawHolder {
    fn from(holder: &Holder) -> Self {
        Self {
            id: holder.id.instance.clone(),
            run: holder.id.incarnation,
            writes: holder.writes,
            version: holder.version,
            deadline_max_ms: holder.deadline_max.as_millis() as u64,
            hold_ms: holder.slice_validity.as_millis() as u64,
            retired: holder.retired,
        }
    }
}

impl From<&Vec<Slice>> for RawSlices {
    fn from(slices: &Vec<Slice>) -> Self {
        let wanted = slices.iter().any(|slice| slice.want > 0);
        let w = if wanted { slices.iter().map(|slice| slice.want).collect() } else { Vec::new() };
        Self { t: slices.iter().map(|slice| slice.tokens).collect(), w }
    }
}

impl From<RawHolder> for Holder {
    fn from(raw: RawHolder) -> Self {
        Self {
            id: HolderId { instance: raw.id, incarnation: raw.run },
            writes: raw.writes,
            version: raw.version,
            deadline_max: Duration::from_millis(raw.deadline_max_ms),
            slice_validity: Duration::from_millis(raw.hold_ms),
            retired: raw.retired,
        }
    }
}

impl TryFrom<RawLedger> for Ledger {
    type Error = LedgerError;

    fn try_from(raw: RawLedger) -> Result<Self, LedgerError> {
        let holders: Vec<Holder> = raw.holders.into_iter().map(Holder::from).collect();
        let mut teams = BTreeMap::new();
        for (team, slices) in raw.teams {
            if slices.t.len() != holders.len() {
                let (slices, holders) = (slices.t.len(), holders.len());
                return Err(LedgerError::SliceCount { team, slices, holders });
            }
            let wants = slices.w.into_iter().chain(std::iter::repeat(0));
            let pairs = slices.t.into_iter().zip(wants);
            teams.insert(team, pairs.map(|(tokens, want)| Slice { tokens, want }).collect());
        }
        Ok(Self { config_version: raw.config, holders, teams })
    }
}
