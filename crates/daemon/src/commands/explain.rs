//! `explain`: explains the outcome of one request from log lines.

use std::{
    io::{self, BufRead, Write},
    process::ExitCode,
};

use crate::explain::Explanation;

/// Exit code if no line names the request.
const EXIT_REQUEST_NOT_FOUND: u8 = 1;

/// Reads log lines from standard input and prints the explanation of a request.
pub fn run(request: &str) -> ExitCode {
    let mut explanation = Explanation::new(request);
    let mut stdin = io::stdin().lock();
    let mut line = Vec::new();
    loop {
        line.clear();
        match stdin.read_until(b'\n', &mut line) {
            Ok(0) => break,
            Ok(_) => explanation.add_line(&String::from_utf8_lossy(&line)),
            Err(error) => {
                eprintln!("radishhavend: cannot read the log lines: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    let text = explanation.to_string();
    if let Err(error) = io::stdout().write_all(text.as_bytes()) {
        eprintln!("radishhavend: cannot print the explanation: {error}");
        return ExitCode::FAILURE;
    }
    if explanation.is_empty() {
        return ExitCode::from(EXIT_REQUEST_NOT_FOUND);
    }
    ExitCode::SUCCESS
}
