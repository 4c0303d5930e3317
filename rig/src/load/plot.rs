//! SVG plot of the times to first token of a run.

use std::fmt::Write;

use crate::load::result::LoadResult;

/// Width and height of the plot.
const SIZE_PX: (f64, f64) = (640.0, 360.0);
/// Space around the curves.
const MARGIN_PX: f64 = 48.0;
/// Colours of the curves, one for each request kind.
const CURVE_COLOURS: [&str; 4] = ["#1b6ca8", "#c8553d", "#588157", "#7b2d8b"];

/// Plots time to first token over quantile, with one curve for each request kind.
#[must_use]
pub fn svg(result: &LoadResult) -> String {
    let (width, height) = SIZE_PX;
    let top = result.first_token.values().map(|q| q.max);
    let top = top.fold(1.0_f64, f64::max);
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"{MARGIN_PX}\" y=\"20\">{} by {}: ms to first token over share of requests \
         (top {top:.0} ms)</text>\n",
        result.profile, result.router
    );
    // `n` counts the steps of 5% between the percentiles of `Quantiles::curve`.
    let x = |n: f64| MARGIN_PX + n / 20.0 * (width - 2.0 * MARGIN_PX);
    let y = |v: f64| height - MARGIN_PX - v / top * (height - 2.0 * MARGIN_PX);
    for n in [0.0, 5.0, 10.0, 15.0, 20.0] {
        let _ = writeln!(
            out,
            "<text x=\"{:.0}\" y=\"{:.0}\">{:.0}%</text>",
            x(n),
            height - MARGIN_PX + 16.0,
            n * 5.0
        );
    }
    for ((name, q), colour) in result.first_token.iter().zip(CURVE_COLOURS) {
        let points = q.curve.iter().zip(0_u8..);
        let points = points.map(|(v, n)| format!("{:.1},{:.1}", x(f64::from(n)), y(*v)));
        let points: Vec<String> = points.collect();
        let _ = writeln!(
            out,
            "<polyline fill=\"none\" stroke=\"{colour}\" points=\"{}\"/>\n\
             <text x=\"{:.0}\" y=\"{:.0}\" fill=\"{colour}\">{name}</text>",
            points.join(" "),
            width - MARGIN_PX,
            y(q.p95)
        );
    }
    out.push_str("</svg>\n");
    out
}
