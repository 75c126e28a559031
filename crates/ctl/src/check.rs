//! The `check` subcommand: validates settings, template and configuration files.
//!
//! A configuration is read by the relay's own codecs, and what is wrong with it is found by
//! the relay's own functions (`parsleylatch_decide::relay`).

use std::{fmt::Write as _, path::Path};

use parsleylatch_decide::relay::{
    ConfigurationPlace, Finding, FindingKind, RelayConfigurationParts, Severity,
    check_configuration, compare_configurations,
};
use parsleylatch_settings::{
    Document, NodeSettings, RelaySettings, SettingsError, Template, json_line,
};
use serde_json::{Value, json};
use strum::Display;

/// One of the forms in which operators write configurations of the relay.
#[derive(Clone, Copy)]
pub struct ConfigurationForm {
    /// Text that only configurations of this form contain.
    pub marker: &'static str,
    /// Reads a configuration.
    pub read: fn(&str) -> Result<RelayConfigurationParts, String>,
    /// Path of a place in the text.
    pub path: fn(ConfigurationPlace) -> String,
}

/// Kind of a checked file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
enum FileKind {
    #[strum(to_string = "relay settings")]
    RelaySettings,
    #[strum(to_string = "node settings")]
    NodeSettings,
    #[strum(to_string = "relay configuration")]
    Configuration,
    Template,
}

/// A finding with its place in a file.
#[derive(Clone, Debug)]
struct PlacedFinding {
    finding: Finding,
    file: String,
    /// Counted from 1; 0 for the whole file.
    line: usize,
    path: String,
}

/// Result of a check.
#[derive(Clone, Debug)]
pub struct CheckReport {
    file: String,
    kind: FileKind,
    findings: Vec<PlacedFinding>,
}

impl CheckReport {
    /// Status with which the process exits: 0 without findings that matter, 1 with warnings,
    /// 2 with errors.
    pub fn exit_status(&self) -> i32 {
        match self.findings.iter().map(|it| it.finding.severity()).max() {
            None | Some(Severity::Note) => 0,
            Some(Severity::Warning) => 1,
            Some(Severity::Error) => 2,
        }
    }

    /// One line for each finding; one that says that the file is usable if there is no error.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for placed in &self.findings {
            let finding = &placed.finding;
            let (file, line, path) = (&placed.file, placed.line, &placed.path);
            let (severity, kind) = (finding.severity(), finding.kind);
            let message = &finding.message;
            // Writing to a string can't fail.
            let _ = match path.is_empty() {
                true => writeln!(text, "{file}:{line}: {severity}: {message} [{kind}]"),
                false => writeln!(
                    text,
                    "{file}:{line}: {severity}: {path}: {message} [{kind}]"
                ),
            };
        }
        if self.exit_status() < 2 {
            let _ = writeln!(text, "{}: usable {}", self.file, self.kind);
        }
        text
    }

    /// The same as a JSON document.
    pub fn json(&self) -> Value {
        let findings = self.findings.iter().map(|placed| {
            json!({
                "severity": placed.finding.severity().to_string(),
                "kind": placed.finding.kind.to_string(),
                "file": placed.file,
                "line": placed.line,
                "path": placed.path,
                "message": placed.finding.message,
            })
        });
        json!({
            "file": self.file,
            "kind": self.kind.to_string(),
            "exit_status": self.exit_status(),
            "findings": findings.collect::<Vec<_>>(),
        })
    }
}

/// Validates a file. A configuration is also compared with the file of the one in force.
pub fn check_file(
    path: &Path,
    in_force: Option<&Path>,
    forms: &[ConfigurationForm],
) -> CheckReport {
    let mut report = CheckReport {
        file: path.display().to_string(),
        kind: FileKind::Template,
        findings: Vec::new(),
    };
    let document = match Document::open(path) {
        Ok(document) => document,
        Err(error) => {
            report.findings.push(settings_finding(&error));
            return report;
        }
    };
    report.kind = kind_of(document.text());
    if report.kind == FileKind::Configuration {
        report.findings = check_configurations(&report.file, &document, in_force, forms);
        return report;
    }
    let read = match report.kind {
        FileKind::RelaySettings => RelaySettings::read(&document).map(|_| ()),
        FileKind::NodeSettings => NodeSettings::read(&document).map(|_| ()),
        _ => Template::read(&document).map(|_| ()),
    };
    report
        .findings
        .extend(read.err().as_ref().map(settings_finding));
    if in_force.is_some() {
        let message = "only configurations of the relay are compared".to_owned();
        report.findings.push(unreadable(&report.file, message));
    }
    report
}

/// Only relay settings contain `ready_address`, only settings contain `node_id`, and of the
/// others only configurations contain `routes`.
fn kind_of(text: &str) -> FileKind {
    if text.contains("\"ready_address\"") {
        FileKind::RelaySettings
    } else if text.contains("\"node_id\"") {
        FileKind::NodeSettings
    } else if text.contains("\"routes\"") {
        FileKind::Configuration
    } else {
        FileKind::Template
    }
}

fn settings_finding(error: &SettingsError) -> PlacedFinding {
    PlacedFinding {
        line: error.line,
        path: error.field.clone(),
        ..unreadable(&error.file, error.kind.to_string())
    }
}

/// Finding about a file that can't be used.
fn unreadable(file: &str, message: String) -> PlacedFinding {
    PlacedFinding {
        line: line_in_message(&message),
        finding: Finding::new(
            FindingKind::Unreadable,
            ConfigurationPlace::Document,
            message,
        ),
        file: file.to_owned(),
        path: String::new(),
    }
}

/// Line that the JSON parser names at the end of its message; 0 if it names none.
fn line_in_message(message: &str) -> usize {
    let named = message.rsplit_once(" at line ");
    let line = named.and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
    line.unwrap_or(0)
}

/// A configuration file that was read.
struct Configuration<'a> {
    file: &'a str,
    text: &'a str,
    path: fn(ConfigurationPlace) -> String,
    parts: RelayConfigurationParts,
}

impl Configuration<'_> {
    fn place(&self, finding: Finding) -> PlacedFinding {
        let path = (self.path)(finding.place);
        PlacedFinding {
            line: json_line(self.text, &path),
            file: self.file.to_owned(),
            path,
            finding,
        }
    }
}

fn check_configurations(
    file: &str,
    document: &Document,
    in_force: Option<&Path>,
    forms: &[ConfigurationForm],
) -> Vec<PlacedFinding> {
    let next = match read_configuration(file, document, forms) {
        Ok(next) => next,
        Err(finding) => return vec![*finding],
    };
    let checked = check_configuration(&next.parts);
    let mut findings: Vec<_> = checked.into_iter().map(|it| next.place(it)).collect();
    if let Some(path) = in_force {
        findings.extend(compare_with(&next, path, forms));
    }
    findings
}

fn compare_with(
    next: &Configuration<'_>,
    path: &Path,
    forms: &[ConfigurationForm],
) -> Vec<PlacedFinding> {
    let document = match Document::open(path) {
        Ok(document) => document,
        Err(error) => return vec![settings_finding(&error)],
    };
    let file = path.display().to_string();
    let in_force = match read_configuration(&file, &document, forms) {
        Ok(in_force) => in_force,
        Err(finding) => return vec![*finding],
    };
    let differences = compare_configurations(&in_force.parts, &next.parts);
    let placed = differences.into_iter().map(|it| match it.is_in_force {
        true => in_force.place(it),
        false => next.place(it),
    });
    placed.collect()
}

/// Reads a configuration in the first form that fits: one whose marker it contains, or any if
/// it contains none.
fn read_configuration<'a>(
    file: &'a str,
    document: &'a Document,
    forms: &[ConfigurationForm],
) -> Result<Configuration<'a>, Box<PlacedFinding>> {
    let text = document.text();
    let is_marked = |form: &&ConfigurationForm| text.contains(form.marker);
    let marked = forms.iter().find(is_marked);
    let candidates = marked.map_or(forms, std::slice::from_ref);
    let mut reason = String::new();
    for form in candidates {
        match (form.read)(text) {
            Ok(parts) => {
                return Ok(Configuration {
                    file,
                    text,
                    path: form.path,
                    parts,
                });
            }
            Err(error) => reason = error,
        }
    }
    Err(Box::new(unreadable(file, reason)))
}
