use std::time::Duration;

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::server_table::ServerTable;

fn servers(count: usize) -> Vec<BackendServer> {
    let one = |at: usize| BackendServer {
        name: format!("i-{at:010x}").into(),
        service: format!("service-{}", at % 2).into(),
        address: ([10, 6, 64, (at % 200) as u8], 8362).into(),
        zone: format!("hsinchu-{}", at % 6).into(),
        slots: 2,
        draining: at.is_multiple_of(7),
        cold_for: Duration::from_millis(at as u64),
        started_at: Some(1_800_000_000_000 + at as u64),
    };
    (0..count).map(one).collect()
}

#[test]
fn a_table_is_decoded_to_the_same_servers() {
    let servers = servers(30);
    let line = serde_json::to_vec(&ServerTable::from_servers(servers.iter())).unwrap();
    let table: ServerTable = serde_json::from_slice(&line).unwrap();
    assert_eq!(table.servers().unwrap(), servers);
}

/// Failure: VMs of different versions, or broken bytes: a row refers to a service that is not in the table.
#[test]
fn a_row_without_its_service_is_an_error() {
    let line = r#"{"services":[],"zones":["a"],"rows":[["i-1",0,0,"10.0.0.1:80",2,false,0,null]]}"#;
    let table: ServerTable = serde_json::from_str(line).unwrap();
    let error = table.servers().unwrap_err().to_string();
    assert!(error.contains("i-1"), "{error}");
}
