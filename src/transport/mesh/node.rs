//! Assembly of one node on a platform.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout_at};
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
    metrics::Metrics,
    outbound::Outbound,
    ready::Ready,
    shared::Mesh,
};

const TICK_MS: u64 = 100;
/// Interval of the attempts to reach nodes that could not be reached; a dial takes up to 500 ms.
const PROBE_EVERY: Duration = Duration::from_millis(600);
/// Least time between two log lines about the admission level.
const LEVEL_EVERY: Duration = Duration::from_secs(1);
/// Time after a signal to stop in which callers are still served: the platform asks once a second
/// whether the node is ready and takes it out after two answers that it is not.
const NOTICE_MS: u64 = 2_300;
/// Most of the grace period that this time may take where the period is short.
const NOTICE_SHARE: f64 = 0.4;
/// Part of the grace period after which requests still in progress are cancelled; the rest is for
/// the end of the process on a busy instance.
const CANCEL_SHARE: f64 = 0.85;
/// Part of the grace period in which other nodes are still served; 15% of it is left for their last
/// requests, 0.9 s of the usual 6 s.
const ADMIT_SHARE: f64 = 0.7;
/// Interval of the checks whether requests are in progress.
const IDLE_CHECK_MS: u64 = 20;
/// Time for which calls may wait at a server that has begun to drain.
const DRAINING_WAIT_MS: u64 = 700;

const OUTBOUND_CONNECTIONS: usize = 2_048;
const INBOUND_CONNECTIONS: usize = 1_024;
const READY_CONNECTIONS: usize = 16;

/// Runs a node until `stop` is cancelled; returns after its requests and tasks have ended.
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
    let end = CancellationToken::new();
    let background = Tasks::default();
    background.spawn(follow::run(mesh.clone(), end.clone()));
    background.spawn(health::watch(mesh.clone(), end.clone()));
    background.spawn(tick(mesh.clone(), end.clone()));
    background.spawn(probe(mesh.clone(), end.clone()));

    let (callers, peers, asked) = (Served::default(), Served::default(), Shutdown::default());
    let (version, most) = (HttpVersion::Http1, OUTBOUND_CONNECTIONS);
    spawn_listener(
        &callers.tasks,
        outbound,
        version,
        most,
        Outbound(mesh.clone()),
        &callers.stop,
    );
    let (version, most) = (HttpVersion::Http2, INBOUND_CONNECTIONS);
    spawn_listener(
        &peers.tasks,
        inbound,
        version,
        most,
        Inbound(mesh.clone()),
        &peers.stop,
    );
    let (version, most) = (HttpVersion::Http1, READY_CONNECTIONS);
    let listening = Tasks::default();
    spawn_listener(
        &listening,
        ready,
        version,
        most,
        Ready(mesh.clone()),
        &asked,
    );

    if let Some(at) = at.metrics {
        let bound = bind(&mesh.net, at).await?;
        spawn_listener(
            &listening,
            bound,
            version,
            most,
            Metrics(mesh.clone()),
            &asked,
        );
    }

    stop.cancelled().await;
    leave(&mesh, &callers, &peers).await;
    asked.drain.cancel();
    asked.abort.cancel();
    listening.join().await;
    end.cancel();
    background.join().await;
    mesh.links.close().await;
    mesh.pool.close().await;
    Ok(())
}

/// The connections of one listener.
#[derive(Default)]
struct Served {
    tasks: Tasks,
    stop: Shutdown,
}

impl Served {
    /// Takes no new connections, ends the open ones after their requests, and cancels what is left
    /// at `last`.
    async fn end(&self, last: Instant) {
        self.stop.drain.cancel();
        if timeout_at(last, self.tasks.join()).await.is_err() {
            self.stop.abort.cancel();
            self.tasks.join().await;
        }
    }
}

/// Stops without cutting requests.
///
/// Callers are sent elsewhere first. Other nodes avoid this one as soon as an answer tells them, but
/// no other node can reach the backend server, so they are served as long as they need it. Callers'
/// connections end last, because the backend server's own calls come in there too.
async fn leave<N: Net, D>(mesh: &Mesh<N, D>, callers: &Served, peers: &Served) {
    let (started, grace) = (Instant::now(), mesh.settings.bounds.grace);
    let last = started + grace.mul_f64(CANCEL_SHARE);
    mesh.leaving.set(true);
    let notice = Duration::from_millis(NOTICE_MS);
    sleep(notice.min(grace.mul_f64(NOTICE_SHARE))).await;
    mesh.closing.set(true);
    idle(mesh, started + grace.mul_f64(ADMIT_SHARE)).await;
    mesh.gate.set_state(GateState::Leaving);
    peers.end(last).await;
    callers.end(last).await;
}

/// Waits until neither callers nor other nodes have requests in progress, at most until `last`.
async fn idle<N: Net, D>(mesh: &Mesh<N, D>, last: Instant) {
    loop {
        let load = mesh.gate.load();
        let now = Instant::now();
        let is_idle = load.in_flight + load.queued == 0 && mesh.entering.get() == 0;
        if is_idle || now >= last {
            return;
        }
        sleep(Duration::from_millis(IDLE_CHECK_MS).min(last - now)).await;
    }
}

async fn tick<N: Net, D: 'static>(mesh: Rc<Mesh<N, D>>, end: CancellationToken) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut draining = None;
    let mut levels = LevelLog::default();
    loop {
        tokio::select! {
            biased;
            () = end.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let now = Instant::now();
        let gone = mesh.registry.borrow_mut().expire(now);
        for belief in &gone {
            let age_ms = now.duration_since(belief.read_at).as_millis() as u64;
            log::info!(backend:% = belief.backend.id, revision = belief.revision, age_ms; "backend server is taken as gone");
        }
        if !gone.is_empty() {
            mesh.apply_registry();
        }
        draining = draining.filter(|_| mesh.is_draining());
        if mesh.is_draining()
            && now >= *draining.get_or_insert(now) + Duration::from_millis(DRAINING_WAIT_MS)
        {
            mesh.gate.refuse_queued();
        }
        mesh.end_rests(now);
        mesh.gate.tick();
        levels.tell(&mesh, now);
        mesh.pool.prune();
        gauges(&mesh);
    }
}

/// Tries to reach the nodes that could not be reached, so that no request has to.
async fn probe<N: Net, D: 'static>(mesh: Rc<Mesh<N, D>>, end: CancellationToken) {
    let probes = Tasks::default();
    loop {
        tokio::select! {
            biased;
            () = end.cancelled() => break,
            () = sleep(PROBE_EVERY) => {}
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

/// Logs changes of the admission levels, once a second at most for each while it moves.
#[derive(Default)]
struct LevelLog {
    own: Told,
    known: BTreeMap<(ClassName, ServiceName), Told>,
}

type Told = Option<(Level, Instant)>;

impl LevelLog {
    fn tell<N: Net, D>(&mut self, mesh: &Mesh<N, D>, now: Instant) {
        let level = mesh.gate.level();
        if let Some(before) = news(&mut self.own, level, now) {
            let load = mesh.gate.load();
            log::info!(level:%, load:%, before:%; "admission level changed");
        }
        let local_levels = mesh.local_levels.borrow();
        for (class, service, level) in local_levels.all(now) {
            let told = self
                .known
                .entry((class.clone(), service.clone()))
                .or_default();
            if let Some(before) = news(told, level, now) {
                log::info!(class:%, service:%, level:%, before:%; "known level of a service changed");
            }
        }
    }
}

/// The level told before, if the change to `level` is to be told now.
fn news(told: &mut Told, level: Level, now: Instant) -> Option<Level> {
    let (before, at) = told.unwrap_or((Level::OPEN, now));
    let is_due = told.is_none() || level == Level::OPEN || now >= at + LEVEL_EVERY;
    if level == before || !is_due {
        return None;
    }
    *told = Some((level, now));
    Some(before)
}

fn gauges<N: Net, D>(mesh: &Mesh<N, D>) {
    let load = mesh.gate.load();
    let gauges = [
        (Counter::GateInFlight, load.in_flight.into()),
        (Counter::GateQueued, load.queued.into()),
        (Counter::GateLimit, load.limit.into()),
        (Counter::ServerConnections, mesh.pool.open().into()),
        (Counter::UpstreamsKnown, mesh.registry.borrow().len() as u64),
    ];
    for (counter, value) in gauges {
        mesh.counters.set(counter, value);
    }
}
