//! Type aliases for names and numbers of VMs, services, callers and requests.

use std::sync::Arc;

/// Names one entry VM, unique in the fleet.
pub type VmName = Arc<str>;

/// Names one availability zone.
pub type AvailabilityZone = Arc<str>;

/// Names one service of the manifest.
pub type ServiceName = Arc<str>;

/// Names one workspace, whose quota and priority bind its requests.
pub type WorkspaceName = Arc<str>;

/// Names one rule, unique within its service.
pub type RuleName = Arc<str>;

/// Names one backend server, unique within its service.
pub type BackendServerName = Arc<str>;

/// Identifies a caller, from the manifest's caller header or the peer address.
pub type Caller = Arc<str>;

/// Identifies one protected action, chosen by the caller.
pub type IdempotencyKey = Arc<str>;

/// Numbers the requests of one VM, from the start of its process.
pub type RequestId = u64;

/// Numbers the attempts (calls to a backend server) of one VM, from the start of its process.
pub type AttemptId = u64;

/// Numbers the accepted manifests in increasing order.
pub type Generation = u64;

/// Distinguishes successive processes with the same name or address; a later one has a greater number.
pub type Incarnation = u64;
