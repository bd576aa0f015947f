//! How the decisions are tuned: one file for each decision, the twin of the file of that name in
//! [`crate::decisions`].

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

/// The tuning of one service, part of the manifest.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Whom to serve, who waits, who is refused.
    pub admission: admission::AdmissionSettings,
    /// How many calls of one VM may be in flight.
    pub concurrency: concurrency::ConcurrencySettings,
    /// Where work goes.
    pub selection: selection::SelectionSettings,
    /// What measuring may cost.
    pub measuring: measuring::MeasuringSettings,
    /// What VMs tell each other about full backend servers.
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
