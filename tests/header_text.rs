//! Texts that header fields carry unchanged.

use guavahold::http::{HeaderText, InvalidHeaderText, MAX_HEADER_TEXT_BYTES};

/// Guards against a name that adds a line to the head of a request, or that arrives changed.
#[test]
fn header_text_new_accepts_what_one_field_carries_unchanged() {
    let longest = "x".repeat(MAX_HEADER_TEXT_BYTES);
    for text in ["", "i-1", "a b", "a=b\"c\"", "caf\u{e9}", &longest] {
        assert_eq!(HeaderText::new(text).unwrap().as_str(), text);
    }
    let controls = (0..32)
        .chain([127])
        .map(|code| char::from(code).to_string());
    for control in controls {
        for text in [
            format!("a{control}b"),
            control.clone(),
            format!("a{control}"),
        ] {
            let refused = HeaderText::new(&*text).unwrap_err();
            assert_eq!(refused, InvalidHeaderText::ControlCharacter, "{text:?}");
        }
    }
    for text in [" a", "a ", "\u{a0}a"] {
        let refused = HeaderText::new(text).unwrap_err();
        assert_eq!(refused, InvalidHeaderText::OuterSpace, "{text:?}");
    }
    let refused = HeaderText::new(longest + "x").unwrap_err();
    assert_eq!(refused, InvalidHeaderText::TooLong);
}

#[test]
fn header_text_to_value_is_none_beyond_ascii() {
    let value = |text: &str| HeaderText::new(text).unwrap().to_value();
    assert_eq!(value("i-1").unwrap().as_str(), "i-1");
    assert_eq!(value("caf\u{e9}"), None);
}
