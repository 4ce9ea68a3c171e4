//! Tests of the program `oleanderwind-standin`, from start to exit.
#![allow(clippy::unwrap_used)]

use std::io::BufRead;
use std::io::BufReader;
use std::process::Command;
use std::process::Stdio;

use expect_test::expect;
use oleanderwind_standin::ListenAddresses;

#[test]
fn program_prints_its_addresses_and_exits_on_sigterm() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_oleanderwind-standin"))
        .args(["--deployment", "haneul"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let addresses: ListenAddresses = serde_json::from_str(&line).unwrap();
    assert!(std::net::TcpStream::connect(addresses.platform).is_ok());
    assert!(std::net::TcpStream::connect(addresses.control).is_ok());
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

#[test]
fn program_reports_every_finding_and_fails() {
    let output = Command::new(env!("CARGO_BIN_EXE_oleanderwind-standin"))
        .args(["--deployment", "seoul", "--sigma", "x"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    expect![[r#"
        invalid settings
        --deployment: is "seoul"; give tsagaan or haneul
        --sigma: is "x"; give 0 to 3
    "#]]
    .assert_eq(&String::from_utf8(output.stderr).unwrap());
}
