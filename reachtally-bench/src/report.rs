//! What an experiment yields: figures, goals, broken promises.

use std::process::ExitCode;

use serde::Serialize;

/// How a figure relates to its goal.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Goal {
    /// The figure is for information.
    None,
    /// At most this.
    AtMost(f64),
    /// At least this.
    AtLeast(f64),
}

impl Goal {
    fn met_by(self, value: f64) -> bool {
        match self {
            Goal::None => true,
            Goal::AtMost(most) => value <= most,
            Goal::AtLeast(least) => value >= least,
        }
    }
}

impl std::fmt::Display for Goal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Goal::None => Ok(()),
            Goal::AtMost(most) => write!(f, "at most {most}"),
            Goal::AtLeast(least) => write!(f, "at least {least}"),
        }
    }
}

/// One figure.
#[derive(Debug, Clone, Serialize)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// The value.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// Its goal.
    pub goal: Goal,
}

/// All figures of an experiment.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// The figures.
    pub figures: Vec<Figure>,
    /// Promises that broke.
    pub violations: Vec<String>,
}

impl Report {
    /// Add a figure.
    pub fn add(&mut self, name: &str, value: f64, unit: &'static str, goal: Goal) {
        self.figures.push(Figure {
            name: name.to_owned(),
            value,
            unit,
            goal,
        });
    }

    /// Print it, and say whether all went well.
    pub fn print(&self, json: bool, check: bool) -> ExitCode {
        if json {
            // A report of plain numbers and texts always serializes.
            println!("{}", serde_json::to_string(self).unwrap_or_default());
        } else {
            self.print_table();
        }
        for violation in &self.violations {
            eprintln!("broken promise: {violation}");
        }
        let missed: Vec<&Figure> = self
            .figures
            .iter()
            .filter(|figure| !figure.goal.met_by(figure.value))
            .collect();
        if check {
            for figure in &missed {
                eprintln!(
                    "missed: {} goal {} got {}",
                    figure.name, figure.goal, figure.value
                );
            }
        }
        if self.violations.is_empty() && (!check || missed.is_empty()) {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }

    fn print_table(&self) {
        let widths = self.figures.iter().map(|figure| figure.name.len());
        let width = widths.max().unwrap_or(0);
        for figure in &self.figures {
            let (name, value, unit) = (&figure.name, figure.value, figure.unit);
            let verdict = match figure.goal {
                Goal::None => String::new(),
                goal if goal.met_by(value) => format!("goal {goal}: met"),
                goal => format!("goal {goal}: missed"),
            };
            println!("{name:width$}  {value:>12.3} {unit:<10} {verdict}");
        }
    }
}
