//! Texts from outside in log lines.

use guavahold::telemetry::{LogMessage, LogValue, MAX_MESSAGE_BYTES};

/// Guards against a name that forges a line of the log.
#[test]
fn log_message_is_one_line_without_control_characters() {
    let controls = (0..32).chain([127, 0x85, 0x9b, 0x2028, 0x2029]);
    for code in controls {
        let c = char::from_u32(code).unwrap();
        let line = LogMessage(format!("name=a{c}b")).to_string();
        assert_eq!(line, format!("name=a{}b", c.escape_default()));
    }
    let plain = "event=x name=\"caf\u{e9} \\n\" n=1";
    assert_eq!(LogMessage(plain).to_string(), plain);
}

/// Guards against lines of any length, such as of a name of 100 kB.
#[test]
fn log_message_has_a_bounded_length() {
    for text in ["a", "\n", "\u{e9}", "\u{2028}"] {
        let fitting = MAX_MESSAGE_BYTES / LogMessage(text).to_string().len();
        let whole = LogMessage(text.repeat(fitting)).to_string();
        assert!(whole.len() <= MAX_MESSAGE_BYTES && !whole.ends_with("..."));
        for count in [fitting + 1, 200_000] {
            let message = text.repeat(count);
            let line = LogMessage(format_args!("{message} tail={message}")).to_string();
            assert_eq!(line, format!("{whole}..."));
        }
    }
}

/// Guards against a name that forges a field of a line.
#[test]
fn log_value_is_one_field() {
    let quoted = [
        "x level=error event=y",
        "a=b",
        "a\"b",
        "a\\b",
        "a\nb",
        "\u{e9}",
        " ",
    ];
    for text in quoted {
        assert_eq!(LogValue(text).to_string(), format!("{text:?}"));
    }
    for text in ["", "i-1", "5c1e07a2:800,9:1", "-"] {
        assert_eq!(LogValue(text).to_string(), text);
    }
}
