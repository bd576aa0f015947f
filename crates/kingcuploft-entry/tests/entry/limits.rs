//! Backend servers that name how many requests a second they take from all VMs together.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft_entry::run::Running;

use crate::following::{followers, zone_of};
use crate::server::{Act, TestServer};
use crate::store::TestStore;
use crate::world::{Caller, configuration, entry, look, play, until};

/// What the limited server names, in requests a second.
const LIMIT: u32 = 2;

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// What the users allow within it: one and a half times the limit, and five.
const MOST: usize = 6 * LIMIT as usize + 5;

/// How long VMs may take to learn of a limit.
const LEARN: Duration = Duration::from_secs(2);

/// The pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);

async fn fleet(vms: usize, acts: &[Act]) -> (Rc<Vec<Running>>, Vec<TestServer>, TestStore) {
    let store = TestStore::default();
    store.0.configure(configuration(1));
    let mut servers = Vec::new();
    for (at, act) in acts.iter().enumerate() {
        let server = TestServer::start(*act).await;
        store.0.serve(entry(at, &server));
        servers.push(server);
    }
    let vms = zone_of(vms, &store).await;
    until(|| followers(&vms) == vms.len() - 1).await;
    (Rc::new(vms), servers, store)
}

/// Asks all VMs in turn for so long; returns how many requests were not answered with success.
async fn ask_for(vms: &[Running], time: Duration) -> usize {
    let begun = Instant::now();
    let mut failed = 0;
    let mut callers = Vec::new();
    for vm in vms {
        callers.push(Caller::connect(vm.callers).await);
    }
    for at in 0.. {
        if begun.elapsed() >= time {
            break;
        }
        let caller = &mut callers[at % vms.len()];
        caller.send(&look(&format!("r{at}"))).await;
        let answer = caller.answer().await.expect("an answer");
        failed += usize::from(answer.status != 200);
        tokio::time::sleep(PAUSE).await;
    }
    failed
}

/// Guards against VMs that send a server more than it says it takes, each for itself or all together.
#[test]
fn a_server_that_names_a_limit_gets_no_more_from_all_vms_together() {
    play(async {
        let acts = [Act::Limited(LIMIT), Act::Answer, Act::Answer];
        let (vms, servers, _store) = fleet(6, &acts).await;
        assert_eq!(ask_for(&vms, LEARN).await, 0);
        let before = servers[0].runs.get();
        assert_eq!(ask_for(&vms, WINDOW).await, 0);
        let got = (servers[0].runs.get() - before) as usize;
        assert!(got <= MOST, "{got}");
    });
}
