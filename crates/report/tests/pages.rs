//! The parts of reports: pages, tables, plots, statistics, and one short measurement.

use aspenreel_report::half_cut_links::{Fault, measure};
use aspenreel_report::html::{Block, Page, Table};
use aspenreel_report::plot::GroupedBars;
use aspenreel_report::statistics::{Distribution, format_figure};

#[test]
fn pages_escape_titles_paragraphs_and_cells() {
    let page = Page {
        title: "a < b".into(),
        blocks: vec![
            Block::Paragraph("<script>".into()),
            Block::Table(Table {
                header: vec!["x & y".into()],
                rows: vec![vec!["1".into()]],
            }),
        ],
    };
    let html = page.to_html();
    for expected in [
        "<h1>a &lt; b</h1>",
        "<p>&lt;script&gt;</p>",
        "<th>x &amp; y</th>",
    ] {
        assert!(html.contains(expected), "{expected} isn't in {html}");
    }
}

#[test]
fn tables_render_as_markdown() {
    let table = Table {
        header: vec!["cut".into(), "s".into()],
        rows: vec![vec!["no reports".into(), "9.1".into()]],
    };
    assert_eq!(
        table.to_markdown(),
        "| cut | s |\n| --- | --- |\n| no reports | 9.1 |\n"
    );
}

#[test]
fn grouped_bars_have_one_bar_for_each_present_value() {
    let bars = GroupedBars {
        title: "bars".into(),
        y_label: "s".into(),
        series: vec!["one".into(), "two".into()],
        groups: vec![
            ("a".into(), vec![Some(1.0), None]),
            ("b".into(), vec![Some(2.0), Some(3.0)]),
        ],
    };
    let svg = bars.to_svg().unwrap();
    let filled = |colour: &str| svg.matches(&format!("fill=\"{colour}\"")).count();
    // The legend has one more square for each series.
    assert_eq!((filled("#888888"), filled("#1F77B4")), (3, 2), "{svg}");
    assert!(svg.contains(">\na\n<") || svg.contains(">a<"), "{svg}");
}

#[test]
fn distributions_have_quantiles_and_a_mean() {
    let mut values = Distribution::default();
    assert_eq!(format_figure(values.quantile(0.5)), "-");
    values.extend([1.0, 2.0, 3.0, 4.0, 100.0]);
    let quantiles = [0.5, 0.95].map(|fraction| format_figure(values.quantile(fraction)));
    assert_eq!(quantiles, ["3.0", "100.0"]);
    assert_eq!(
        (format_figure(values.mean()), values.len()),
        ("22.0".into(), 5)
    );
}

/// With `--half-cut-links` a leader that receives no heartbeats is replaced once, no service rule is violated, and the
/// next leader starts tasks after the last start of the old one.
#[test]
fn leader_without_heartbeats_is_replaced() {
    let measurements = measure(Fault::NoReports, &[1], true);
    assert_eq!(measurements.violations, Vec::<String>::new());
    assert_eq!(measurements.leaders_per_minute.mean(), Some(1.0));
    let (last, next) = (
        measurements.last_decision.max(),
        measurements.next_decision.max(),
    );
    assert!(last < next, "{last:?} {next:?}");
    assert!(!measurements.turnaround.is_empty());
}
