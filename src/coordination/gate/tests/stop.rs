//! Tests of the admission beside a process that is to stop.

use super::*;

/// Guards against a call that is admitted beside a stopping process and cut when it ends.
#[test]
fn call_that_may_outlast_the_process_is_refused() {
    block_on(async {
        let gate = warm_gate(5, Control::Ranked);
        for duration in [10, 800, 20] {
            let permit = gate.admit(call(1, 1)).await.expect("the gate has room");
            sleep(Duration::from_millis(duration)).await;
            permit.finish(Duration::from_millis(duration), CallEnd::Answered);
        }
        let stop_at = Instant::now() + Duration::from_secs(2);
        gate.set_stop(stop_at, stop_at);
        let long = |importance| AdmissionRequest {
            deadline: Instant::now() + Duration::from_secs(10),
            ..call(importance, 2)
        };
        let unknown = refusal_reason(&gate, long(2)).await;
        assert_eq!(unknown, Some(RefusalReason::Stopping), "duration not known");
        assert_eq!(
            refusal_reason(&gate, call(2, 3)).await,
            None,
            "it ends by its deadline"
        );
        // Calls of the class have taken up to 800 ms, with the margin for three calls 1,013 ms.
        sleep(Duration::from_millis(980)).await;
        assert_eq!(refusal_reason(&gate, long(1)).await, None);
        sleep(Duration::from_millis(20)).await;
        assert_eq!(
            refusal_reason(&gate, long(1)).await,
            Some(RefusalReason::Stopping)
        );

        // The same holds for calls that have waited.
        let gate = warm_gate(1, Control::Ranked);
        let running = gate.admit(call(1, 1)).await.expect("the gate has room");
        let waiting = gate.clone();
        let waiting = tokio::task::spawn_local(async move {
            let deadline = Instant::now() + Duration::from_secs(10);
            refusal_reason(
                &waiting,
                AdmissionRequest {
                    deadline,
                    ..call(1, 2)
                },
            )
            .await
        });
        sleep(Duration::from_millis(300)).await;
        let stop_at = Instant::now() + Duration::from_millis(100);
        gate.set_stop(stop_at, stop_at);
        running.finish(Duration::from_millis(300), CallEnd::Answered);
        let refused = waiting.await.expect("the call does not panic");
        assert_eq!(refused, Some(RefusalReason::Stopping));
    });
}

/// Guards against a call that is admitted late in a stop because all recent ones were short, takes
/// longer than any of them and is cut.
#[test]
fn recent_durations_vouch_for_no_call_late_in_a_stop() {
    block_on(async {
        let gate = warm_gate(5, Control::Ranked);
        for root in 0..40 {
            let permit = gate.admit(call(1, root)).await.expect("the gate has room");
            permit.finish(Duration::from_millis(10), CallEnd::Answered);
        }
        let now = Instant::now();
        gate.set_stop(now + Duration::from_secs(5), now + Duration::from_secs(2));
        let within = |ms| AdmissionRequest {
            deadline: Instant::now() + Duration::from_millis(ms),
            ..call(1, 50)
        };
        sleep(Duration::from_millis(1_990)).await;
        assert_eq!(refusal_reason(&gate, within(9_000)).await, None);
        sleep(Duration::from_millis(10)).await;
        let refused = refusal_reason(&gate, within(9_000)).await;
        assert_eq!(refused, Some(RefusalReason::Stopping));
        assert_eq!(refusal_reason(&gate, within(3_000)).await, None);
    });
}
