//! A backend server whose replies come from a script.

use super::*;

pub(super) struct Backend {
    pub(super) net: MemoryNet,
    pub(super) name: String,
    pub(super) at: SocketAddr,
    pub(super) egress: SocketAddr,
    pub(super) script: Script,
    pub(super) runs: Rc<RefCell<Vec<(String, String)>>>,
}

type Chunk = Result<Frame<Bytes>, io::Error>;
type Chunks = StreamBody<Pin<Box<dyn futures::Stream<Item = Chunk>>>>;

impl Backend {
    pub(super) async fn run(self) {
        let mut listener = self.net.bind(self.at).await.unwrap();
        let this = Rc::new(self);
        while let Ok((conn, _)) = listener.accept().await {
            tokio::task::spawn_local(this.clone().connection(conn));
        }
    }

    async fn connection(self: Rc<Self>, conn: <MemoryNet as Net>::Conn) {
        let raw = Rc::new(RefCell::new(None));
        let (this, out) = (self.clone(), raw.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let (this, out) = (this.clone(), out.clone());
            async move {
                let Ok(reply) = this.reply(request).await else {
                    // A request whose body is cut short gets no answer.
                    return std::future::pending::<Result<Response<Chunks>, Infallible>>().await;
                };
                Ok(match reply {
                    Reply::Answer(answer) => answer.map(|b| chunks(vec![b], true)),
                    Reply::Chunks(all, ends) => Response::new(chunks(all, ends)),
                    Reply::Raw(bytes) => {
                        *out.borrow_mut() = Some(bytes);
                        return std::future::pending().await;
                    }
                })
            }
        });
        // The limits of a node are tested, not those of the server.
        let mut conn = hyper::server::conn::http1::Builder::new()
            .max_headers(8_192)
            .serve_connection(TokioIo::new(conn), service);
        let until_raw = async {
            loop {
                if raw.borrow().is_some() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::select! {
            _ = &mut conn => return,
            () = until_raw => {}
        }
        let mut io = conn.into_parts().io.into_inner();
        let bytes = raw.take().unwrap_or_default();
        let _ = io.write_all(&bytes).await;
        let _ = io.shutdown().await;
    }

    async fn reply(&self, request: Request<Incoming>) -> Result<Reply, hyper::Error> {
        let (head, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        if head.uri.path() == "/load" {
            return Ok(ok(r#"{"busy": 0, "slots": 500, "draining": false}"#));
        }
        let seen = Seen {
            upstream: self.name.clone(),
            request: Request::from_parts(head, body),
            net: self.net.clone(),
            egress: self.egress,
        };
        self.runs
            .borrow_mut()
            .push((seen.upstream.clone(), seen.id()));
        Ok((self.script)(seen).await)
    }
}

fn chunks(all: Vec<Bytes>, ends: bool) -> Chunks {
    let fault = (!ends).then(|| Err(io::Error::other("broken on purpose")));
    let all = all.into_iter().map(|b| Ok(Frame::data(b))).chain(fault);
    // The pause lets each chunk be sent before the next is produced.
    let paced = stream::iter(all).then(|c| async {
        tokio::time::sleep(Duration::from_millis(1)).await;
        c
    });
    StreamBody::new(Box::pin(paced))
}
