//! Asks the seeds, VMs whose addresses the settings name, for the records of the zones.
//!
//! Seeds may be outdated or down; the platform's store is the second source. Asked first, they save the store a call
//! for each VM that starts, and they answer while it is away.

use std::net::SocketAddr;
use std::time::Duration;

use kingcuploft::entry::zone_record::ZoneRecord;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};

use super::dial::Dial;
use super::frame::Frame;
use crate::clock;

/// How long the seeds' answers are waited for: a round trip to another zone, to a small machine that hundreds of VMs
/// ask.
const QUERY_TIMEOUT: Duration = Duration::from_millis(25);

/// How long sending a frame to another VM may take.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the records that the seeds know; none if no seed answers in time. All are asked at once, as each may be
/// down, and the first answer that names a record is taken.
pub async fn query<D: Dial + Clone + 'static>(
    network: &D,
    seeds: &[SocketAddr],
    own: Option<SocketAddr>,
) -> Vec<ZoneRecord> {
    let mut queries = tokio::task::JoinSet::new();
    for seed in seeds.iter().filter(|seed| Some(**seed) != own) {
        queries.spawn_local(query_one(network.clone(), *seed));
    }
    let deadline = clock::after(clock::now(), QUERY_TIMEOUT).into();
    let mut records = Vec::new();
    while let Ok(Some(result)) = tokio::time::timeout_at(deadline, queries.join_next()).await {
        if let Ok(Ok(found)) = result {
            records.extend(found);
        }
        if !records.is_empty() {
            break;
        }
    }
    records
}

/// Sends a record to the seeds, for the VMs that ask them next.
pub fn publish<D: Dial + Clone + 'static>(network: &D, seeds: Vec<SocketAddr>, record: ZoneRecord) {
    send_to_each(network, seeds, &Frame::Zones(vec![record]));
}

/// Sends a frame to each of these VMs; those that can't be reached soon are left out.
pub fn send_to_each<D: Dial + Clone + 'static>(
    network: &D,
    addresses: impl IntoIterator<Item = SocketAddr>,
    frame: &Frame,
) {
    let line = frame.to_line();
    for address in addresses {
        let (line, network) = (line.clone(), network.clone());
        tokio::task::spawn_local(tokio::time::timeout(PUBLISH_TIMEOUT, async move {
            let mut stream = network.dial(address).await?;
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
