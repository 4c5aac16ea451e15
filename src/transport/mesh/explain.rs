//! Answers to questions where a request would go.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, Uri, header::CONTENT_TYPE};
use http_body_util::Full;

use crate::{
    coordination::explain::{View, explain},
    protocol::explain::{QUESTION_MAX_BYTES, Result, read_question, write_answer},
    state::mesh::explain::{Explanation, Question},
};

use super::{super::net::Net, shared::Mesh};

/// Answers a question without changing anything.
pub(super) fn answer<N: Net, D>(mesh: &Mesh<N, D>, uri: &Uri) -> Response<Full<Bytes>> {
    let length = uri.path_and_query().map_or(0, |all| all.as_str().len());
    if length > QUESTION_MAX_BYTES {
        let error = format!("the question has {length} bytes, at most {QUESTION_MAX_BYTES}\n");
        return text(StatusCode::URI_TOO_LONG, error);
    }
    let question = match read(uri.query().unwrap_or_default()) {
        Ok(question) => question,
        Err(error) => return text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    match write_answer(ask(mesh, &question)) {
        Ok(document) => {
            let mut response = text(StatusCode::OK, document);
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            let error = format!("could not write the answer: {error}\n");
            text(StatusCode::INTERNAL_SERVER_ERROR, error)
        }
    }
}

fn read(query: &str) -> Result<Question> {
    Ok(read_question(query)?.parse()?)
}

fn ask<N: Net, D>(mesh: &Mesh<N, D>, question: &Question) -> Explanation {
    let routes = mesh.routes.borrow();
    let view = View {
        node: &mesh.settings.name,
        service: &mesh.settings.service,
        zone: &mesh.settings.zone,
        server: mesh.settings.server,
        routes: routes.as_deref(),
        registry: &mesh.registry.borrow(),
        router: &mesh.router,
        levels: &mesh.local_levels.borrow(),
        is_refusing_callers: mesh.refusing_callers.get(),
        is_memory_short: mesh.memory.is_short(),
    };
    explain(question, &view, |name| mesh.quotas.explain(name))
}

fn text(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}
