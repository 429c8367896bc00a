//! Responses to completions and chat completions.

mod common;

use serde_json::json;

use common::caller::text;
use common::caller::tokens;
use common::caller::Caller;
use common::system::a_system;

#[tokio::test]
async fn a_streamed_completion_arrives_complete_and_in_order() {
    let system = a_system().start().await;

    let mut stream = Caller::stream(system.address(0), 20).open().await;
    let events = stream.rest().await;

    assert_eq!(text(&events), (tokens(0, 20), true));
    assert!(events[..20].iter().all(|event| !event.id.is_empty()));
}

#[tokio::test]
async fn a_completion_that_is_not_streamed_is_one_json() {
    let system = a_system().start().await;

    let response = Caller::completion(system.address(0), 5).send().await;

    let json = response.json();
    assert_eq!(json["object"], "text_completion");
    assert_eq!(json["choices"][0]["text"], tokens(0, 5));
    assert_eq!(json["usage"]["completion_tokens"], 5);
    assert_eq!(json["usage"]["prompt_tokens_details"]["cached_tokens"], 4);
}

#[tokio::test]
async fn chat_messages_are_rendered_and_answered_as_chat() {
    let system = a_system().start().await;
    let body = json!({
        "model": "m",
        "messages": [
            {"role": "system", "content": "be kind"},
            {"role": "user", "content": [{"type": "text", "text": "hello"}]},
        ],
        "max_completion_tokens": 3,
    });

    let response = Caller::new(system.address(0), "/v1/chat/completions")
        .json(&body)
        .send()
        .await;

    let json = response.json();
    assert_eq!(json["object"], "chat.completion");
    assert_eq!(json["choices"][0]["message"]["content"], tokens(0, 3));
    let prompt = &system.engines.requests()[0].prompt;
    assert_eq!(prompt, "<|system|>\nbe kind\n<|user|>\nhello\n");
}
