//! Answers as kept in the ledger, and their replay to a caller that asks again.

use godwit_caller::{Call, CallHeader, Finish, Operation, Responder, ServiceAnswer};
use godwit_core::Code;
use godwit_core::ledger::Answer;
use serde::{Deserialize, Serialize};

use super::report;

/// Media type of a model's answer in the ledger.
const GENERATED_TYPE: &str = "application/vnd.godwit.generated+json";

/// A model's answer in the ledger.
#[derive(Debug, Deserialize, Serialize)]
struct StoredTokens {
    tokens: Vec<String>,
    finish_reason: String,
}

/// A model's answer in the form in which it is kept.
pub(super) fn stored_tokens(tokens: &[String], finish_reason: &str) -> Answer {
    let stored = StoredTokens { tokens: tokens.to_vec(), finish_reason: finish_reason.to_string() };
    let body = serde_json::to_vec(&stored).unwrap_or_default();
    Answer::new(200, Code::Ok.number(), GENERATED_TYPE, &body)
}

/// A service's answer in the form in which it is kept.
pub(super) fn stored_service(answer: &ServiceAnswer, code: Code) -> Answer {
    let is_type = |header: &&CallHeader| header.name.eq_ignore_ascii_case("Content-Type");
    let content_type = answer.headers.iter().find(is_type).map(|header| header.value.as_str());
    Answer::new(answer.status, code.number(), content_type.unwrap_or_default(), &answer.body)
}

/// Gives a stored answer to a caller; always answers it.
pub(super) fn run<T>(call: &Call, mut responder: Responder, answer: &Answer) -> Option<T> {
    let finish = match (&call.operation, &answer.body) {
        (_, None) => report::failed(Code::AnswerNotKept, None),
        (Operation::Generate(_), Some(body)) => tokens(&mut responder, body),
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

fn tokens(responder: &mut Responder, body: &[u8]) -> Finish {
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
