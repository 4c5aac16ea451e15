//! Listener for other nodes.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    protocol::{
        call::{HeaderError, mark_unique, write, write_unique},
        header,
    },
    state::{counters::Counter, id::ClassName, memory::MemoryBudget},
};

use super::{
    super::{
        net::Net,
        reply::{Body, Reply, with_framing},
        request::BufferedRequest,
        server::{HEAD_LIST_MAX_BYTES, Handler, HeadLimits},
    },
    alarm,
    context::PeerHeaders,
    intake, quota, relay,
    server::serve,
    shared::Mesh,
    suspects,
    unread::PeerBody,
};

/// Handles requests from other nodes.
pub struct Inbound<N: Net, D>(pub Rc<Mesh<N, D>>);

impl<N: Net, D: 'static> Handler for Inbound<N, D> {
    type Body = PeerBody;

    fn accepts(&self, _from: IpAddr) -> bool {
        true
    }

    fn head_limits(&self) -> HeadLimits {
        HeadLimits {
            list_bytes: HEAD_LIST_MAX_BYTES,
            ..HeadLimits::default()
        }
    }

    fn memory(&self) -> Option<&Rc<MemoryBudget>> {
        Some(&self.0.memory)
    }

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        _from: SocketAddr,
    ) -> Response<PeerBody> {
        let response = self.answer(request).await;
        let mesh = &self.0;
        response.map(|body| mesh.unread.watch(body, &mesh.memory))
    }
}

impl<N: Net, D: 'static> Inbound<N, D> {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let mesh = &self.0;
        if relay::is_request(request.headers()) {
            let answer = relay::answer(mesh, request.headers()).await;
            return answer.unwrap_or_else(|error| self.malformed(&error));
        }
        if alarm::is_request(request.headers()) {
            return alarm::answer(mesh, request.headers());
        }
        if suspects::is_request(request.headers()) {
            return suspects::answer(mesh, request.into_body()).await;
        }
        if quota::is_request(request.headers()) {
            let (head, body) = request.into_parts();
            return quota::answer(mesh, &head.headers, body).await;
        }
        mesh.counters.add(Counter::PeerCalls, 1);
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        mesh.read_progress(&head.headers);
        mesh.read_rate_limit(&head.headers);
        let metadata = match PeerHeaders::read(&head.headers) {
            Ok(metadata) => metadata,
            Err(error) => return self.malformed(&error),
        };
        let Ok(charge) = intake::charge_head(&mesh.memory, &head, metadata.begun()) else {
            mesh.counters.add(Counter::RefusedMemory, 1);
            return self.peer_response(None, intake::refused());
        };
        let due = arrived + metadata.timeout();
        // The sending node has checked the size of the body.
        let buffered =
            BufferedRequest::read_up_to(usize::MAX, due, head, body, &mesh.memory, charge).await;
        let reply = match buffered {
            Ok(request) => {
                let (context, instance) = metadata.into_context(arrived, request);
                let reply = serve(mesh, &context, &instance).await;
                return self.peer_response(Some(&context.class), reply);
            }
            Err(error) => intake::unread(&mesh.counters, &error),
        };
        self.peer_response(None, reply)
    }
}

impl<N: Net, D> Inbound<N, D> {
    fn malformed(&self, error: &HeaderError) -> Response<Body> {
        self.0.counters.add(Counter::MessagesRefused, 1);
        let reply = Reply::not_run(0, error.to_string(), Duration::ZERO);
        self.peer_response(None, reply.with_status(StatusCode::BAD_REQUEST))
    }

    /// Adds the headers that report this node's state on each response, and framing that lets the
    /// receiver detect a truncated body.
    fn peer_response(&self, class: Option<&ClassName>, reply: Reply) -> Response<Body> {
        let mut response = reply.into_response();
        let headers = response.headers_mut();
        let names = &self.0.names;
        for name in [&names.attempt_id, &names.seal, &names.load] {
            mark_unique(headers, name);
        }
        write_unique(headers, header::LOAD, &self.0.gate.load());
        self.0.write_service_time(class, headers);
        write(headers, header::LEVELS, &self.0.levels(class));
        self.0.write_progress(headers);
        if self.0.retiring.get() {
            write(headers, header::RETIRING, &1);
        }
        with_framing(response)
    }
}
