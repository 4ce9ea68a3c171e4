//! Command-line help, errors and exit codes.
#![allow(clippy::unwrap_used)]

use argh::FromArgs;
use expect_test::expect;
use oleanderwind_ctl::ControlCommand;
use oleanderwind_ctl::run_command;

fn help(arguments: &[&str]) -> String {
    ControlCommand::from_args(&["oleanderctl"], arguments).unwrap_err().output
}

#[test]
fn from_args_lists_every_command_in_the_help() {
    expect![[r#"
        Usage: oleanderctl [--admin <admin>] [--token <token>] [--json] <command> [<args>]

        Reads and changes an oleanderwind fleet through the admin API of one of its VMs. Exit codes: 0 done, 1 refused (a conflict or findings), 2 bad usage, 3 not reached, 4 unknown: it can't be told whether a change took effect.

        Options:
          --admin           ip:port of a VM's admin API; default: OLEANDERWIND_ADMIN,
                            else 127.0.0.1:7401
          --token           operator token; default: OLEANDERWIND_OPERATOR_TOKEN
          --json            print the API's JSON instead of text
          --help, help      display usage information

        Commands:
          contract          Reads, checks and changes contracts.
          move              Moves a customer's requests between providers, fully or by
                            share.
          status            Shows the state of the VM that is asked.
          routing           Shows the routes' version, targets with what is left for
                            extra calls, and why the last requests got no answer.
          fleet             Shows every VM as the asked one last heard of it, and which
                            lag behind.
          outcomes          Shows for each class whether the contract's tail, coverage
                            and extra load hold on the VM.
          explain           Shows the service, providers, snapshots and targets of a
                            class.
          quarantine        Lists work that ended targets, clears or blocks it.
          drain             Starts a graceful shutdown of the VM that is asked.
    "#]].assert_eq(&help(&["--help"]));
}

#[test]
fn from_args_describes_the_arguments_of_apply() {
    expect![[r#"
        Usage: oleanderctl contract apply [--revision <revision>] [--operator <operator>] [--] <file>

        Puts a contract file in force. Without --revision the contract is created. With it the change is made only if the contract still is at that revision; else the other change is shown and nothing is written.

        Positional Arguments:
          file              the file

        Options:
          --revision        the revision that the file was made from
          --operator        who makes the change, for the history
          --help, help      display usage information
    "#]].assert_eq(&help(&["contract", "apply", "--help"]));
}

#[test]
fn run_command_names_the_unreachable_vm() {
    let arguments = ["--admin", "127.0.0.1:1", "status"];
    let command = ControlCommand::from_args(&["oleanderctl"], &arguments).unwrap();
    let outcome = actix_rt::System::new().block_on(run_command(&command, |_| None));
    assert_eq!(outcome.exit_code, 3);
    assert!(outcome.stderr.contains("cannot reach 127.0.0.1:1: "), "{}", outcome.stderr);
}

#[test]
fn run_command_names_an_invalid_share() {
    let arguments = ["move", "library", "east"];
    let command = ControlCommand::from_args(&["oleanderctl"], &arguments).unwrap();
    let outcome = actix_rt::System::new().block_on(run_command(&command, |_| None));
    assert_eq!(outcome.exit_code, 2);
    expect![[r#"
        east: expected provider=permille
    "#]]
    .assert_eq(&outcome.stderr);
}
