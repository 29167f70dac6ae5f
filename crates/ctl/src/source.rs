//! Reads a set from a directory or from a published value.

use std::fs;
use std::path::Path;

use clap::{Arg, ArgMatches, ValueHint};
use oriolering::config::{Bundle, Problems, SettingsSet};

use crate::failure::{Failure, UsageSnafu};
use crate::format::{Format, to_json};

/// What to give when a set cannot be found.
const REMEDY: &str = "give a directory with base.jsonc and overlays/SITE.jsonc, or a file that \
                      'oriolering bundle' printed";

/// A set and where it was read.
pub(crate) struct Source {
    /// The path as it was given.
    pub(crate) path: String,
    /// The texts of base and overlays.
    pub(crate) bundle: Bundle,
}

/// Returns the argument that names a set.
pub(crate) fn arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name(name.to_uppercase())
        .required(true)
        .value_hint(ValueHint::AnyPath)
        .help(help)
}

/// Reads the texts of the set that an argument names.
pub(crate) fn read(args: &ArgMatches, name: &str) -> Result<Source, Failure> {
    let path = args.get_one::<String>(name).cloned().unwrap_or_default();
    let bundle = match Path::new(&path).is_dir() {
        true => read_directory(&path)?,
        false => read_published(&path, Format::of(args))?,
    };
    Ok(Source { path, bundle })
}

/// Reads and checks the set that an argument names.
pub(crate) fn parse(args: &ArgMatches, name: &str) -> Result<SettingsSet, Failure> {
    let source = read(args, name)?;
    let format = Format::of(args);
    SettingsSet::parse(&source.bundle).map_err(|problems| refuse(&source.path, &problems, format))
}

/// Returns the failure that lists all problems of a set.
pub(crate) fn refuse(path: &str, problems: &Problems, format: Format) -> Failure {
    let report = match format {
        Format::Text => problems_text(path, problems),
        Format::Json => to_json(&serde_json::json!({"problems": problems_json(problems)})),
    };
    Failure::Invalid { report }
}

fn problems_text(path: &str, problems: &Problems) -> String {
    let directory = match Path::new(path).is_dir() {
        true => path.trim_end_matches('/').to_owned() + "/",
        false => path.to_owned() + ": ",
    };
    let lines = problems.iter().map(|p| match p.location.file == "bundle" {
        true => format!("{path}: {p}\n"),
        false => format!("{directory}{p}\n"),
    });
    let count = match problems.len() {
        1 => "1 problem\n".to_owned(),
        n => format!("{n} problems\n"),
    };
    lines.collect::<String>() + &count
}

fn problems_json(problems: &Problems) -> serde_json::Value {
    let rows = problems.iter().map(|p| {
        serde_json::json!({
            "file": p.location.file.as_str(),
            "line": p.location.line,
            "column": p.location.column,
            "path": p.path.as_str(),
            "message": p.fault.to_string(),
        })
    });
    rows.collect()
}

fn read_directory(path: &str) -> Result<Bundle, Failure> {
    let base = read_text(&Path::new(path).join("base.jsonc"))?;
    let mut bundle = Bundle {
        base,
        overlays: Default::default(),
    };
    let directory = Path::new(path).join("overlays");
    if !directory.is_dir() {
        return Ok(bundle);
    }
    let entries = fs::read_dir(&directory).map_err(|e| unreadable(&directory, &e))?;
    for entry in entries {
        let file = entry.map_err(|e| unreadable(&directory, &e))?.path();
        let site = file.file_name().and_then(|name| name.to_str());
        if let Some(site) = site.and_then(|name| name.strip_suffix(".jsonc")) {
            bundle.overlays.insert(site.into(), read_text(&file)?);
        }
    }
    Ok(bundle)
}

fn read_published(path: &str, format: Format) -> Result<Bundle, Failure> {
    if path.ends_with(".jsonc") {
        return UsageSnafu {
            text: format!("{path} is one file of a set"),
            remedy: REMEDY,
        }
        .fail();
    }
    let text = read_text(Path::new(path))?;
    Bundle::parse(&text).map_err(|problems| refuse(path, &problems, format))
}

fn read_text(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path).map_err(|e| unreadable(path, &e))
}

fn unreadable(path: &Path, e: &std::io::Error) -> Failure {
    Failure::Usage {
        text: format!("{} cannot be read ({e})", path.display()),
        remedy: REMEDY,
    }
}
