//! Tests of the first-token model and of the targets' slowdown.

use kingcupwall::gateway::timing::{FirstTokenModel, PrefillWork, Slowdown};
use rstest::rstest;

/// Typical prompt sizes in tokens: many small ones, some large ones.
const SIZES: [u64; 6] = [300, 800, 1_500, 400, 9_000, 2_500];

fn uncached_prompt(tokens: u64) -> PrefillWork {
    PrefillWork::of(tokens, tokens)
}

/// Guards against constants that fit only some engines. With constants from the first deployments,
/// an engine that prefills 140 tokens per ms with a base time of 55 ms was mispredicted for every
/// prompt, and up to 1 in 20 first tokens was late. A dozen answers must suffice to learn both.
#[rstest]
#[case(5.0, 5.0)]
#[case(33.0, 12.0)]
#[case(140.0, 55.0)]
#[case(200.0, 100.0)]
fn first_token_any_engine(#[case] tokens_per_ms: f64, #[case] base_ms: f64) {
    let mut model = FirstTokenModel::default();
    assert_eq!(model.estimate(), None);
    let truth = |tokens: u64| base_ms + tokens as f64 / tokens_per_ms;
    for tokens in SIZES.iter().cycle().take(12) {
        model.note(uncached_prompt(*tokens), truth(*tokens));
    }
    let found = model.estimate().unwrap();
    for tokens in SIZES {
        let off = (found.of(uncached_prompt(tokens)) - truth(tokens)).abs();
        assert!(off < 3.0 + 0.03 * truth(tokens), "{tokens}: {found:?}");
    }
}

/// Guards against underestimating the largest prompts. Each token attends to all tokens before it,
/// so a prediction from the token count alone delays these prompts and all that wait behind them.
#[test]
fn first_token_long_prompts() {
    let mut model = FirstTokenModel::default();
    let truth = |r: PrefillWork| 55.0 + r.tokens / 140.0 + r.million_pairs * 0.3;
    let sizes = [300, 800, 1_500, 400, 9_000, 2_500, 30_000, 5_000];
    for tokens in sizes.iter().cycle().take(80) {
        model.note(uncached_prompt(*tokens), truth(uncached_prompt(*tokens)));
    }
    let found = model.estimate().unwrap();
    for r in [uncached_prompt(50_000), uncached_prompt(1_000), PrefillWork::of(20_000, 2_000)] {
        assert!((found.of(r) / truth(r) - 1.0).abs() < 0.1, "{r:?}: {found:?}");
    }
}

#[test]
fn first_token_one_answer() {
    // One answer predicts prompts of its size; larger prompts must not be predicted to take no
    // longer.
    let mut model = FirstTokenModel::default();
    model.note(uncached_prompt(1_000), 40.0);
    let found = model.estimate().unwrap();
    assert!((found.of(uncached_prompt(1_000)) - 40.0).abs() < 0.001);
    assert!(found.of(uncached_prompt(10_000)) > 40.0 && found.of(uncached_prompt(0)) < 40.0);
}

#[test]
fn first_token_outliers() {
    // One answer in fifteen takes 1 s because of a lost packet, whatever its prompt size.
    let mut model = FirstTokenModel::default();
    for (i, tokens) in SIZES.iter().cycle().take(150).enumerate() {
        let ms = if i % 15 == 14 { 1_000.0 } else { 55.0 + *tokens as f64 / 140.0 };
        model.note(uncached_prompt(*tokens), ms);
    }
    let off = model.estimate().unwrap().of(uncached_prompt(1_500)) - (55.0 + 1_500.0 / 140.0);
    assert!(off.abs() < 25.0, "{off}");
}

#[test]
fn first_token_slows_down() {
    let mut model = FirstTokenModel::default();
    for tokens in SIZES.iter().cycle().take(60) {
        model.note(uncached_prompt(*tokens), 55.0 + *tokens as f64 / 140.0);
    }
    for tokens in SIZES.iter().cycle().take(200) {
        model.note(uncached_prompt(*tokens), 150.0 + *tokens as f64 / 50.0);
    }
    let found = model.estimate().unwrap().of(uncached_prompt(2_500));
    assert!((found - 200.0).abs() < 30.0, "{found}");
}

#[rstest]
#[case::like_the_others(1.0)]
#[case::slow(3.0)]
#[case::fast(0.5)]
fn slowdown_follows(#[case] factor: f64) {
    let mut slowdown = Slowdown::default();
    assert_eq!(slowdown.get(), 1.0);
    for _ in 0..80 {
        slowdown.note(60.0, 60.0 * factor);
    }
    assert!((slowdown.get() - factor).abs() < 0.3 * factor, "{}", slowdown.get());
    // A single answer changes the slowdown only slightly.
    let mut slowdown = Slowdown::default();
    slowdown.note(60.0, 180.0);
    assert!(slowdown.get() < 1.4);
}
