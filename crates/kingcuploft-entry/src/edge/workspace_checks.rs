//! The checks of a request against its workspace: its quota before the first attempt, its key before each.

use super::active_request::ActiveRequest;
use super::refusal::{Refusal, RefusalReason};
use crate::quotas::{self, QuotaDecision};

impl ActiveRequest<'_> {
    /// Takes the request from its workspace's quota. One that another VM has passed here was counted there.
    pub(super) async fn take_quota(&mut self) -> Result<(), Refusal> {
        let Some(workspace) = self.workspace.clone() else {
            return Ok(());
        };
        if self.request.relayed.is_some() {
            return Ok(());
        }
        let decision = quotas::take(self.context, &workspace).await;
        let metrics = &self.context.metrics;
        match decision {
            QuotaDecision::Begin => {
                metrics.count_workspace_request(&workspace.name, "begun");
                self.has_taken_quota = true;
                Ok(())
            }
            QuotaDecision::UsedUp(after) => {
                metrics.count_workspace_request(&workspace.name, "quota_used_up");
                Err(RefusalReason::QuotaUsedUp.after(after))
            }
            QuotaDecision::NoKeeper(after) => {
                metrics.count_workspace_request(&workspace.name, "no_keeper");
                Err(RefusalReason::NoKeeper.after(after))
            }
        }
    }

    /// Gives back what the request took from its workspace's quota, if it surely has not run.
    pub(super) fn settle_quota(&mut self) {
        if !self.has_taken_quota || self.attempts.may_have_run() {
            return;
        }
        self.has_taken_quota = false;
        if let Some(workspace) = &self.workspace {
            quotas::give_back(self.context, workspace);
        }
    }

    /// Returns whether the request's key was taken away, or given to another workspace, since it arrived.
    pub(super) fn is_key_gone(&self) -> bool {
        let (Some(key), Some(workspace)) = (&self.key, &self.workspace) else {
            return false;
        };
        let Some(current) = self.context.configuration() else {
            return false;
        };
        if current.version == self.configuration.version {
            return false;
        }
        let Some(workspaces) = &current.workspaces else {
            return false;
        };
        let holder = workspaces.by_key(key);
        holder.is_none_or(|holder| holder.name != workspace.name)
    }
}
