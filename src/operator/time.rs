//! Times and durations as text for people.

/// Seconds of a day.
const SECONDS_PER_DAY: u64 = 86_400;

/// Renders milliseconds since the Unix epoch as UTC, such as `2026-12-03 21:04:05Z`.
///
/// The date is computed as in Howard Hinnant's `civil_from_days`: in years that start on 1 March,
/// so that a leap day is the last day of its year, and in eras of 400 years.
#[must_use]
pub fn utc_text(ms: u64) -> String {
    let seconds = ms / 1000;
    let (days, second_of_day) = (seconds / SECONDS_PER_DAY, seconds % SECONDS_PER_DAY);
    let days_since_march_0 = days + 719_468;
    let (era, day_of_era) = (days_since_march_0 / 146_097, days_since_march_0 % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    let (hour, minute, second) = (
        second_of_day / 3600,
        second_of_day / 60 % 60,
        second_of_day % 60,
    );
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}Z")
}

/// Renders a duration in one unit, such as `420 ms`, `12 s`, `3 min`, `2 h` or `4 d`. A larger unit
/// is used from two minutes, two hours and two days on.
#[must_use]
pub fn age_text(ms: u64) -> String {
    match ms {
        0..1000 => format!("{ms} ms"),
        1000..120_000 => format!("{} s", ms / 1000),
        120_000..7_200_000 => format!("{} min", ms / 60_000),
        7_200_000..172_800_000 => format!("{} h", ms / 3_600_000),
        _ => format!("{} d", ms / 86_400_000),
    }
}
