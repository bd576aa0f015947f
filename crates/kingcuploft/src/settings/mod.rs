//! The settings of the decisions: one module for each module of the same name in [`crate::decisions`].

pub mod admission;
pub mod claim;
pub mod concurrency;
pub mod drain;
pub mod hedge;
pub mod measuring;
pub mod membership;
pub mod notes;
pub mod outlier;
pub mod retry;
pub mod selection;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The settings of one service's decisions, part of the manifest.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Which requests are served first, which wait and which are refused.
    pub admission: admission::AdmissionSettings,
    /// How many calls of one VM may be in flight.
    pub concurrency: concurrency::ConcurrencySettings,
    /// How a backend server is chosen.
    pub selection: selection::SelectionSettings,
    /// When backend servers are probed, and what that may cost.
    pub measuring: measuring::MeasuringSettings,
    /// What VMs report to each other about full backend servers.
    pub notes: notes::NotesSettings,
    /// When a request is sent again.
    pub retry: retry::RetrySettings,
    /// When a failing backend server gets no work for a while.
    pub outlier: outlier::OutlierSettings,
    /// When a lookup is sent a second time while the first attempt is in flight.
    pub hedge: hedge::HedgeSettings,
    /// How a leaving backend server is treated.
    pub drain: drain::DrainSettings,
}
