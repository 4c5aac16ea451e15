//! Faults, stops and restarts of the nodes and servers of a fleet.

use super::*;

impl<W: World> Fleet<W> {
    /// Applies `act` to the node process and the backend server process.
    fn processes(&self, name: &UpstreamName, act: impl Fn(&Process)) {
        let units = self.0.units.borrow();
        let unit = units.get(name);
        let both = unit.into_iter().flat_map(|u| [&u.node, &u.server]);
        both.flatten().for_each(|r| act(&r.process));
    }

    /// Stops polling a node.
    pub fn pause_node(&self, name: &UpstreamName) {
        if let Some(node) = self
            .0
            .units
            .borrow()
            .get(name)
            .and_then(|u| u.node.as_ref())
        {
            node.process.pause();
        }
    }

    /// Polls a node again.
    pub fn resume_node(&self, name: &UpstreamName) {
        self.processes(name, Process::resume);
    }

    /// Crashes a backend server; it starts again cold.
    pub fn crash_server(&self, name: &UpstreamName) {
        let units = self.0.units.borrow();
        if let Some(server) = units.get(name).and_then(|u| u.server.as_ref()) {
            server.process.crash();
        }
    }

    /// Crashes a node and starts it again, empty.
    pub async fn crash_node(&self, name: &UpstreamName) {
        let node = self
            .0
            .units
            .borrow_mut()
            .get_mut(name)
            .and_then(|u| u.node.take());
        let Some(node) = node else {
            return;
        };
        node.process.crash();
        sleep(Duration::from_millis(RESTART_MS)).await;
        self.start_node(name);
    }

    /// Crashes everything of an upstream; it stays down until [`Fleet::recover`].
    pub fn lose(&self, name: &UpstreamName) {
        self.edit(name, |unit| unit.lost = true);
        self.processes(name, Process::crash);
        self.edit(name, |unit| (unit.node, unit.server) = (None, None));
    }

    /// Starts a lost or stopped upstream, empty and cold.
    pub fn recover(&self, name: &UpstreamName) {
        self.edit(name, |unit| unit.lost = false);
        self.start_server(name);
        self.start_node(name);
    }

    /// Stops an upstream as planned: it is listed as leaving, its node finishes all calls and
    /// ends, then its backend server is stopped. Gives the time that the node took.
    pub async fn stop(&self, name: &UpstreamName) -> Duration {
        let start = Instant::now();
        self.edit(name, |unit| unit.lost = true);
        self.list(name, State::Leaving);
        let node = self
            .0
            .units
            .borrow_mut()
            .get_mut(name)
            .and_then(|u| u.node.take());
        if let Some(mut node) = node {
            node.stop.cancel();
            sleep(Duration::from_millis(DIRECTORY_MS)).await;
            self.advertise(name, false);
            let limit = Duration::from_millis(STOP_MS);
            if timeout(limit, node.ended.wait_for(|e| *e)).await.is_err() {
                let text = format!("node {name}: did not end within {limit:?}");
                self.0.errors.borrow_mut().push(text);
                node.process.crash();
            }
        }
        let took = start.elapsed();
        let server = self
            .0
            .units
            .borrow_mut()
            .get_mut(name)
            .and_then(|u| u.server.take());
        if let Some(mut server) = server {
            server.stop.cancel();
            let _ = server.ended.wait_for(|e| *e).await;
        }
        self.list(name, State::Absent);
        took
    }

    /// Starts a stopped upstream, empty and cold.
    pub async fn launch(&self, name: &UpstreamName) {
        self.recover(name);
        self.list(name, State::Live);
        sleep(Duration::from_millis(DIRECTORY_MS)).await;
        self.advertise(name, true);
    }

    /// Stops all nodes as planned, then everything else. Gives the errors of the run.
    pub async fn shutdown(&self) -> Vec<String> {
        let nodes: Vec<_> = {
            let mut units = self.0.units.borrow_mut();
            units.values_mut().filter_map(|u| u.node.take()).collect()
        };
        nodes.iter().for_each(|n| n.stop.cancel());
        for mut node in nodes {
            let limit = Duration::from_millis(STOP_MS);
            if timeout(limit, node.ended.wait_for(|e| *e)).await.is_err() {
                node.process.crash();
                let text = "a node did not end at shutdown".to_owned();
                self.0.errors.borrow_mut().push(text);
            }
        }
        let mut tasks = std::mem::take(&mut *self.0.tasks.borrow_mut());
        tasks.shutdown().await;
        self.errors()
    }
}
