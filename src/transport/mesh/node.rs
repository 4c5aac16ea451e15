//! Start, periodic tasks and shutdown of one node on a platform.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use tokio::time::{Instant, MissedTickBehavior, interval, sleep, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::{
    coordination::gate::GateState,
    protocol::directory::Directory,
    state::{
        counters::Counter,
        id::{ClassName, ServiceName},
        priority::Level,
    },
};

use super::{
    super::{
        health,
        net::Net,
        node::{Result, bind, spawn_listener},
        server::{HttpVersion, Shutdown},
        tasks::Tasks,
    },
    follow,
    inbound::Inbound,
    intake,
    metrics::Metrics,
    outbound::Outbound,
    pressure::PressureLog,
    quota,
    ready::Ready,
    shared::Mesh,
    suspects,
};

const TICK_MS: u64 = 100;
/// Interval of the connection attempts to unreachable nodes; one attempt takes up to 500 ms.
const PROBE_INTERVAL: Duration = Duration::from_millis(600);
/// Minimum time between two log lines about the same admission level.
const LEVEL_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the stop signal for which callers are still served: the platform checks once a second
/// whether the node is ready, and sends it no more callers after two failed checks.
const READY_NOTICE_MS: u64 = 2_300;
/// Upper bound on that time, as a share of the grace period.
const READY_NOTICE_SHARE: f64 = 0.4;
/// Time before the end of the grace period at which requests still in progress are cancelled; it is
/// left for the process to exit on a busy instance.
const EXIT_MS: u64 = 400;
/// Time before the cancellation by which admitted requests must have ended, left for their answers.
const ANSWER_MS: u64 = 200;
/// Upper bound on each of these times, as a share of the grace period.
const EXIT_SHARE: f64 = 0.1;
/// Time for which the connections of other nodes stay open after the last answer. One that is paused
/// or cut off does not confirm that it will send no more.
const LINGER_MS: u64 = 200;
/// Interval of the checks whether requests are in progress.
const IDLE_CHECK_MS: u64 = 20;
/// Time for which requests stay queued after the backend server has begun to drain; they are then
/// refused.
const DRAINING_WAIT_MS: u64 = 700;

const READY_CONNECTIONS: usize = 16;

/// Runs a node until `stop` is cancelled, then drains it; returns after its requests and tasks have
/// ended.
///
/// # Errors
/// A listener could not be bound.
pub async fn run<N: Net, D: Directory>(
    mesh: Rc<Mesh<N, D>>,
    stop: CancellationToken,
) -> Result<()> {
    let at = &mesh.settings;
    let (outbound, inbound, ready) = (
        bind(&mesh.net, at.outbound).await?,
        bind(&mesh.net, at.inbound).await?,
        bind(&mesh.net, at.ready).await?,
    );
    let background_stop = CancellationToken::new();
    let background = Tasks::default();
    background.spawn(follow::run(mesh.clone(), background_stop.clone()));
    background.spawn(health::watch(mesh.clone(), background_stop.clone()));
    background.spawn(tick(mesh.clone(), background_stop.clone()));
    background.spawn(probe(mesh.clone(), background_stop.clone()));
    background.spawn(suspects::run(mesh.clone(), background_stop.clone()));
    background.spawn(quota::run(mesh.clone(), background_stop.clone()));
    background.spawn(pace(mesh.clone(), background_stop.clone()));

    let (callers, peers, admin_stop) = (
        ListenerTasks::default(),
        ListenerTasks::default(),
        Shutdown::default(),
    );
    let (version, max_connections) = (HttpVersion::Http1, at.limits.callers());
    spawn_listener(
        &callers.tasks,
        outbound,
        version,
        max_connections,
        Outbound(mesh.clone()),
        &callers.stop,
    );
    let (version, max_connections) = (HttpVersion::Http2, at.limits.peers());
    spawn_listener(
        &peers.tasks,
        inbound,
        version,
        max_connections,
        Inbound(mesh.clone()),
        &peers.stop,
    );
    let (version, max_connections) = (HttpVersion::Http1, READY_CONNECTIONS);
    let admin_tasks = Tasks::default();
    spawn_listener(
        &admin_tasks,
        ready,
        version,
        max_connections,
        Ready(mesh.clone()),
        &admin_stop,
    );

    if let Some(at) = at.metrics {
        let bound = bind(&mesh.net, at).await?;
        spawn_listener(
            &admin_tasks,
            bound,
            version,
            max_connections,
            Metrics(mesh.clone()),
            &admin_stop,
        );
    }

    stop.cancelled().await;
    drain(&mesh, &callers, &peers).await;
    admin_stop.drain.cancel();
    admin_stop.abort.cancel();
    admin_tasks.join().await;
    background_stop.cancel();
    background.join().await;
    mesh.links.close().await;
    mesh.pool.close().await;
    Ok(())
}

/// The connection tasks of one listener.
#[derive(Default)]
struct ListenerTasks {
    tasks: Tasks,
    stop: Shutdown,
}

impl ListenerTasks {
    /// Accepts no new connections, closes the open ones after their requests, and cancels those
    /// still open at `cancel_at`; the grace period ends at `grace_end`.
    async fn end<N: Net, D>(&self, mesh: &Mesh<N, D>, cancel_at: Instant, grace_end: Instant) {
        self.stop.drain.cancel();
        if timeout_at(cancel_at, self.tasks.join()).await.is_err() {
            mesh.grace_end.set(Some(grace_end));
            self.abort().await;
        }
    }

    /// Closes all connections and waits until their tasks have ended.
    async fn abort(&self) {
        self.stop.abort.cancel();
        self.tasks.join().await;
    }
}

/// Stops the node without interrupting requests.
///
/// First the node reports that it is not ready, so that callers go elsewhere. Other nodes avoid it
/// once a response reports that it is retiring, but no other node can reach the backend server, so
/// it goes on to serve them. After the notice, it admits only requests whose deadline comes before
/// its end: the history of a class does not bound the next request. The outbound listener closes
/// last, because the backend server's own calls also arrive there.
async fn drain<N: Net, D>(mesh: &Mesh<N, D>, callers: &ListenerTasks, peers: &ListenerTasks) {
    // The signal may have arrived while the process was paused.
    let tick_due = mesh.tick_due.get() + Duration::from_millis(TICK_MS);
    let (started, grace) = (Instant::now().min(tick_due), mesh.bounds().grace);
    let grace_end = started + grace;
    let max = grace.mul_f64(EXIT_SHARE);
    let cancel_at = grace_end - Duration::from_millis(EXIT_MS).min(max);
    let finish_at = cancel_at - Duration::from_millis(ANSWER_MS).min(max);
    mesh.retiring.set(true);
    mesh.relay.wake();
    mesh.stop_end.set(Some(grace_end));
    let notice = Duration::from_millis(READY_NOTICE_MS).min(grace.mul_f64(READY_NOTICE_SHARE));
    let notice_end = started + notice;
    mesh.gate.set_stop(finish_at, notice_end);
    sleep_until(notice_end).await;
    mesh.refusing_callers.set(true);
    wait_idle(mesh, finish_at).await;
    mesh.closing.set(true);
    mesh.gate.set_state(GateState::Leaving);
    mesh.gate.refuse_queued();
    tokio::select! {
        biased;
        () = peers.end(mesh, cancel_at, grace_end) => {}
        () = linger(mesh) => peers.abort().await,
    }
    callers.end(mesh, cancel_at, grace_end).await;
}

/// Waits until some time after the last answer of the backend server to another node.
async fn linger<N: Net, D>(mesh: &Mesh<N, D>) {
    while mesh.gate.load().in_flight > 0 {
        sleep(Duration::from_millis(IDLE_CHECK_MS)).await;
    }
    sleep(Duration::from_millis(LINGER_MS)).await;
}

/// Waits until neither callers nor other nodes have requests in progress, at most until `deadline`.
async fn wait_idle<N: Net, D>(mesh: &Mesh<N, D>, deadline: Instant) {
    loop {
        let load = mesh.gate.load();
        let now = Instant::now();
        let is_idle = load.in_flight + load.queued == 0 && mesh.local_requests.get() == 0;
        if is_idle || now >= deadline {
            return;
        }
        sleep(Duration::from_millis(IDLE_CHECK_MS).min(deadline - now)).await;
    }
}

/// Runs the node's periodic work: expiry, cooldowns, admission level, connection pool and gauges.
async fn tick<N: Net, D: 'static>(mesh: Rc<Mesh<N, D>>, stop: CancellationToken) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut draining_since = None;
    let mut levels = LevelLog::default();
    let mut pressure = PressureLog::default();
    loop {
        let due = tokio::select! {
            biased;
            () = stop.cancelled() => return,
            due = ticks.tick() => due,
        };
        mesh.tick_due.set(due);
        let now = Instant::now();
        let expired = mesh.registry.borrow_mut().expire(now);
        for record in &expired {
            let age_ms = now.duration_since(record.read_at).as_millis() as u64;
            log::info!(backend:% = record.backend.id, revision:% = record.revision, age_ms; "backend server is taken as gone");
        }
        if !expired.is_empty() {
            mesh.apply_registry();
        }
        draining_since = draining_since.filter(|_| mesh.is_draining());
        if mesh.is_draining()
            && now >= *draining_since.get_or_insert(now) + Duration::from_millis(DRAINING_WAIT_MS)
        {
            mesh.gate.refuse_queued();
        }
        mesh.end_cooldowns(now);
        mesh.gate.tick();
        levels.log_changes(&mesh, now);
        pressure.observe(&mesh, now.saturating_duration_since(due), now);
        mesh.pool.prune();
        // They hold memory, and slots that others wait for.
        if mesh.memory.is_short() || mesh.gate.load().queued > 0 {
            mesh.unread.end_stalled(intake::STALL, now);
        }
        update_gauges(&mesh);
    }
}

/// Dispatches queued requests at the rate that the backend server accepts.
async fn pace<N: Net, D: 'static>(mesh: Rc<Mesh<N, D>>, stop: CancellationToken) {
    tokio::select! {
        biased;
        () = stop.cancelled() => {}
        () = mesh.gate.pace() => {}
    }
}

/// Connects to unreachable nodes in the background, so that no request has to wait for an attempt.
async fn probe<N: Net, D: 'static>(mesh: Rc<Mesh<N, D>>, stop: CancellationToken) {
    let probes = Tasks::default();
    loop {
        tokio::select! {
            biased;
            () = stop.cancelled() => break,
            () = sleep(PROBE_INTERVAL) => {}
        }
        for upstream in mesh.router.unreachable() {
            let mesh = mesh.clone();
            probes.spawn(async move {
                let reached = mesh.links.connect(upstream.peer).await.is_ok();
                mesh.router.set_reachable(&upstream.name, reached);
                if reached {
                    log::info!(backend:% = upstream.name, node:% = upstream.peer; "node can be reached again");
                }
            });
        }
    }
    probes.abort().await;
}

/// Logs changes of the admission levels, each at most once a second unless it returns to open.
#[derive(Default)]
struct LevelLog {
    own: LastLogged,
    downstream: BTreeMap<(ClassName, ServiceName), LastLogged>,
}

type LastLogged = Option<(Level, Instant)>;

impl LevelLog {
    fn log_changes<N: Net, D>(&mut self, mesh: &Mesh<N, D>, now: Instant) {
        let level = mesh.gate.level();
        if let Some(before) = changed_level(&mut self.own, level, now) {
            let load = mesh.gate.load();
            log::info!(level:%, load:%, before:%; "admission level changed");
        }
        let local_levels = mesh.local_levels.borrow();
        for (class, service, level) in local_levels.all(now) {
            let last_logged = self
                .downstream
                .entry((class.clone(), service.clone()))
                .or_default();
            if let Some(before) = changed_level(last_logged, level, now) {
                log::info!(class:%, service:%, level:%, before:%; "known level of a service changed");
            }
        }
    }
}

/// The level logged before, if the change to `level` is to be logged now.
fn changed_level(last_logged: &mut LastLogged, level: Level, now: Instant) -> Option<Level> {
    let (before, at) = last_logged.unwrap_or((Level::OPEN, now));
    let is_due = last_logged.is_none() || level == Level::OPEN || now >= at + LEVEL_LOG_INTERVAL;
    if level == before || !is_due {
        return None;
    }
    *last_logged = Some((level, now));
    Some(before)
}

fn update_gauges<N: Net, D>(mesh: &Mesh<N, D>) {
    let load = mesh.gate.load();
    let gauges = [
        (Counter::GateInFlight, load.in_flight.into()),
        (Counter::GateQueued, load.queued.into()),
        (Counter::GateLimit, load.limit.into()),
        (Counter::ServerConnections, mesh.pool.open().into()),
        (
            Counter::ServerConnectionsWaiting,
            mesh.pool.waiting().into(),
        ),
        (Counter::ServerConnectionsEvicted, mesh.pool.evicted()),
        (Counter::MemoryCharged, mesh.memory.used().0 as u64),
        (Counter::UpstreamsKnown, mesh.registry.borrow().len() as u64),
    ];
    for (counter, value) in gauges {
        mesh.counters.set(counter, value);
    }
}
