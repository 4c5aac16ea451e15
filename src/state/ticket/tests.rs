//! Guards against a non-repeatable request that runs twice.

use std::collections::BTreeMap;

use proptest::prelude::*;

use super::*;

fn issuer(rng: &mut fastrand::Rng, now: Instant) -> TicketIssuer {
    let name = "a-1".parse().expect("valid name");
    let incarnation = Incarnation::random(rng);
    TicketIssuer::new(name, incarnation, rng.fork(), now)
}

fn answer(bytes: usize) -> StoredAnswer {
    StoredAnswer {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: vec![b'x'; bytes].into(),
    }
}

#[derive(Debug, Clone)]
enum Step {
    Issue,
    Present { ticket: usize, request: u8 },
    Refuse(usize),
    Done(usize),
    Wait(u64),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Issue),
        6 => (any::<usize>(), 0_u8..2).prop_map(|(ticket, request)| Step::Present { ticket, request }),
        2 => any::<usize>().prop_map(Step::Refuse),
        2 => any::<usize>().prop_map(Step::Done),
        2 => (0_u64..40_000).prop_map(Step::Wait),
        1 => Just(Step::Restart),
    ]
}

proptest! {
    /// Guards against a ticket that runs twice after any sequence of presentations, refusals,
    /// answers, expiry and restarts, and against a refused one that runs later.
    #[test]
    fn ticket_runs_at_most_once(seed: u64, steps in prop::collection::vec(step(), 0..150)) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut now = Instant::now();
        let mut issuer = issuer(&mut rng, now);
        let mut tickets: Vec<Ticket> = Vec::new();
        let mut runs: BTreeMap<usize, u32> = BTreeMap::new();
        for step in steps {
            let pick = |n: usize| (!tickets.is_empty()).then(|| n % tickets.len());
            match step {
                Step::Issue => tickets.push(issuer.issue(now)),
                Step::Present { ticket, request } => {
                    let Some(n) = pick(ticket) else { continue };
                    let text = tickets[n].to_string();
                    let read: Ticket = text.parse().expect("own text");
                    if issuer.present(&read, Fingerprint([request; 16]), now) == TicketStatus::First {
                        *runs.entry(n).or_default() += 1;
                        prop_assert_eq!(runs[&n], 1);
                    }
                }
                Step::Refuse(n) => {
                    if let Some(n) = pick(n) {
                        issuer.refuse(&tickets[n]);
                    }
                }
                Step::Done(n) => {
                    if let Some(n) = pick(n) {
                        issuer.done(&tickets[n], Some(answer(n)));
                    }
                }
                Step::Wait(ms) => now += Duration::from_millis(ms),
                Step::Restart => issuer = super::tests::issuer(&mut rng, now),
            }
        }
    }

    /// Guards against accepting a ticket after a change of any character of its text.
    #[test]
    fn altered_ticket_is_unknown(at: prop::sample::Index, with in "[0-9a-f:]") {
        let now = Instant::now();
        let mut issuer = issuer(&mut fastrand::Rng::with_seed(1), now);
        let text = issuer.issue(now).to_string();
        let at = at.index(text.len());
        let altered = format!("{}{with}{}", &text[..at], &text[at + 1..]);
        if altered == text {
            return Ok(());
        }
        if let Ok(ticket) = altered.parse::<Ticket>() {
            let presented = issuer.present(&ticket, Fingerprint([0; 16]), now);
            prop_assert_eq!(presented, TicketStatus::Unknown);
        }
    }
}

/// Guards against a wrong state of a ticket that is presented again.
#[test]
fn presented_again() {
    let now = Instant::now();
    let mut issuer = issuer(&mut fastrand::Rng::with_seed(1), now);
    let request = Fingerprint([1; 16]);
    let mut presented = |end: fn(&mut TicketIssuer, &Ticket)| {
        let ticket = issuer.issue(now);
        assert_eq!(issuer.present(&ticket, request, now), TicketStatus::First);
        end(&mut issuer, &ticket);
        let other = issuer.present(&ticket, Fingerprint([2; 16]), now);
        assert_eq!(other, TicketStatus::Mismatch);
        issuer.present(&ticket, request, now)
    };
    assert_eq!(presented(|_, _| {}), TicketStatus::InProgress);
    assert_eq!(presented(|i, t| i.refuse(t)), TicketStatus::Refused);
    assert_eq!(presented(|i, t| i.done(t, None)), TicketStatus::Done(None));
    let small = presented(|i, t| i.done(t, Some(answer(10))));
    assert_eq!(small, TicketStatus::Done(Some(answer(10))));
    let large = presented(|i, t| i.done(t, Some(answer(STORED_MAX_BYTES + 1))));
    assert_eq!(large, TicketStatus::Done(None));
    // A request that was answered can't be recorded as refused later.
    let late = presented(|i, t| {
        i.done(t, None);
        i.refuse(t);
    });
    assert_eq!(late, TicketStatus::Done(None));
}

/// Guards against a ticket that is valid at another issuer or after its lifetime.
#[test]
fn foreign_and_expired_tickets_are_unknown() {
    let now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut first, mut second) = (issuer(&mut rng, now), issuer(&mut rng, now));
    let ticket = first.issue(now);
    let request = Fingerprint([1; 16]);
    assert_eq!(second.present(&ticket, request, now), TicketStatus::Unknown);
    assert_eq!(
        first.present(&ticket, request, now + LIFETIME),
        TicketStatus::Unknown
    );
    let earlier = now + LIFETIME - Duration::from_millis(1);
    assert_eq!(
        first.present(&ticket, request, earlier),
        TicketStatus::First
    );
}

/// Guards against tables that grow without bound, and against a dropped ticket that runs again.
#[test]
fn full_table_drops_old_tickets_which_then_never_run() {
    let now = Instant::now();
    let mut issuer = issuer(&mut fastrand::Rng::with_seed(1), now);
    let request = Fingerprint([1; 16]);
    let unused = issuer.issue(now);
    let first = issuer.issue(now);
    assert_eq!(issuer.present(&first, request, now), TicketStatus::First);
    for _ in 0..TICKETS_MAX {
        let ticket = issuer.issue(now);
        assert_eq!(issuer.present(&ticket, request, now), TicketStatus::First);
        issuer.done(&ticket, Some(answer(1_024)));
        assert!(issuer.len() <= TICKETS_MAX);
        assert!(issuer.stored_bytes() <= STORED_TOTAL_MAX_BYTES);
    }
    assert_eq!(issuer.present(&first, request, now), TicketStatus::Unknown);
    assert_eq!(issuer.present(&unused, request, now), TicketStatus::Unknown);
    issuer.present(&unused, request, now + LIFETIME);
    assert_eq!((issuer.len(), issuer.stored_bytes()), (0, 0));
}
