//! The `scale` command: see the library of the same name.

use std::process::ExitCode;

fn main() -> ExitCode {
    scale::cli::main()
}
