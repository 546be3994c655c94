//! The batching, prefix cache, cancellation and fencing of the engine stand-in.

use ryetide_lab::engine_batch::{EngineBatch, EnginePrompt, EngineSpeed, STREAM_END};

fn prompt(text: &str, output: u64) -> EnginePrompt {
    EnginePrompt {
        model: "m".to_owned(),
        prompt: text.to_owned(),
        max_tokens: output,
        ..EnginePrompt::default()
    }
}

fn speed() -> EngineSpeed {
    EngineSpeed {
        slots: 2,
        tokens: 10_000,
        prefill_rate: 1_000.0,
        decode_rate: 10.0,
        cache_blocks: 8,
    }
}

/// Guards against a stream that differs from the one that callers compare their answers with.
#[test]
fn the_stream_is_what_the_caller_expects() {
    let mut batch = EngineBatch::new(speed());
    let wanted = prompt("colour of wire 7", 5);
    batch.dispatch("a", wanted.clone());
    for _ in 0..20 {
        batch.work(0.1, 1.0);
    }
    let (stream, done) = batch.request("a").unwrap().stream_from(0);
    assert!(done);
    assert_eq!(stream, wanted.expected_stream());
    assert!(wanted.expected_stream().ends_with(STREAM_END));
}

/// Guards against an engine that serves short prompts before long ones, with which the choice of a
/// target would make no difference.
#[test]
fn prompts_are_worked_on_in_order() {
    let mut batch = EngineBatch::new(speed());
    batch.dispatch("long", prompt(&"x".repeat(8_000), 5));
    batch.dispatch("short", prompt("y", 1));
    batch.work(1.0, 1.0);
    assert!(!batch.request("short").unwrap().is_done());
    batch.work(1.5, 1.0);
    assert!(batch.request("short").unwrap().is_done());
}

/// Guards against prefill of a prefix that is in the cache.
#[test]
fn a_known_prefix_is_not_worked_on_again() {
    let mut batch = EngineBatch::new(speed());
    let text = "z".repeat(4_096);
    batch.dispatch("first", prompt(&text, 1));
    batch.work(5.0, 1.0);
    batch.dispatch("second", prompt(&text, 1));
    batch.work(0.2, 1.0);
    assert!(batch.request("second").unwrap().is_done());
    assert_eq!((batch.record.prefilled, batch.record.cached), (1_024, 1_024));
}

/// Guards against a cancelled request that still occupies its slot.
#[test]
fn cancelled_work_frees_its_slot() {
    let mut batch = EngineBatch::new(speed());
    batch.dispatch("a", prompt("a", 1_000));
    batch.dispatch("b", prompt("b", 1_000));
    batch.dispatch("c", prompt("c", 1));
    batch.work(0.1, 1.0);
    assert_eq!(batch.queued(), 1);
    assert!(batch.cancel("a"));
    batch.work(0.2, 1.0);
    assert!(batch.request("c").unwrap().is_done());
}

/// Guards against an engine with a fencing check that accepts an order with an old number, and one
/// without the check that refuses it.
#[test]
fn old_fencing_numbers_are_refused_where_checked() {
    use ryetide_lab::{
        control,
        engine::{EngineFaults, EngineStandIn},
        server,
    };
    let engine = EngineStandIn::start(server::free_listener().unwrap(), speed()).unwrap();
    let order = |number: u64| {
        let (address, body) = (engine.address(), format!("load model {number}"));
        control::block_on(async move {
            let connection = ryetide::fresh_client::FreshConnection::open(
                address,
                std::time::Duration::from_secs(5),
            )
            .await
            .unwrap();
            let request = connection.request(ntex::http::Method::POST, "/v1/orders");
            let request = request.header("x-fencing-number", number.to_string());
            request.send_body(body).await.unwrap().status().as_u16()
        })
    };
    assert_eq!((order(5), order(3)), (204, 204));
    engine.set_faults(EngineFaults { checks_fencing: true, ..EngineFaults::default() });
    assert_eq!((order(4), order(6)), (412, 204));
    assert_eq!(engine.record().orders.len(), 3);
}
