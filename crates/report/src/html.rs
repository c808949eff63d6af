//! HTML pages of headings, paragraphs, tables and plots, each in a single file.

use maud::{DOCTYPE, Markup, PreEscaped, html};

const STYLE: &str = "body{font:16px/1.5 sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem;color:#222}\
 table{border-collapse:collapse;margin:1rem 0}th,td{padding:.25rem .7rem;border-bottom:1px solid #ccc;\
 text-align:right}th:first-child,td:first-child{text-align:left}svg{max-width:100%;height:auto}";

/// A table whose cells are texts.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Titles of the columns.
    pub header: Vec<String>,
    /// Cells of the rows below the header.
    pub rows: Vec<Vec<String>>,
}

/// A part of a page.
#[derive(Clone, Debug)]
pub enum Block {
    /// A second-level heading.
    Heading(String),
    /// A paragraph.
    Paragraph(String),
    /// A table.
    Table(Table),
    /// A plot, as SVG.
    Plot(String),
}

/// A page with a title.
#[derive(Clone, Debug)]
pub struct Page {
    /// Title, which is also the first-level heading.
    pub title: String,
    /// Parts of the page, from top to bottom.
    pub blocks: Vec<Block>,
}

impl Page {
    /// Renders the page as a complete HTML document.
    pub fn to_html(&self) -> String {
        let page = html! {
            (DOCTYPE)
            html lang="en" {
                head {
                    meta charset="utf-8";
                    title { (self.title) }
                    style { (PreEscaped(STYLE)) }
                }
                body {
                    h1 { (self.title) }
                    @for block in &self.blocks { (block_html(block)) }
                }
            }
        };
        page.into_string()
    }
}

fn block_html(block: &Block) -> Markup {
    match block {
        Block::Heading(text) => html! { h2 { (text) } },
        Block::Paragraph(text) => html! { p { (text) } },
        Block::Plot(svg) => html! { figure { (PreEscaped(svg)) } },
        Block::Table(table) => html! {
            table {
                thead { tr { @for cell in &table.header { th { (cell) } } } }
                tbody {
                    @for row in &table.rows { tr { @for cell in row { td { (cell) } } } }
                }
            }
        },
    }
}

impl Table {
    /// Renders the table as Markdown, for the documentation.
    pub fn to_markdown(&self) -> String {
        let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
        let rule: Vec<String> = self.header.iter().map(|_| "---".into()).collect();
        let rows: String = self.rows.iter().map(|row| line(row)).collect();
        format!("{}{}{rows}", line(&self.header), line(&rule))
    }
}
