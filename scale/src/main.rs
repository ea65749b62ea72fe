//! The `scale` command. See the library of the same name.

use std::process::ExitCode;

fn main() -> ExitCode {
    scale::cli::main()
}
