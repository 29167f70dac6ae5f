//! Sets of arbitrary content.

#![cfg(feature = "config")]

use oriolering::config::{Bundle, ProcessSettings, SettingsSet, diff};
use proptest::prelude::*;

/// A text that comes near to a set: JSON punctuation, real names and stray bytes.
fn fragment() -> impl Strategy<Value = String> {
    let words = prop::sample::select(vec![
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        "\"",
        "//",
        "/*",
        "*/",
        "\n",
        "\\u",
        "\\uD800",
        "null",
        "true",
        "-",
        "1e999",
        "0",
        "18446744073709551616",
        "\"services\"",
        "\"defaults\"",
        "\"caja\"",
        "\"queue\"",
        "\"length\"",
        "\"slots\"",
        "\"min\"",
        "\"idempotent\"",
        "é",
        "🦅",
        "\u{feff}",
    ]);
    let word =
        prop_oneof![4 => words.prop_map(str::to_owned), 1 => any::<char>().prop_map(String::from)];
    prop::collection::vec(word, 0..60).prop_map(|words| words.concat())
}

/// A field of a service, in range or just out of it.
fn field() -> impl Strategy<Value = String> {
    let number = prop_oneof![Just(0u64), 1..30u64, 200..3_000u64];
    let names = prop::sample::select(vec![
        "\"deadline_ms\": N",
        "\"queue\": {\"length\": N}",
        "\"queue\": {\"wait_ms\": N}",
        "\"slots\": {\"min\": N}",
        "\"slots\": {\"max\": N}",
        "\"hedge\": {\"after_ms\": N}",
        "\"measure\": {\"budget_ms\": N}",
        "\"ramp_ms\": null",
        "\"queue\": null",
        "\"idempotent\": []",
        "\"connections\": N",
    ]);
    (names, number).prop_map(|(name, number)| name.replace('N', &number.to_string()))
}

fn overlay() -> impl Strategy<Value = String> {
    let caja = field().prop_map(|f| format!("{{\"services\": {{\"caja\": {{{f}}}}}}}"));
    let defaults = field().prop_map(|f| format!("{{\"defaults\": {{{f}}}}}"));
    prop_oneof![caja, defaults]
}

fn set(base: &str, overlays: &[String]) -> Bundle {
    let named = overlays.iter().enumerate();
    Bundle {
        base: base.to_owned(),
        overlays: named
            .map(|(i, text)| (format!("s{i}").into(), text.clone()))
            .collect(),
    }
}

proptest! {
    #[test]
    fn arbitrary_text_is_read_without_panic(base in fragment(), over in fragment()) {
        let _ = SettingsSet::parse(&set(&base, &[over]));
        let _ = Bundle::parse(&base);
        let _ = ProcessSettings::parse("process.jsonc", &base);
    }

    #[test]
    fn arbitrary_bytes_are_read_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let text = String::from_utf8_lossy(&bytes);
        let _ = SettingsSet::parse(&set(&text, &[text.to_string()]));
        let _ = Bundle::parse(&text);
    }

    /// The verdict is a function of the bundle: equal bundles give equal sets or problems, and
    /// one overlay does not change the settings of another site.
    #[test]
    fn the_verdict_depends_on_the_bundle_alone(
        fields in prop::collection::vec(field(), 0..2),
        overlays in prop::collection::vec(overlay(), 1..4),
    ) {
        let base = format!("{{\"services\": {{\"rack\": {{}}, \"caja\": {{{}}}}}}}", fields.join(","));
        let bundle = set(&base, &overlays);
        let first = SettingsSet::parse(&bundle);
        let relayed = Bundle::parse(&bundle.to_json()).expect("a rendered bundle is readable");
        prop_assert_eq!(&first, &SettingsSet::parse(&relayed));
        if let Ok(whole) = first {
            let alone = SettingsSet::parse(&set(&base, &overlays[..1])).expect("a part is valid");
            prop_assert_eq!(whole.site("s0"), alone.site("s0"));
            prop_assert_eq!(whole.base(), alone.base());
        }
    }

    /// No accepted set breaks a rule between fields at any site.
    #[test]
    fn effective_settings_keep_the_rules(overlays in prop::collection::vec(overlay(), 0..3)) {
        let base = "{\"services\": {\"rack\": {}, \"caja\": {}}}";
        if let Ok(set) = SettingsSet::parse(&set(base, &overlays)) {
            for service in set.sites().flat_map(|site| set.site(site).services) {
                prop_assert!(service.slots.min <= service.slots.initial);
                prop_assert!(service.slots.initial <= service.slots.max);
                prop_assert!(service.slots.max <= service.connections);
                prop_assert!(service.queue.wait_ms <= service.deadline_ms);
                prop_assert!(service.queue.length >= 1);
            }
        }
    }

    /// A difference is reported exactly when the settings of some site differ.
    #[test]
    fn differences_are_those_of_the_effective_settings(
        old in prop::collection::vec(overlay(), 0..3),
        new in prop::collection::vec(overlay(), 0..3),
    ) {
        let base = "{\"services\": {\"rack\": {}, \"caja\": {}}}";
        if let (Ok(old), Ok(new)) = (SettingsSet::parse(&set(base, &old)), SettingsSet::parse(&set(base, &new))) {
            let sites = || old.sites().chain(new.sites());
            let differs = sites().any(|site| old.site(site) != new.site(site));
            prop_assert_eq!(diff(&old, &new).is_empty(), !differs);
            prop_assert!(diff(&old, &old).is_empty());
            prop_assert_eq!(diff(&old, &new).len(), diff(&new, &old).len());
        }
    }
}
