//! Asks VMs whose addresses the settings name which VMs there are.
//!
//! They may be old or down; the platform's store is the second way. Asked first, they spare it a call for each VM
//! that starts, and they answer while it is away.

use std::net::SocketAddr;
use std::time::Duration;

use kingcuploft::entry::zone_record::ZoneRecord;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};

use super::dial::Dial;
use super::frame::Frame;

/// How long they are waited for: a round trip to another zone, to a small machine that is asked by hundreds.
const QUERY_TIMEOUT: Duration = Duration::from_millis(25);

/// How long telling them may take.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the records that the seeds know; none if none of them answers in time. All are asked at once, as each may
/// be down.
pub async fn query<D: Dial + Clone + 'static>(
    network: &D,
    seeds: &[SocketAddr],
    own: Option<SocketAddr>,
) -> Vec<ZoneRecord> {
    let mut queries = tokio::task::JoinSet::new();
    for seed in seeds.iter().filter(|seed| Some(**seed) != own) {
        queries.spawn_local(query_one(network.clone(), *seed));
    }
    let until = tokio::time::Instant::now() + QUERY_TIMEOUT;
    let mut records = Vec::new();
    while let Ok(Some(answer)) = tokio::time::timeout_at(until, queries.join_next()).await {
        if let Ok(Ok(found)) = answer {
            records.extend(found);
        }
        if !records.is_empty() {
            break;
        }
    }
    records
}

/// Tells the seeds a record, so that those who ask them next find it.
pub fn publish<D: Dial + Clone + 'static>(network: &D, seeds: Vec<SocketAddr>, record: ZoneRecord) {
    let line = Frame::Zones(vec![record]).to_line();
    for seed in seeds {
        let (line, network) = (line.clone(), network.clone());
        tokio::task::spawn_local(tokio::time::timeout(PUBLISH_TIMEOUT, async move {
            let mut stream = network.dial(seed).await?;
            stream.write_all(&line).await?;
            stream.shutdown().await
        }));
    }
}

async fn query_one<D: Dial>(network: D, seed: SocketAddr) -> std::io::Result<Vec<ZoneRecord>> {
    let mut stream = network.dial(seed).await?;
    stream.write_all(&Frame::ZonesRequest.to_line()).await?;
    let mut line = Vec::new();
    BufReader::new(stream).read_until(b'\n', &mut line).await?;
    match serde_json::from_slice(&line) {
        Ok(Frame::Zones(records)) => Ok(records),
        Ok(_) | Err(_) => Ok(Vec::new()),
    }
}
