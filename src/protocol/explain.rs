//! Question about a request, as the path and query of a URI, and the answer as JSON.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use thiserror::Error;

use crate::state::mesh::explain::{Explanation, InvalidArgument, QuestionText};

/// Path at which nodes answer questions.
pub const PATH: &str = "/explain";
/// Most bytes of the path and query of a question.
pub const QUESTION_MAX_BYTES: usize = 8 * 1_024;
/// Most bytes of an answer.
pub const ANSWER_MAX_BYTES: usize = 64 * 1_024;

/// Characters that are escaped: all but those that have no meaning in a query.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/')
    .remove(b':');

/// Why a question can't be answered.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum InvalidQuestion {
    /// An argument is missing or malformed.
    #[error(transparent)]
    Argument(#[from] InvalidArgument),
    /// The query has another form.
    #[error("could not read the query: expected {0}")]
    Form(&'static str),
}

/// Result of reading a question.
pub type Result<T, E = InvalidQuestion> = std::result::Result<T, E>;

/// The path and query that ask a question.
///
/// ```
/// use comfreybay::{protocol::explain, state::mesh::explain::QuestionText};
/// let question = QuestionText {
///     method: Some("GET".to_owned()),
///     host: Some("shop:80".to_owned()),
///     path: Some("/a%20b".to_owned()),
///     ..QuestionText::default()
/// };
/// let uri = explain::write_question(&question);
/// assert_eq!(uri, "/explain?method=GET&host=shop:80&path=/a%2520b");
/// let query = uri.split_once('?').map(|(_, query)| query);
/// assert_eq!(explain::read_question(query.unwrap()).unwrap(), question);
/// ```
pub fn write_question(question: &QuestionText) -> String {
    let arguments = [
        ("method", &question.method),
        ("host", &question.host),
        ("path", &question.path),
        ("organisation", &question.organisation),
        ("time_left_ms", &question.time_left_ms),
    ];
    let arguments = arguments.into_iter().filter_map(|(name, value)| {
        let value = utf8_percent_encode(value.as_ref()?, ESCAPED);
        Some(format!("{name}={value}"))
    });
    format!("{PATH}?{}", arguments.collect::<Vec<_>>().join("&"))
}

/// Reads the query of a question. A plus sign stands for itself.
///
/// # Errors
/// An argument has no value, is not known, occurs twice or is not UTF-8.
pub fn read_question(query: &str) -> Result<QuestionText> {
    let mut question = QuestionText::default();
    for argument in query.split('&').filter(|a| !a.is_empty()) {
        let (name, value) = argument
            .split_once('=')
            .ok_or(InvalidQuestion::Form("arguments as NAME=VALUE"))?;
        let value = percent_decode_str(value).decode_utf8();
        let value = value.map_err(|_| InvalidQuestion::Form("values in UTF-8"))?;
        let field = match name {
            "method" => &mut question.method,
            "host" => &mut question.host,
            "path" => &mut question.path,
            "organisation" => &mut question.organisation,
            "time_left_ms" => &mut question.time_left_ms,
            _ => {
                let expected = "method, host, path, organisation and time_left_ms only";
                return Err(InvalidQuestion::Form(expected));
            }
        };
        if field.replace(value.into_owned()).is_some() {
            return Err(InvalidQuestion::Form("each argument once"));
        }
    }
    Ok(question)
}

/// Writes an answer. Candidates at the end are left out if it would be too long.
pub fn write_answer(mut answer: Explanation) -> serde_json::Result<String> {
    loop {
        let text = format!("{}\n", serde_json::to_string_pretty(&answer)?);
        match &mut answer.request {
            Some(request) if text.len() > ANSWER_MAX_BYTES && !request.candidates.is_empty() => {
                let kept = request.candidates.len() / 2;
                request.candidates.truncate(kept);
            }
            _ => return Ok(text),
        }
    }
}

#[cfg(test)]
mod tests;
