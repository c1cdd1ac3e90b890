//! What the owner does when a worker refuses its fencing token.
//!
//! Usually a later owner has used a higher token, and this owner's term ends. The store decides: a
//! worker may also have taken a higher token from elsewhere, and must not end the term of each
//! owner in turn. Until the owner key has been read, a renewal of the lease decides whether
//! commands are sent to the other workers.

use std::time::Duration;

use cassiafold_platform::{Moment, Store};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::{Message, OwnerLoop};
use crate::clients::FencingToken;
use crate::job::WorkerSlot;
use crate::outage::OutageLog;
use crate::platform_clients::PlatformClients;
use crate::record::OWNER_KEY;
use crate::task_panic::catch_panic;

/// Delay between two attempts to read the owner key.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl<S: PlatformClients> OwnerLoop<S> {
    /// Handles a refusal of the token: no command is sent until the owner key has been read, or the
    /// lease has been renewed.
    pub(super) fn handle_token_refusal(&mut self, worker: WorkerSlot, now: Moment) {
        if self.scheduler.worker(worker).has_refused_token {
            return;
        }
        self.scheduler.handle_token_refusal(worker, now);
        if self.unchecked_refusal.replace(now).is_some() {
            return;
        }
        let (platform, token) = (self.platform.clone(), self.scheduler.token());
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let read = holds_owner_key(&platform, token, &sender);
            let is_held = catch_panic("read of the owner key", read).await;
            let message = is_held
                .map_or(Message::TaskPanicked, |is_held| Message::OwnershipChecked { is_held });
            // The loop may have ended.
            let _ = sender.send(message).await;
        });
    }

    pub(super) fn handle_ownership_checked(&mut self, is_held: bool) {
        self.unchecked_refusal = None;
        self.is_fenced |= !is_held;
    }

    /// Whether commands may be sent: this owner certainly holds the lease, and no refusal of its
    /// token can be due to a later owner.
    ///
    /// A later owner claims only once the lease is over, and the store does not renew a lease that
    /// is. So a renewal that was sent after the refusal shows that there was no later owner. The
    /// lease is valid for at most its time to live from when the last renewal was sent.
    pub(super) fn may_send_commands(&self, now: Moment) -> bool {
        let remaining = self.lease.remaining();
        let is_renewed = |refused| now + remaining >= refused + self.lease_ttl;
        !remaining.is_zero() && self.unchecked_refusal.is_none_or(is_renewed)
    }
}

/// Reads whether the owner key was last written by the owner with this token; tries again until the
/// store responds or the owner's loop has ended.
async fn holds_owner_key<S: PlatformClients>(
    platform: &S,
    token: FencingToken,
    sender: &mpsc::Sender<Message>,
) -> bool {
    let mut outage = OutageLog::new("owner's token");
    while !sender.is_closed() {
        match platform.store().get(OWNER_KEY).await {
            Ok(record) => {
                outage.record_success();
                return record.is_some_and(|record| record.revision == token);
            }
            Err(error) => outage.record_failure(&error),
        }
        sleep(RETRY_DELAY).await;
    }
    false
}
