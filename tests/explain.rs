//! `explain`: the cause and context of a request, from entries' logs.

use guavahold::operator::{Exit, LogLine, Paint, Report, explain};

const LOGS: &str = r#"
ts_ms=900 level=info vm=front-1 event=config_in_force version=4
front-2 ts_ms=950 level=info vm=front-2 event=target_unreachable target=i-9 error="timed out"
ts_ms=990 level=info vm=front-1 event=target_unreachable target=i-1 error="timed out"
ts_ms=1000 level=info vm=front-1 event=attempt request=aa number=1 target=i-1 weights=2 after_ms=0 took_ms=400 fetched=1 saved=0 result="lost (connection ended without an answer)"
ts_ms=1001 level=info vm=front-1 event=request_ended request=aa route=r service=s customer=c tokens=0 waited_ms=0 first_ms=-1 took_ms=400 deadline_ms=2500 attempts=1 end=refused status=502 reason=target-failed retry_after_ms=0
ts_ms=1100 level=info vm=front-2 event=request_ended request=bb route=r service=s customer=c tokens=9 waited_ms=1 first_ms=-1 took_ms=1 deadline_ms=3000 attempts=0 end=refused status=503 reason=deadline-unreachable retry_after_ms=700
ts_ms=1200 level=info vm=front-2 event=attempt request=cc number=1 target=i-9 weights=2 work=5200 requests=3 age_ms=140 home_work=900 after_ms=0 took_ms=80 fetched=0 saved=0 result="cut-short (connection ended in the answer)"
ts_ms=1201 level=info vm=front-2 event=request_ended request=cc route=r service=s customer=c tokens=9 waited_ms=0 first_ms=30 took_ms=81 deadline_ms=3000 attempts=1 end=cut-short
ts_ms=1300 level=warn vm=front-3 event=part_quarantined part=22cc33dd victims=i-2,i-3,i-4 once_sound=false time_ms=30000
ts_ms=1310 level=info vm=front-3 event=request_rejected request=dd0 status=503 reason=quarantined
ts_ms=1400 level=info vm=front-3 event=objects_unconfirmed kind=routes config=15 revision=40 peer_revision=47 by=store silent_ms=3010
ts_ms=1500 level=info vm=front-3 event=attempt request=ee number=1 target=i-4 weights=2 after_ms=0 took_ms=80 fetched=0 saved=0 result="lost (connection ended without an answer)"
ts_ms=1500 level=info vm=front-3 event=prompt_broken_off request=ee target=i-4 answer_began=false parts=0011aabb,22cc33dd
ts_ms=1501 level=info vm=front-3 event=request_ended request=ee route=r service=s customer=c tokens=9 waited_ms=0 first_ms=-1 took_ms=81 deadline_ms=3000 attempts=1 end=refused status=502 reason=target-failed retry_after_ms=0
ts_ms=1550 level=info vm=front-3 event=target_path target=i-5 path=relayed relayed_targets=4
ts_ms=1600 level=info vm=front-2 event=request_relayed request=ff target=i-5 peer=front-3
ts_ms=1650 level=info vm=front-3 event=attempt request=ff number=1 target=i-5 weights=2 after_ms=0 took_ms=60 fetched=0 saved=0 relay=front-2 result="answered"
ts_ms=1651 level=info vm=front-3 event=request_ended request=ff route=r service=s customer=c tokens=9 waited_ms=0 first_ms=40 took_ms=61 deadline_ms=3000 attempts=1 end=answered status=200
level=warn event=log_lines_dropped count=17
"#;

fn text(request: &str) -> String {
    explain(request, LOGS).text(Paint(false))
}

#[test]
fn log_line_parses_quoted_and_empty_fields() {
    let line = LogLine::parse(r#"12.5 front ts_ms=7 a="x \"y\" z" b= c=d"#);
    assert_eq!(line.number("ts_ms"), 7);
    assert_eq!(line.get("a"), r#"x "y" z"#);
    assert_eq!(
        (line.get("b"), line.get("c"), line.get("none")),
        ("", "d", "")
    );
}

#[test]
fn explain_unknown_outcome_with_context_of_its_target() {
    let text = text("aa");
    assert!(
        text.contains("a target may have run it and gave no answer"),
        "{text}"
    );
    assert!(text.contains("attempt 1 at i-1 after 0 ms"), "{text}");
    assert!(text.contains("front-1 target_unreachable i-1"), "{text}");
    assert!(text.contains("front-1 config_in_force 4"), "{text}");
    assert!(!text.contains("i-9"), "{text}");
}

#[test]
fn explain_refusal_names_predicted_wait() {
    let text = text("bb");
    assert!(
        text.contains("the predicted wait for a place at s"),
        "{text}"
    );
    assert!(text.contains("after 700 ms"), "{text}");
}

#[test]
fn explain_broken_stream_with_load_estimate() {
    let text = text("cc");
    assert!(text.contains("its stream broke (cut-short"), "{text}");
    assert!(text.contains("17 lines were left out"), "{text}");
    let load_estimate = "3 requests and 5200 tokens of work were believed there, those of others up to \
                  140 ms old, 900 where its prompt is likely held";
    assert!(text.contains(load_estimate), "{text}");
}

#[test]
fn explain_request_without_lines_reports_dropped_lines() {
    let report = explain("dd", LOGS);
    assert_eq!(report.exit(), Exit::Failure);
    assert!(report.text(Paint(false)).contains("17 lines were left out"));
    assert_eq!(report.json()["dropped"], 17);
}

#[test]
fn explain_quarantined_prompt_names_the_part_and_its_victims() {
    let text = text("dd0");
    assert!(text.contains("with a part of its prompt"), "{text}");
    let quarantine = "front-3 part_quarantined 22cc33dd i-2,i-3,i-4";
    assert!(text.contains(quarantine), "{text}");
}

#[test]
fn explain_prompt_broken_off_shows_its_parts_and_the_entry_s_configuration() {
    let text = text("ee");
    let parts = "i-4 had parts 0011aabb,22cc33dd of its prompt, its answer had not begun";
    assert!(text.contains(parts), "{text}");
    let belief = "front-3 objects_unconfirmed routes 15 40 47 store 3010";
    assert!(text.contains(belief), "{text}");
}

#[test]
fn explain_names_the_peer_that_relayed_a_request() {
    let text = text("ff");
    assert!(text.contains("attempt 1 at i-5 through front-2"), "{text}");
    assert!(
        text.contains("front-2 relayed it to i-5 for front-3"),
        "{text}"
    );
    assert!(text.contains("front-3 target_path i-5 relayed"), "{text}");
}
