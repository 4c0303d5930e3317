//! What each response of a target proves, on each kind of connection, for each kind of request.

use guavahold::gateway::{
    ConnectionHistory, ExpectedResponse, ResponseInfo, ResponseMeaning, RunReport,
};

use ConnectionHistory::{Kept, New, RefusedBefore};
use Report::{Implied, Misdirected, Nothing, Stated};
use ResponseMeaning::{Answer, Foreign, NotRun, PerhapsNotRun, UnprovenRefusal};

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
    /// Its status tells callers that the request has not run.
    Implied,
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
    (Id::Own, Implied, 408, [UnprovenRefusal; 3], [Answer; 3]),
    (Id::Own, Implied, 429, [UnprovenRefusal; 3], [Answer; 3]),
    (Id::Own, Implied, 503, [UnprovenRefusal; 3], [Answer; 3]),
    (Id::Own, Misdirected, 421, [NotRun, NotRun, Foreign], [NotRun, NotRun, PerhapsNotRun]),
    (Id::Own, Stated, 400, [NotRun, NotRun, Foreign], [NotRun, NotRun, PerhapsNotRun]),
    (Id::Own, Stated, 408, [NotRun, NotRun, Foreign], [NotRun, NotRun, PerhapsNotRun]),
    (Id::Own, Stated, 429, [NotRun, NotRun, Foreign], [NotRun, NotRun, PerhapsNotRun]),
    (Id::Own, Stated, 500, [NotRun, NotRun, Foreign], [NotRun, NotRun, PerhapsNotRun]),
    (Id::Own, Stated, 503, [NotRun, NotRun, Foreign], [NotRun, NotRun, PerhapsNotRun]),
    (Id::Own, Stated, 504, [NotRun, NotRun, Foreign], [NotRun, NotRun, PerhapsNotRun]),
    (Id::Absent, Nothing, 200, [Foreign; 3], [Foreign; 3]),
    (Id::Absent, Nothing, 400, [Answer, Foreign, Foreign], [Answer, Foreign, Foreign]),
    (Id::Absent, Nothing, 500, [Answer, Foreign, Foreign], [Answer, Foreign, Foreign]),
    (Id::Absent, Nothing, 504, [Answer, Foreign, Foreign], [Answer, Foreign, Foreign]),
    (Id::Absent, Implied, 408, [UnprovenRefusal, Foreign, Foreign], [Answer, Foreign, Foreign]),
    (Id::Absent, Implied, 429, [UnprovenRefusal, Foreign, Foreign], [Answer, Foreign, Foreign]),
    (Id::Absent, Implied, 503, [UnprovenRefusal, Foreign, Foreign], [Answer, Foreign, Foreign]),
    (Id::Absent, Misdirected, 421, [NotRun, Foreign, Foreign], [NotRun, PerhapsNotRun, PerhapsNotRun]),
    (Id::Absent, Stated, 400, [NotRun, Foreign, Foreign], [NotRun, PerhapsNotRun, PerhapsNotRun]),
    (Id::Absent, Stated, 429, [NotRun, Foreign, Foreign], [NotRun, PerhapsNotRun, PerhapsNotRun]),
    (Id::Absent, Stated, 500, [NotRun, Foreign, Foreign], [NotRun, PerhapsNotRun, PerhapsNotRun]),
    (Id::Absent, Stated, 503, [NotRun, Foreign, Foreign], [NotRun, PerhapsNotRun, PerhapsNotRun]),
    (Id::Absent, Stated, 504, [NotRun, Foreign, Foreign], [NotRun, PerhapsNotRun, PerhapsNotRun]),
    (Id::Other, Nothing, 200, [Foreign; 3], [Foreign; 3]),
    (Id::Other, Implied, 503, [Foreign; 3], [Foreign; 3]),
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
            Nothing | Implied => RunReport::Unknown,
            Stated => RunReport::NotRun,
            Misdirected => RunReport::Misdirected,
        },
        implies_not_run: report == Implied,
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
    for report in [Nothing, Implied, Misdirected, Stated] {
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
