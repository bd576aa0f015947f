//! The admin pages about the fleet: members, manifest, drains and decisions, and the uploads of drains and manifests
//! that operators can make while the store is down.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use kingcuploft::decisions::adoption::{AdoptionError, AdoptionStep};
use kingcuploft::manifest::root::ContentHash;
use serde::{Deserialize, Serialize};

use crate::fleet_state;
use crate::shared::Shared;

/// The path prefix of these pages.
pub const PREFIX: &str = "/fleet/";

/// The longest body, in bytes: an accepted manifest with every service object.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// An accepted manifest that the operator who applied it uploads to a VM. If the store goes down before any VM has read
/// the manifest, the VMs still distribute it among themselves.
#[derive(Debug, Deserialize, Serialize)]
pub struct ManifestUpload {
    /// The root object's text.
    pub root: String,
    /// The service objects' texts; those that the VM already has may be omitted.
    pub services: Vec<String>,
}

/// An answer of the admin port.
pub type Page = (StatusCode, String);

/// Answers a request whose path begins with [`PREFIX`].
pub async fn answer(shared: &Shared, request: Request<Incoming>) -> Page {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let parts: Vec<&str> = path.trim_start_matches(PREFIX).split('/').collect();
    match (&method, &parts[..]) {
        (&Method::GET, ["members"]) => json(&shared.fleet.members()),
        (&Method::GET, ["drains"]) => json(&shared.fleet.drains()),
        (&Method::GET, ["manifest"]) => json(&shared.manifest.read(|a| a.status())),
        (&Method::GET, ["root"]) => match shared.manifest.read(|a| a.delta_since(0)) {
            Some(delta) => json(&delta.root),
            None => (StatusCode::NOT_FOUND, "no manifest is in force\n".into()),
        },
        (&Method::GET, ["decisions"]) => json(&shared.decisions.search(&query)),
        (&Method::POST, ["drain", service, server]) => drain(shared, service, server),
        (&Method::POST, ["manifest"]) => {
            let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
                .collect()
                .await;
            match body {
                Ok(body) => upload_manifest(shared, &body.to_bytes()),
                Err(_) => (
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "the body is too long\n".into(),
                ),
            }
        }
        _ => (StatusCode::NOT_FOUND, "no such page\n".into()),
    }
}

fn drain(shared: &Shared, service: &str, server: &str) -> Page {
    let manifest = Arc::clone(&shared.accepted.load().manifest);
    match fleet_state::drain_notice(&manifest, &service.into(), &server.into()) {
        Some(notice) => {
            shared.fleet.record_drain(shared, notice.clone());
            json(&notice)
        }
        None => {
            let why = format!("no backend server {server} of service {service} is in force here\n");
            (StatusCode::NOT_FOUND, why)
        }
    }
}

/// Adopts an uploaded manifest as from any other source: parts are checked by hash, and the generation only grows.
fn upload_manifest(shared: &Shared, body: &Bytes) -> Page {
    let upload: ManifestUpload = match serde_json::from_slice(body) {
        Ok(upload) => upload,
        Err(error) => return (StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    let source = "an operator";
    let update = |change: &mut dyn FnMut(&mut _) -> Result<AdoptionStep, AdoptionError>| {
        shared
            .manifest
            .update(shared, source, |adoption| change(adoption))
    };
    if !update(&mut |adoption| adoption.root_text(&upload.root)) {
        return (StatusCode::BAD_REQUEST, "the root was not taken\n".into());
    }
    for text in &upload.services {
        update(&mut |adoption| adoption.service_text(&ContentHash::of(text), text));
    }
    update(&mut |adoption| Ok(adoption.sources_asked()));
    json(&shared.manifest.read(|a| a.status()))
}

fn json<T: Serialize>(value: &T) -> Page {
    match serde_json::to_string(value) {
        Ok(text) => (StatusCode::OK, text + "\n"),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}
