//! Development tasks that are not part of the build.
//!
//! `cargo run -p xtask -- generate` writes the Rust code of `proto/` into the packages that use
//! it; with `--check` it only reports whether the committed code is up to date.
//! `cargo run -p xtask -- count` counts lines of code by purpose.

mod count;

use std::fs;
use std::path;
use std::process;

use argh::FromArgs;

/// Development tasks.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    task: Task,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Task {
    Generate(Generate),
    Count(Count),
}

/// Counts lines of code by purpose.
#[derive(FromArgs)]
#[argh(subcommand, name = "count")]
struct Count {}

/// Writes the code generated from proto/.
#[derive(FromArgs)]
#[argh(subcommand, name = "generate")]
struct Generate {
    /// only compare with the committed code; exits with 1 if it differs
    #[argh(switch)]
    check: bool,
}

/// A protobuf file in `proto/` and the package that holds its generated code.
struct Schema {
    file: &'static str,
    package: &'static str,
    /// Name of the file that the code generator writes.
    generated: &'static str,
}

const SCHEMAS: [Schema; 2] = [
    Schema {
        file: "worker.proto",
        package: "mangotrestle-worker",
        generated: "mangotrestle.worker.v1.rs",
    },
    Schema {
        file: "operator.proto",
        package: "mangotrestle-operator",
        generated: "mangotrestle.operator.v1.rs",
    },
];

type AnyError = Box<dyn std::error::Error>;

fn main() -> process::ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.task {
        Task::Generate(generate) => generate_all(generate.check),
        Task::Count(Count {}) => print_counts(),
    };
    match result {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::FAILURE,
        Err(error) => {
            eprintln!("xtask: {error}");
            process::ExitCode::FAILURE
        }
    }
}

/// Prints the line counts. Returns `true`, as no generated code can be out of date here.
fn print_counts() -> Result<bool, AnyError> {
    let crates = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    print!("{}", count::count(&crates)?.table());
    Ok(true)
}

/// Generates the code of every schema and, without `check`, writes what changed. Returns whether
/// the committed code is up to date.
fn generate_all(check: bool) -> Result<bool, AnyError> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let scratch = root.join("target/xtask");
    fs::create_dir_all(&scratch)?;
    let mut up_to_date = true;
    for schema in &SCHEMAS {
        let text = generate(&root, &scratch, schema)?;
        let committed = root
            .join("crates")
            .join(schema.package)
            .join("src/generated.rs");
        if fs::read_to_string(&committed).ok().as_deref() == Some(text.as_str()) {
            continue;
        }
        if check {
            eprintln!(
                "{} is out of date: it differs from the code generated from proto/{}",
                committed.display(),
                schema.file
            );
            up_to_date = false;
        } else {
            fs::write(&committed, &text)?;
            println!("wrote {}", committed.display());
        }
    }
    Ok(up_to_date)
}

/// Generates the code of one schema in the folder `scratch` and returns it with a header.
fn generate(root: &path::Path, scratch: &path::Path, schema: &Schema) -> Result<String, AnyError> {
    let descriptors = protox::compile([schema.file], [root.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(scratch)
        .compile_fds(descriptors)?;
    let code = fs::read_to_string(scratch.join(schema.generated))?;
    let header = format!(
        "// Generated from proto/{} by xtask; do not edit.\n\n",
        schema.file
    );
    Ok(header + &code)
}
