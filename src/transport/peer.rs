//! The listener for calls of other nodes.

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
    node::Path,
    remote::to_peer,
    reply::{Body, Reply},
    request::BufferedRequest,
    root,
    serve::{Order, serve},
    server::Handler,
};

/// Answers other nodes.
pub struct Peer<N>(pub Rc<Path<N>>);

impl<N: Net> Handler for Peer<N> {
    type Body = Body;

    fn accepts(&self, from: IpAddr) -> bool {
        let known = self.0.parts.is_upstream(from);
        if !known {
            self.0.parts.counters.add(Counter::RefusedPeer, 1);
            log::debug!("refused a connection from {from}: no known upstream");
        }
        known
    }

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        _from: SocketAddr,
    ) -> Response<Body> {
        let parts = &self.0.parts;
        parts.counters.add(Counter::PeerCalls, 1);
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let ticket: Option<Ticket> = read(&head.headers, header::TICKET).ok().flatten();
        // A ticket that can't be looked up may have been presented before.
        let refuse = |reply: Reply, why: &str| match ticket {
            Some(_) => Reply::unknown(why.to_owned()),
            None => reply,
        };
        let call = match CallHead::read(&head.headers) {
            Ok(call) => call,
            Err(error) => {
                parts.counters.add(Counter::MessagesRefused, 1);
                let why = error.to_string();
                let reply = Reply::not_run(0, why.clone(), Duration::ZERO);
                let reply = refuse(reply.with_status(StatusCode::BAD_REQUEST), &why);
                return to_peer(parts, None, reply);
            }
        };
        let message = match BufferedRequest::read(head, body, parts).await {
            Ok(message) => message,
            Err(error) => {
                let why = error.to_string();
                let reply = Reply::not_run(call.allowance, why.clone(), Duration::ZERO);
                let reply = refuse(reply.with_status(error.status()), &why);
                return to_peer(parts, None, reply);
            }
        };
        let mut watch = parts.watch(call.root);
        let chain = call.chain.clone();
        let reply = self.call(call, arrived, ticket, message).await;
        watch.answered(&reply);
        to_peer(parts, Some(&chain), reply)
    }
}

impl<N: Net> Peer<N> {
    async fn call(
        &self,
        call: CallHead,
        arrived: Instant,
        ticket: Option<Ticket>,
        message: BufferedRequest,
    ) -> Reply {
        let parts = &self.0.parts;
        let class = parts
            .store
            .config()
            .and_then(|c| c.class(&call.class).cloned());
        let Some(class) = class else {
            parts.counters.add(Counter::RefusedNoConfig, 1);
            return match ticket {
                Some(_) => Reply::unknown("no-config"),
                None => Reply::not_run(call.allowance, "no-config", parts.pause()),
            };
        };
        parts.note(
            call.root,
            Step::Arrived {
                listener: "peer".into(),
                service: parts.settings.service.clone(),
                class: class.name.clone(),
                priority: call.priority.value(),
            },
        );
        let order = Order {
            root: call.root,
            class,
            chain: call.chain,
            priority: call.priority,
            deadline: arrived + call.timeout,
            allowance: call.allowance,
            message,
        };
        match ticket {
            Some(ticket) => root::enter(&self.0, order, Some(ticket)).await,
            None => serve(&self.0, &order).await,
        }
    }
}
