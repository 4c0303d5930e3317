//! What each response of a target proves, on each kind of connection, for each kind of request.

use std::time::Duration;

use guavahold::gateway::{
    ConnectionHistory, ExpectedResponse, ResponseConduct, ResponseInfo, ResponseMeaning, RunReport,
};
use guavahold::prelude::Name;

use ConnectionHistory::{Kept, New, RefusedBefore};
use Report::{Misdirected, Nothing, Stated};
use ResponseMeaning::{Answer, Doubtful, Foreign, NotRun, UnprovenRefusal};

const ALL_CONNECTIONS: [ConnectionHistory; 3] = [New, Kept, RefusedBefore];

/// Whose ID the response bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Id {
    Own,
    Other,
    Absent,
}

/// What the response says of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Report {
    Nothing,
    /// It states that the request has not run.
    Stated,
    /// It comes from another target or weight version.
    Misdirected,
}

/// A row: ID, report, status; the meaning for a request that may run once on a connection that is
/// new, kept, or refused it before, then the same for a request that may be repeated.
type Row = (Id, Report, u16, [ResponseMeaning; 3], [ResponseMeaning; 3]);

#[rustfmt::skip]
const ROWS: [Row; 31] = [
    (Id::Own, Nothing, 200, [Answer; 3], [Answer; 3]),
    (Id::Own, Nothing, 400, [Answer; 3], [Answer; 3]),
    (Id::Own, Nothing, 500, [Answer; 3], [Answer; 3]),
    (Id::Own, Nothing, 504, [Answer; 3], [Answer; 3]),
    (Id::Own, Nothing, 408, [UnprovenRefusal; 3], [Answer; 3]),
    (Id::Own, Nothing, 429, [UnprovenRefusal; 3], [Answer; 3]),
    (Id::Own, Nothing, 503, [UnprovenRefusal; 3], [Answer; 3]),
    (Id::Own, Misdirected, 421, [NotRun, NotRun, Foreign], [NotRun, NotRun, Doubtful]),
    (Id::Own, Stated, 400, [NotRun, NotRun, Foreign], [NotRun, NotRun, Doubtful]),
    (Id::Own, Stated, 408, [NotRun, NotRun, Foreign], [NotRun, NotRun, Doubtful]),
    (Id::Own, Stated, 429, [NotRun, NotRun, Foreign], [NotRun, NotRun, Doubtful]),
    (Id::Own, Stated, 500, [NotRun, NotRun, Foreign], [NotRun, NotRun, Doubtful]),
    (Id::Own, Stated, 503, [NotRun, NotRun, Foreign], [NotRun, NotRun, Doubtful]),
    (Id::Own, Stated, 504, [NotRun, NotRun, Foreign], [NotRun, NotRun, Doubtful]),
    (Id::Absent, Nothing, 200, [Foreign; 3], [Foreign; 3]),
    (Id::Absent, Nothing, 400, [Answer, Foreign, Foreign], [Answer, Doubtful, Doubtful]),
    (Id::Absent, Nothing, 500, [Answer, Foreign, Foreign], [Answer, Doubtful, Doubtful]),
    (Id::Absent, Nothing, 504, [Answer, Foreign, Foreign], [Answer, Doubtful, Doubtful]),
    (Id::Absent, Nothing, 408, [UnprovenRefusal, Foreign, Foreign], [Answer, Doubtful, Doubtful]),
    (Id::Absent, Nothing, 429, [UnprovenRefusal, Foreign, Foreign], [Answer, Doubtful, Doubtful]),
    (Id::Absent, Nothing, 503, [UnprovenRefusal, Foreign, Foreign], [Answer, Doubtful, Doubtful]),
    (Id::Absent, Misdirected, 421, [NotRun, Foreign, Foreign], [NotRun, Doubtful, Doubtful]),
    (Id::Absent, Stated, 400, [NotRun, Foreign, Foreign], [NotRun, Doubtful, Doubtful]),
    (Id::Absent, Stated, 429, [NotRun, Foreign, Foreign], [NotRun, Doubtful, Doubtful]),
    (Id::Absent, Stated, 500, [NotRun, Foreign, Foreign], [NotRun, Doubtful, Doubtful]),
    (Id::Absent, Stated, 503, [NotRun, Foreign, Foreign], [NotRun, Doubtful, Doubtful]),
    (Id::Absent, Stated, 504, [NotRun, Foreign, Foreign], [NotRun, Doubtful, Doubtful]),
    (Id::Other, Nothing, 200, [Foreign; 3], [Foreign; 3]),
    (Id::Other, Nothing, 503, [Foreign; 3], [Foreign; 3]),
    (Id::Other, Misdirected, 421, [Foreign; 3], [Foreign; 3]),
    (Id::Other, Stated, 503, [Foreign; 3], [Foreign; 3]),
];

fn meaning(
    id: Id,
    report: Report,
    status: u16,
    run_once: bool,
    connection: ConnectionHistory,
) -> ResponseMeaning {
    let info = ResponseInfo {
        run: match report {
            Nothing => RunReport::Unknown,
            Stated => RunReport::NotRun,
            Misdirected => RunReport::Misdirected,
        },
        request: match id {
            Id::Own => Some("r1".into()),
            Id::Other => Some("r2".into()),
            Id::Absent => None,
        },
        ..ResponseInfo::default()
    };
    let expected = ExpectedResponse {
        request: "r1",
        run_once,
        connection,
    };
    expected.meaning(status, &info)
}

#[test]
fn response_meaning_of_every_kind_of_response() {
    for (id, report, status, once, repeatable) in ROWS {
        for (run_once, meanings) in [(true, once), (false, repeatable)] {
            for (connection, expected) in ALL_CONNECTIONS.into_iter().zip(meanings) {
                let case = format!("{id:?} {report:?} {status} once={run_once} {connection:?}");
                let found = meaning(id, report, status, run_once, connection);
                assert_eq!(found, expected, "{case}");
            }
        }
    }
}

#[test]
fn response_meaning_of_a_response_that_may_be_foreign_is_never_proof() {
    for report in [Nothing, Misdirected, Stated] {
        for status in [200, 400, 408, 421, 429, 500, 503, 504] {
            for run_once in [false, true] {
                let of = |id, connection| meaning(id, report, status, run_once, connection);
                assert_ne!(of(Id::Absent, Kept), NotRun);
                assert_ne!(of(Id::Absent, RefusedBefore), NotRun);
                assert_ne!(of(Id::Own, RefusedBefore), NotRun);
                assert!(ALL_CONNECTIONS.iter().all(|c| of(Id::Other, *c) == Foreign));
            }
        }
    }
}

#[test]
fn response_conduct_permits_kept_connections_only_where_refusals_bear_ids() {
    let conduct = ResponseConduct::default();
    let (named, silent): (Name, Name) = ("s1".into(), "s2".into());
    let at = Duration::from_secs;
    assert!(!conduct.permits_kept(at(0), &named));
    conduct.record_named_refusal(&named);
    assert!(conduct.permits_kept(at(1), &named));
    assert!(!conduct.permits_kept(at(1), &silent));
    conduct.record_unassigned(at(2), &named);
    conduct.record_named_refusal(&named);
    assert!(!conduct.permits_kept(at(61), &named));
    assert!(conduct.permits_kept(at(62), &named));
}

#[test]
fn response_conduct_expects_named_refusals_after_many_named_responses() {
    let conduct = ResponseConduct::default();
    let service: Name = "s1".into();
    let at = Duration::from_secs;
    let name_responses = |count| (0..count).for_each(|_| conduct.record_named(&service));
    name_responses(63);
    assert!(!conduct.permits_kept(at(1), &service));
    name_responses(1);
    assert!(conduct.permits_kept(at(1), &service));
    conduct.record_unnamed(at(2), &service);
    name_responses(100);
    assert!(!conduct.permits_kept(at(100), &service));
    conduct.record_named_refusal(&service);
    assert!(conduct.permits_kept(at(100), &service));
}
