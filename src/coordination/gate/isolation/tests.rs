//! Guards against requests that crash one server after another, and against blaming others.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use tokio::time::sleep;

use super::{
    super::{
        Gate, Refusal, RefusalReason,
        tests::{SPAN, ask, block_on, warm},
    },
    *,
};
use crate::state::{limit::CallEnd, object::Control};

/// A service of several gates whose servers crash when they run the poison. Each request is sent
/// again to the next gate until it completes or is convicted.
struct Service {
    gates: Vec<Gate>,
    crashes: RefCell<u32>,
    epochs: RefCell<Vec<u32>>,
    done: RefCell<BTreeMap<u8, Option<RefusalReason>>>,
}

const POISON: u8 = 255;

impl Service {
    fn crash(&self, at: usize) {
        *self.crashes.borrow_mut() += 1;
        self.epochs.borrow_mut()[at] += 1;
        self.gates[at].server_lost();
        let news = self.gates[at].suspects();
        self.gates
            .iter()
            .for_each(|gate| gate.update_suspects(&news));
    }

    async fn request(self: Rc<Self>, request: u8, mut at: usize, popular: bool) {
        loop {
            at = (at + 1) % self.gates.len();
            let mut ask = ask(1, request);
            if popular {
                ask.fingerprint = Fingerprint([7; 16]);
            }
            let permit = match self.gates[at].admit(ask).await {
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
            let epoch = self.epochs.borrow()[at];
            sleep(Duration::from_millis(if request == POISON {
                10
            } else {
                30
            }))
            .await;
            if self.epochs.borrow()[at] != epoch {
                permit.finish(Duration::ZERO, CallEnd::Lost);
                continue;
            }
            if request == POISON {
                // The connections break before the crash is recognised as one.
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

/// Guards against a crashing request that takes down one server after another, and against
/// innocent requests that are blamed or never complete. Some share one fingerprint.
#[test]
fn crashing_request_is_convicted_after_two_crashes() {
    for seed in 0..50 {
        block_on(async {
            let mut rng = fastrand::Rng::with_seed(seed);
            let gates = 3;
            let service = Rc::new(Service {
                gates: (0..gates).map(|_| warm(20, Control::Adaptive)).collect(),
                crashes: RefCell::default(),
                epochs: RefCell::new(vec![0; gates]),
                done: RefCell::default(),
            });
            let ticked = service.clone();
            tokio::task::spawn_local(async move {
                loop {
                    sleep(Duration::from_millis(100)).await;
                    ticked.gates.iter().for_each(Gate::tick);
                }
            });
            let poison_at = rng.u8(10..90);
            for request in 0..100 {
                let request = if request == poison_at {
                    POISON
                } else {
                    request
                };
                let popular = request != POISON && rng.bool();
                tokio::task::spawn_local(service.clone().request(
                    request,
                    rng.usize(..gates),
                    popular,
                ));
                sleep(Duration::from_millis(rng.u64(0..5))).await;
            }
            sleep(Duration::from_secs(30)).await;
            let done = service.done.take();
            assert_eq!(done.len(), 100, "seed {seed}: all requests end");
            let convicted: BTreeSet<_> = done.iter().filter(|(_, w)| w.is_some()).collect();
            assert_eq!(convicted.len(), 1, "seed {seed}: {convicted:?}");
            assert_eq!(done[&POISON], Some(RefusalReason::Convicted), "seed {seed}");
            assert!(*service.crashes.borrow() <= 2, "seed {seed}");
        });
    }
}

/// Guards against blaming a popular request that completes all the time, by one crash or by news.
#[test]
fn request_that_completed_a_moment_ago_is_no_suspect() {
    block_on(async {
        let gate = warm(20, Control::Adaptive);
        let popular = gate.admit(ask(1, 1)).await.expect("room");
        popular.finish(Duration::from_millis(1), CallEnd::Answered);
        let running = gate.admit(ask(1, 1)).await.expect("room");
        let fresh = gate.admit(ask(1, 2)).await.expect("room");
        gate.update_suspects(&SuspectReport {
            suspects: vec![(Fingerprint([1; 16]), SPAN)],
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
