//! Tests of the cost that prefill adds on an engine that also decodes.

use reachtally_core::forward::cost::LayerModel;

use super::setup::model;

/// Guards against a model in which decoding waits for all arriving prompts, although a pass prefills only one chunk.
#[test]
fn chunked_prefill_bounds_the_slowdown_of_decoding() {
    let free = model();
    let bounded = LayerModel {
        chunk: 512.0,
        ..free.clone()
    };
    let card = free.cards["small"];
    let few = (
        free.prefill_slowdown(&card, 8, 1.0),
        bounded.prefill_slowdown(&card, 8, 1.0),
    );
    assert_eq!(
        few.0, few.1,
        "the chunk does not bound a partly filled pass"
    );
    let many = bounded.prefill_slowdown(&card, 8, 1000.0);
    assert!(many < free.prefill_slowdown(&card, 8, 1000.0), "{many}");
    let chunk_ms = bounded.prefill_ms(&card, 8, 512.0);
    let steps_ms = 3.0 * bounded.step_ms(&card, 8, 1.0);
    let worst = 1.0 + chunk_ms / steps_ms;
    assert!((many - worst).abs() < 1e-9, "{many}, expected {worst}");
}

/// Guards against assuming the full prefill rate for an engine that also decodes.
#[test]
fn decoding_engine_prefills_one_chunk_per_pass() {
    let model = LayerModel {
        chunk: 512.0,
        ..model()
    };
    let card = model.cards["large"];
    let pass_ms = model.prefill_ms(&card, 20, 512.0) + 3.0 * model.step_ms(&card, 20, 30.0);
    let rate = model.max_prefill_per_s(&card, 20, 30.0);
    assert!((rate * pass_ms / 1000.0 - 512.0).abs() < 1e-6, "{rate}");
}
