//! The peer listener: calls from other nodes.

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
        call::{CallHead, read},
        header,
    },
    state::{counters::Counter, journal::Step, ticket::Ticket},
};

use super::{
    net::Net,
    node::DataPlane,
    remote::peer_response,
    reply::{Body, Reply},
    request::BufferedRequest,
    root,
    serve::{CallRequest, serve},
    server::Handler,
};

/// Handler of the peer listener.
pub struct Peer<N: Net>(pub Rc<DataPlane<N>>);

impl<N: Net> Handler for Peer<N> {
    type Body = Body;

    fn accepts(&self, from: IpAddr) -> bool {
        let known = self.0.node.is_upstream(from);
        if !known {
            self.0.node.counters.add(Counter::RefusedPeer, 1);
            log::debug!(
                "refused a connection from {from}: the address is not an upstream in the configuration"
            );
        }
        known
    }

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        _from: SocketAddr,
    ) -> Response<Body> {
        let node = &self.0.node;
        node.counters.add(Counter::PeerCalls, 1);
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let ticket: Option<Ticket> = read(&head.headers, header::TICKET).ok().flatten();
        // An earlier request with the ticket may have run, so the outcome is unknown.
        let refuse = |reply: Reply, why: &str| match ticket {
            Some(_) => Reply::unknown(why.to_owned()),
            None => reply,
        };
        let call_head = match CallHead::read(&head.headers) {
            Ok(call_head) => call_head,
            Err(error) => {
                node.counters.add(Counter::MessagesRefused, 1);
                let why = error.to_string();
                let reply = Reply::not_run(0, why.clone(), Duration::ZERO);
                let reply = refuse(reply.with_status(StatusCode::BAD_REQUEST), &why);
                return peer_response(node, None, reply);
            }
        };
        let message = match BufferedRequest::read(head, body, node).await {
            Ok(message) => message,
            Err(error) => {
                let why = error.to_string();
                let reply = Reply::not_run(call_head.allowance, why.clone(), Duration::ZERO);
                let reply = refuse(reply.with_status(error.status()), &why);
                return peer_response(node, None, reply);
            }
        };
        let mut tracker = node.track(call_head.root);
        let chain = call_head.chain.clone();
        let reply = self.call(call_head, arrived, ticket, message).await;
        tracker.record_reply(&reply);
        peer_response(node, Some(&chain), reply)
    }
}

impl<N: Net> Peer<N> {
    async fn call(
        &self,
        call_head: CallHead,
        arrived: Instant,
        ticket: Option<Ticket>,
        message: BufferedRequest,
    ) -> Reply {
        let node = &self.0.node;
        let class = node
            .store
            .config()
            .and_then(|c| c.class(&call_head.class).cloned());
        let Some(class) = class else {
            node.counters.add(Counter::RefusedNoConfig, 1);
            return match ticket {
                Some(_) => Reply::unknown("no-config"),
                None => Reply::not_run(call_head.allowance, "no-config", node.retry_delay()),
            };
        };
        node.record_step(
            call_head.root,
            Step::Arrived {
                listener: "peer".into(),
                service: node.settings.service.clone(),
                class: class.name.clone(),
                priority: call_head.priority.value(),
            },
        );
        let call = CallRequest {
            root: call_head.root,
            class,
            chain: call_head.chain,
            priority: call_head.priority,
            deadline: arrived + call_head.timeout,
            allowance: call_head.allowance,
            message,
        };
        match ticket {
            Some(ticket) => root::enter(&self.0, call, Some(ticket)).await,
            None => serve(&self.0, &call).await,
        }
    }
}
