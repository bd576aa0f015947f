//! Upstreams leave some seconds after the store has cut a waiting watch.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::net::{Chance, Record};
use crate::store::Store;
use crate::upstream::{Arrival, Kind, Upstream};
use crate::vm::Fleet;
use crate::{Found, Requests, configuration, has_trouble, send_fresh};

const DRAIN_S: f64 = 2.0;

pub fn run(record: &Arc<Record>) -> Result<Found, String> {
    let store = Store::start(record);
    let chance = Arc::new(Chance::new(1));
    let arrivals = Arc::default();
    let kind = Arc::new(Kind {
        service: "trip-svc",
        zone: "a",
        slots: 2,
        queue: 4,
        work: Duration::from_millis(78),
        tells_load: true,
        health_work: Duration::from_millis(6),
    });
    let routes = [("view", "safe", 0.2, 0.5), ("hold", "unsafe", 0.25, 0.6)];
    store.put("config", "main", &configuration("trip-svc", &routes));
    let upstreams: Vec<_> = (1..=24)
        .map(|at| Upstream::start(format!("i-{at}"), &kind, record, &arrivals, &chance))
        .collect();
    upstreams
        .iter()
        .for_each(|upstream| upstream.register(&store));
    let fleet = Fleet::new(&["a", "a"], store.address, 6);
    let vms: Vec<_> = (0..2).map(|at| fleet.start(at, record)).collect();
    if !vms
        .iter()
        .all(|vm| vm.wait_until_ready(Duration::from_secs(15)))
    {
        return Err("the VMs did not become ready".into());
    }

    let requests: Requests = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..18)
        .map(|client| {
            let (record, requests, is_over) = (record.clone(), requests.clone(), is_over.clone());
            let to = vms[client % vms.len()].front;
            thread::spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let is_safe = number % 2 != 0;
                    let (path, deadline_ms) = if is_safe {
                        ("/view/1", 500)
                    } else {
                        ("/hold/1", 600)
                    };
                    let id = format!("c{client}-{number}");
                    let request = send_fresh(&record, to, &id, path, is_safe, deadline_ms);
                    requests.lock().unwrap().push(request);
                    thread::sleep(Duration::from_millis(30));
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(4));
    if has_trouble() {
        let cut = store.cut_watches("servers");
        record.add(format!("the store cuts {cut} waiting watches of servers"));
    }
    thread::sleep(Duration::from_secs(6));
    // Three of 24 upstreams leave within a fifth of a second, none of which reports that it drains: their entries are
    // removed, and they go on serving for a little more than drainS.
    let gone: Arc<Mutex<BTreeMap<String, f64>>> = Arc::default();
    let mut leaving = Vec::new();
    let count = |upstream: &Upstream| {
        let arrivals: std::sync::MutexGuard<'_, Vec<Arrival>> = arrivals.lock().unwrap();
        arrivals
            .iter()
            .filter(|arrival| arrival.upstream == upstream.id)
            .count()
    };
    let mut by_use: Vec<_> = upstreams
        .iter()
        .map(|upstream| (count(upstream), upstream))
        .collect();
    by_use.sort_by_key(|(count, _)| std::cmp::Reverse(*count));
    let leavers = [by_use[23].1, by_use[0].1, by_use[1].1];
    for (upstream, after_ms) in leavers.into_iter().zip([0, 100, 100]) {
        thread::sleep(Duration::from_millis(after_ms));
        store.remove("servers", &upstream.id);
        let at = record.add(format!(
            "the store acknowledges that the entry of {} is removed",
            upstream.id
        ));
        gone.lock().unwrap().insert(upstream.id.clone(), at);
        let upstream = upstream.clone();
        leaving.push(thread::spawn(move || {
            thread::sleep(Duration::from_secs_f64(DRAIN_S + 0.2));
            upstream.exit();
        }));
    }
    leaving.into_iter().for_each(|left| drop(left.join()));
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));

    let (gone, requests) = (
        gone.lock().unwrap().clone(),
        requests.lock().unwrap().clone(),
    );
    let mut summary = Vec::new();
    let mut broken = 0;
    for arrival in arrivals.lock().unwrap().iter() {
        let Some(gone_at) = gone.get(&arrival.upstream) else {
            continue;
        };
        if arrival.at <= gone_at + DRAIN_S {
            continue;
        }
        broken += 1;
        let request = requests.iter().find(|request| request.id == arrival.id);
        let end = request.map_or("unknown".into(), |request| request.status.to_string());
        summary.push(format!(
            "{}: reached {} {:.3} s after the acknowledgement (bound {DRAIN_S} s); the client got {end}",
            arrival.id,
            arrival.upstream,
            arrival.at - gone_at
        ));
    }
    let served = requests
        .iter()
        .filter(|request| request.status == 200)
        .count();
    summary.insert(
        0,
        format!(
            "{} requests, {served} served, {broken} sent to upstreams that were gone",
            requests.len()
        ),
    );
    for vm in &vms {
        let log = fleet.log(&vm.name);
        let back = log
            .lines()
            .filter(|line| line.contains("\"store_back\"") || line.contains("\"what\":\"lapsed\""));
        back.for_each(|line| summary.push(format!("log of {}: {line}", vm.name)));
    }
    Ok(Found { broken, summary })
}
