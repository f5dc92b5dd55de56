//! Answers as stored in the ledger, and their replay to a caller that repeats a request.

use godwit_caller::{Call, CallHeader, Finish, Operation, Responder, ServiceAnswer};
use godwit_core::Code;
use godwit_core::ledger::Answer;
use serde::{Deserialize, Serialize};

use super::report;

/// Media type of the answer of a model in the ledger.
const GENERATED_MEDIA_TYPE: &str = "application/vnd.godwit.generated+json";

/// Answer of a model as stored in the ledger.
#[derive(Debug, Deserialize, Serialize)]
struct StoredTokens {
    tokens: Vec<String>,
    finish_reason: String,
}

/// Encodes the answer of a model for the ledger.
pub(super) fn stored_tokens(tokens: &[String], finish_reason: &str) -> Answer {
    let stored = StoredTokens { tokens: tokens.to_vec(), finish_reason: finish_reason.to_string() };
    let body = serde_json::to_vec(&stored).unwrap_or_default();
    Answer::new(200, Code::Ok.number(), GENERATED_MEDIA_TYPE, &body)
}

/// Converts the answer of a service for the ledger; of its headers only the content type is stored.
pub(super) fn stored_service(answer: &ServiceAnswer, code: Code) -> Answer {
    let is_content_type = |header: &&CallHeader| header.name.eq_ignore_ascii_case("Content-Type");
    let content_type =
        answer.headers.iter().find(is_content_type).map(|header| header.value.as_str());
    Answer::new(answer.status, code.number(), content_type.unwrap_or_default(), &answer.body)
}

/// Answers a caller with a stored answer, or with a failure if its body was not stored. Always returns `None`.
pub(super) fn replay<T>(call: &Call, mut responder: Responder, answer: &Answer) -> Option<T> {
    let finish = match (&call.operation, &answer.body) {
        (_, None) => report::failed(Code::AnswerNotKept, None),
        (Operation::Generate(_), Some(body)) => replay_tokens(&mut responder, body),
        (_, Some(body)) => Finish::Service {
            code: Code::StoredAnswer,
            answer: ServiceAnswer {
                status: answer.status,
                headers: vec![CallHeader {
                    name: "Content-Type".to_string(),
                    value: answer.content_type.clone(),
                }],
                body: body.clone(),
            },
        },
    };
    report::finish(call, responder, &finish);
    None
}

fn replay_tokens(responder: &mut Responder, body: &[u8]) -> Finish {
    let Ok(stored) = serde_json::from_slice::<StoredTokens>(body) else {
        return report::failed(Code::AnswerNotKept, None);
    };
    for token in &stored.tokens {
        if responder.push_token(token).is_err() {
            break;
        }
    }
    Finish::Whole { code: Code::StoredAnswer, finish_reason: stored.finish_reason }
}
