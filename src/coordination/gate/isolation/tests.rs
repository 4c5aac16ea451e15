//! Tests that a request which crashes servers is convicted, and that no other request is.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use tokio::time::sleep;

use super::{
    super::{
        Gate, Refusal, RefusalReason,
        tests::{TIMEOUT, block_on, call, warm_gate},
    },
    *,
};
use crate::state::{limit::CallEnd, object::Control};

/// A service of several gates whose servers crash when they run the crashing request. Each request
/// is retried at the next gate until it completes or is convicted.
struct Service {
    gates: Vec<Gate>,
    crashes: RefCell<u32>,
    incarnations: RefCell<Vec<u32>>,
    done: RefCell<BTreeMap<u8, Option<RefusalReason>>>,
}

const CRASHING: u8 = 255;

impl Service {
    fn crash(&self, at: usize) {
        *self.crashes.borrow_mut() += 1;
        self.incarnations.borrow_mut()[at] += 1;
        self.gates[at].server_lost();
        let report = self.gates[at].suspects();
        self.gates
            .iter()
            .for_each(|gate| gate.update_suspects(&report));
    }

    async fn request(self: Rc<Self>, request: u8, mut at: usize, frequent: bool) {
        loop {
            at = (at + 1) % self.gates.len();
            let mut call = call(1, request);
            if frequent {
                call.fingerprint = Fingerprint([7; 16]);
            }
            let permit = match self.gates[at].admit(call).await {
                Ok(permit) => permit,
                Err(Refusal {
                    why: RefusalReason::Convicted,
                    ..
                }) => {
                    self.done
                        .borrow_mut()
                        .insert(request, Some(RefusalReason::Convicted));
                    return;
                }
                Err(_) => {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            let incarnation = self.incarnations.borrow()[at];
            sleep(Duration::from_millis(if request == CRASHING {
                10
            } else {
                30
            }))
            .await;
            if self.incarnations.borrow()[at] != incarnation {
                permit.finish(Duration::ZERO, CallEnd::Lost);
                continue;
            }
            if request == CRASHING {
                // The connection is lost before the crash is detected.
                permit.finish(Duration::ZERO, CallEnd::Lost);
                self.crash(at);
                let gate = self.gates[at].clone();
                tokio::task::spawn_local(async move {
                    sleep(Duration::from_millis(200)).await;
                    gate.server_restarted();
                });
                continue;
            }
            permit.finish(Duration::from_millis(30), CallEnd::Answered);
            self.done.borrow_mut().insert(request, None);
            return;
        }
    }
}

/// Guards against a request that crashes one server after another, and against other requests being
/// convicted or never completing. About half of the other requests share one fingerprint.
#[test]
fn crashing_request_is_convicted_after_two_crashes() {
    for seed in 0..50 {
        block_on(async {
            let mut rng = fastrand::Rng::with_seed(seed);
            let gates = 3;
            let service = Rc::new(Service {
                gates: (0..gates)
                    .map(|_| warm_gate(20, Control::Adaptive))
                    .collect(),
                crashes: RefCell::default(),
                incarnations: RefCell::new(vec![0; gates]),
                done: RefCell::default(),
            });
            let ticker = service.clone();
            tokio::task::spawn_local(async move {
                loop {
                    sleep(Duration::from_millis(100)).await;
                    ticker.gates.iter().for_each(Gate::tick);
                }
            });
            let crashing_at = rng.u8(10..90);
            for request in 0..100 {
                let request = if request == crashing_at {
                    CRASHING
                } else {
                    request
                };
                let frequent = request != CRASHING && rng.bool();
                tokio::task::spawn_local(service.clone().request(
                    request,
                    rng.usize(..gates),
                    frequent,
                ));
                sleep(Duration::from_millis(rng.u64(0..5))).await;
            }
            sleep(Duration::from_secs(30)).await;
            let done = service.done.take();
            assert_eq!(done.len(), 100, "seed {seed}: requests that ended");
            let convicted: BTreeSet<_> = done.iter().filter(|(_, w)| w.is_some()).collect();
            assert_eq!(convicted.len(), 1, "seed {seed}: {convicted:?}");
            assert_eq!(
                done[&CRASHING],
                Some(RefusalReason::Convicted),
                "seed {seed}"
            );
            assert!(*service.crashes.borrow() <= 2, "seed {seed}");
        });
    }
}

/// Guards against a frequent request, which completes all the time, becoming a suspect through a
/// crash or a report from another node.
#[test]
fn recently_completed_request_does_not_become_suspect() {
    block_on(async {
        let gate = warm_gate(20, Control::Adaptive);
        let frequent = gate.admit(call(1, 1)).await.expect("the gate has room");
        frequent.finish(Duration::from_millis(1), CallEnd::Answered);
        let running = gate.admit(call(1, 1)).await.expect("the gate has room");
        let fresh = gate.admit(call(1, 2)).await.expect("the gate has room");
        gate.update_suspects(&SuspectReport {
            suspects: vec![(Fingerprint([1; 16]), TIMEOUT)],
            ..SuspectReport::default()
        });
        assert_eq!(gate.suspects(), SuspectReport::default());
        gate.server_lost();
        let suspects = gate.suspects().suspects;
        let suspects: Vec<_> = suspects.into_iter().map(|(f, _)| f).collect();
        assert_eq!(suspects, [Fingerprint([2; 16])]);
        drop((running, fresh));
    });
}
