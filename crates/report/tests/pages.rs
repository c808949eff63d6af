//! What reports are made of.

use aspenreel_report::half_cut_links::{Fault, measure};
use aspenreel_report::html::{Block, Page, Table};
use aspenreel_report::plot::GroupedBars;
use aspenreel_report::statistics::{Distribution, figure};

#[test]
fn pages_escape_what_they_show() {
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
    for wanted in [
        "<h1>a &lt; b</h1>",
        "<p>&lt;script&gt;</p>",
        "<th>x &amp; y</th>",
    ] {
        assert!(html.contains(wanted), "{wanted} isn't in {html}");
    }
}

#[test]
fn tables_are_written_for_the_documentation_too() {
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
fn a_bar_for_each_value_that_there_is() {
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
    // Each series also has its square in the legend.
    assert_eq!((filled("#888888"), filled("#1F77B4")), (3, 2), "{svg}");
    assert!(svg.contains(">\na\n<") || svg.contains(">a<"), "{svg}");
}

#[test]
fn quantiles() {
    let mut values = Distribution::default();
    assert_eq!(figure(values.quantile(0.5)), "-");
    values.extend([1.0, 2.0, 3.0, 4.0, 100.0]);
    let read = [0.5, 0.95].map(|share| figure(values.quantile(share)));
    assert_eq!(read, ["3.0", "100.0"]);
    assert_eq!((figure(values.mean()), values.len()), ("22.0".into(), 5));
}

/// A short measurement: with the flag the lead changes, nothing breaks, and the next leader decides.
#[test]
fn a_leader_without_reports_is_measured() {
    let measured = measure(Fault::NoReports, &[1], true);
    assert_eq!(measured.broken, Vec::<String>::new());
    assert_eq!(measured.leaders_per_minute.mean(), Some(1.0));
    let (last, next) = (measured.last_decision.max(), measured.next_decision.max());
    assert!(last < next, "{last:?} {next:?}");
    assert!(!measured.turnaround.is_empty());
}
