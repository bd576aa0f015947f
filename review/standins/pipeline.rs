//! A VM is stopped as planned while a client sends safe requests one behind the other, without waiting for the answers.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::net::{Chance, Record, read_message};
use crate::store::Store;
use crate::upstream::{Kind, Upstream};
use crate::vm::Fleet;
use crate::{Found, configuration, has_trouble, request_text};

const GRACE_S: f64 = 6.0;
const DEADLINE_MS: u32 = 3000;

pub fn run(record: &Arc<Record>) -> Result<Found, String> {
    let store = Store::start(record);
    let chance = Arc::new(Chance::new(1));
    let arrivals = Arc::default();
    let kind = Arc::new(Kind {
        service: "archive-service",
        zone: "a",
        slots: 4,
        queue: 4,
        work: Duration::from_millis(400),
        tells_load: true,
        health_work: Duration::from_millis(6),
    });
    store.put(
        "config",
        "main",
        &configuration("archive-service", &[("search", "safe", 1.0, 2.0)]),
    );
    for at in 1..=3 {
        Upstream::start(format!("i-{at}"), &kind, record, &arrivals, &chance).register(&store);
    }
    let fleet = Fleet::new(&["a", "a"], store.address, GRACE_S as u32);
    let mut vms: Vec<_> = (0..2).map(|at| fleet.start(at, record)).collect();
    if !vms
        .iter()
        .all(|vm| vm.wait_until_ready(Duration::from_secs(15)))
    {
        return Err("the VMs did not become ready".into());
    }
    thread::sleep(Duration::from_secs(4));

    // One client, one connection. Each request is sent before the one ahead of it is answered.
    let stream = TcpStream::connect(vms[0].front).map_err(|error| error.to_string())?;
    let _ = stream.set_nodelay(true);
    let sent: Arc<Mutex<BTreeMap<String, f64>>> = Arc::default();
    let may_send = Arc::new(AtomicBool::new(true));
    let sending = {
        let (mut stream, record, sent, may_send) = (
            stream.try_clone().unwrap(),
            record.clone(),
            sent.clone(),
            may_send.clone(),
        );
        thread::spawn(move || {
            for number in 1..=60 {
                if !may_send.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("p-{number}");
                let text = request_text(&id, "/search/all", true, DEADLINE_MS);
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                sent.lock()
                    .unwrap()
                    .insert(id.clone(), record.add(format!("client sends {id}")));
                thread::sleep(Duration::from_millis(150));
            }
        })
    };
    let reading = {
        let (mut stream, record, may_send) = (stream, record.clone(), may_send.clone());
        thread::spawn(move || {
            let (mut bytes, mut answered) = (Vec::new(), Vec::new());
            let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
            while let Some((head, _)) = read_message(&mut stream, &mut bytes) {
                let id = head.header("x-request-id").unwrap_or_default().to_owned();
                let closes = head.header("connection") == Some("close");
                record.add(format!(
                    "client gets {} for {id}{}",
                    head.status(),
                    if closes { ", Connection: close" } else { "" }
                ));
                answered.push(id);
                if closes {
                    may_send.store(false, Ordering::SeqCst);
                }
            }
            may_send.store(false, Ordering::SeqCst);
            (answered, record.add("client: the connection has ended"))
        })
    };
    thread::sleep(Duration::from_millis(1500));
    let term_at = record.now();
    if has_trouble() {
        vms[0].terminate();
        record.add(format!("SIGTERM to {}", vms[0].name));
    }
    let _ = sending.join();
    let (answered, ended_at) = reading.join().map_err(|_| "the reader failed")?;
    let exit = vms[0].exit_code();
    record.add(format!("{} has ended: {exit:?}", vms[0].name));

    let arrivals = arrivals.lock().unwrap().clone();
    let sent = sent.lock().unwrap().clone();
    let mut summary = Vec::new();
    let mut broken = 0;
    for (id, at) in &sent {
        if answered.contains(id) {
            continue;
        }
        let Some(arrival) = arrivals
            .iter()
            .find(|arrival| arrival.id == *id && arrival.has_run)
        else {
            summary.push(format!("{id}: unanswered, and not passed on: not counted"));
            continue;
        };
        let after_term = at - term_at;
        let lasted = ended_at - at;
        // Excused is what was sent no later than 3 s after the SIGTERM and was still run in the last sixth of the grace
        // time, and what had reached its deadline.
        let is_excused = after_term <= 3.0 && ended_at - term_at >= GRACE_S * 5.0 / 6.0;
        let is_late = lasted >= f64::from(DEADLINE_MS) / 1000.0;
        let counts =
            has_trouble() && ended_at - term_at <= GRACE_S + 1.0 && !is_excused && !is_late;
        broken += usize::from(counts || !has_trouble());
        summary.push(format!(
            "{id}: sent {after_term:.2} s after the SIGTERM, run by {}, and its connection ended {lasted:.2} s later without an answer{}",
            arrival.upstream,
            if counts { ": LOST" } else { "" }
        ));
    }
    summary.insert(
        0,
        format!(
            "{} requests sent, {} answered, {broken} lost",
            sent.len(),
            answered.len()
        ),
    );
    Ok(Found { broken, summary })
}
