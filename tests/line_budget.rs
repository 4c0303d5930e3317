//! Lines of one kind of event in a flood.

use std::time::Duration;

use guavahold::telemetry::LineBudget;

/// Lines permitted of so many that come in one window.
fn permitted(budget: &LineBudget, at: Duration, lines: usize) -> usize {
    (0..lines).filter(|_| budget.permit(at).is_some()).count()
}

/// Guards against refused requests whose lines leave no room for others in a log that is set to few.
#[test]
fn line_budget_follows_the_lines_that_are_written() {
    let window = Duration::from_millis(500);
    for (lines_per_second, expected) in [(800, 200), (400, 100), (40, 10), (0, 1)] {
        let budget = LineBudget::half_of(lines_per_second);
        for n in 1..4 {
            assert_eq!(permitted(&budget, n * window, 1_000), expected);
        }
    }
}
