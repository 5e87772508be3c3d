//! Results of an experiment: figures, goals and violations.

use std::process::ExitCode;

use serde::Serialize;

/// The goal of a figure.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Goal {
    /// No goal; the figure is informational.
    None,
    /// The figure must be at most this.
    AtMost(f64),
    /// The figure must be at least this.
    AtLeast(f64),
}

impl Goal {
    fn is_met_by(self, value: f64) -> bool {
        match self {
            Goal::None => true,
            Goal::AtMost(max) => value <= max,
            Goal::AtLeast(min) => value >= min,
        }
    }
}

impl std::fmt::Display for Goal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Goal::None => Ok(()),
            Goal::AtMost(max) => write!(f, "at most {max}"),
            Goal::AtLeast(min) => write!(f, "at least {min}"),
        }
    }
}

/// A named measurement.
#[derive(Debug, Clone, Serialize)]
pub struct Figure {
    /// Name of the measurement.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Goal of the value.
    pub goal: Goal,
}

/// The results of an experiment.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Figures in the order in which they are printed.
    pub figures: Vec<Figure>,
    /// Violated guarantees, one message each.
    pub violations: Vec<String>,
}

impl Report {
    /// Adds a figure.
    pub fn add(&mut self, name: &str, value: f64, unit: &'static str, goal: Goal) {
        self.figures.push(Figure {
            name: name.to_owned(),
            value,
            unit,
            goal,
        });
    }

    /// Prints the report. Fails if there are violations, or with `check` if a goal is missed.
    pub fn print(&self, json: bool, check: bool) -> ExitCode {
        if json {
            // Serializing numbers and strings cannot fail.
            println!("{}", serde_json::to_string(self).unwrap_or_default());
        } else {
            self.print_table();
        }
        for violation in &self.violations {
            eprintln!("violation: {violation}");
        }
        let missed: Vec<&Figure> = self
            .figures
            .iter()
            .filter(|figure| !figure.goal.is_met_by(figure.value))
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
                goal if goal.is_met_by(value) => format!("goal {goal}: met"),
                goal => format!("goal {goal}: missed"),
            };
            println!("{name:width$}  {value:>12.3} {unit:<10} {verdict}");
        }
    }
}
