//! Faults, planned stops and restarts of the nodes and backend servers of a fleet.

use super::*;

impl<W: World> Fleet<W> {
    /// Applies `act` to the node process and the backend server process of an upstream.
    fn processes(&self, name: &UpstreamName, act: impl Fn(&Process)) {
        let members = self.0.members.borrow();
        let member = members.get(name);
        let both = member.into_iter().flat_map(|m| [&m.node, &m.server]);
        both.flatten().for_each(|r| act(&r.process));
    }

    /// Suspends the process of a node: it is no longer polled.
    pub fn pause_node(&self, name: &UpstreamName) {
        if let Some(node) = self
            .0
            .members
            .borrow()
            .get(name)
            .and_then(|m| m.node.as_ref())
        {
            node.process.pause();
        }
    }

    /// Resumes the processes of an upstream after [`Fleet::pause_node`].
    pub fn resume_node(&self, name: &UpstreamName) {
        self.processes(name, Process::resume);
    }

    /// Crashes a backend server; it restarts with a warm-up.
    pub fn crash_server(&self, name: &UpstreamName) {
        let members = self.0.members.borrow();
        if let Some(server) = members.get(name).and_then(|m| m.server.as_ref()) {
            server.process.crash();
        }
    }

    /// Crashes a node and restarts it without state.
    pub async fn crash_node(&self, name: &UpstreamName) {
        let node = self
            .0
            .members
            .borrow_mut()
            .get_mut(name)
            .and_then(|m| m.node.take());
        let Some(node) = node else {
            return;
        };
        node.process.crash();
        sleep(Duration::from_millis(RESTART_DELAY_MS)).await;
        self.start_node(name);
    }

    /// Crashes the node and the backend server of an upstream; they stay down until
    /// [`Fleet::recover`].
    pub fn crash_upstream(&self, name: &UpstreamName) {
        self.update_member(name, |member| member.down = true);
        self.processes(name, Process::crash);
        self.update_member(name, |member| (member.node, member.server) = (None, None));
    }

    /// Starts the processes of a crashed or stopped upstream: the node without state, the backend
    /// server with a warm-up.
    pub fn recover(&self, name: &UpstreamName) {
        self.update_member(name, |member| member.down = false);
        self.start_server(name);
        self.start_node(name);
    }

    /// Performs a planned stop of an upstream: it is listed as leaving, its node completes the
    /// calls in progress and exits, then the backend server is stopped. Returns the time until the
    /// node exited.
    pub async fn stop(&self, name: &UpstreamName) -> Duration {
        let start = Instant::now();
        self.update_member(name, |member| member.down = true);
        self.set_listed(name, State::Leaving);
        let node = self
            .0
            .members
            .borrow_mut()
            .get_mut(name)
            .and_then(|m| m.node.take());
        if let Some(mut node) = node {
            node.stop.cancel();
            sleep(Duration::from_millis(DIRECTORY_DELAY_MS)).await;
            self.advertise(name, false);
            let limit = Duration::from_millis(STOP_TIMEOUT_MS);
            if timeout(limit, node.ended.wait_for(|e| *e)).await.is_err() {
                let text = format!("node {name}: did not end within {limit:?}");
                self.0.errors.borrow_mut().push(text);
                node.process.crash();
            }
        }
        let took = start.elapsed();
        let server = self
            .0
            .members
            .borrow_mut()
            .get_mut(name)
            .and_then(|m| m.server.take());
        if let Some(mut server) = server {
            server.stop.cancel();
            let _ = server.ended.wait_for(|e| *e).await;
        }
        self.set_listed(name, State::Absent);
        took
    }

    /// Starts a stopped upstream as [`Fleet::recover`] does, lists it as live and adds its node to
    /// the addresses known to callers.
    pub async fn start_upstream(&self, name: &UpstreamName) {
        self.recover(name);
        self.set_listed(name, State::Live);
        sleep(Duration::from_millis(DIRECTORY_DELAY_MS)).await;
        self.advertise(name, true);
    }

    /// Stops all nodes as planned, then all other processes. Returns the errors of the run.
    pub async fn shutdown(&self) -> Vec<String> {
        let nodes: Vec<_> = {
            let mut members = self.0.members.borrow_mut();
            members.values_mut().filter_map(|m| m.node.take()).collect()
        };
        nodes.iter().for_each(|n| n.stop.cancel());
        for mut node in nodes {
            let limit = Duration::from_millis(STOP_TIMEOUT_MS);
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
