//! Tests of flags, environment variables, findings and the help text.
#![allow(clippy::unwrap_used)]

use argh::FromArgs;
use expect_test::expect;
use oleanderwind_standin::DeploymentName;
use oleanderwind_standin::SettingsSource;
use oleanderwind_standin::StandinCommand;
use oleanderwind_standin::StandinSettings;

/// Parses settings from flags and variables; returns the findings as text if any.
fn parse(flags: &[&str], variables: &[(&str, &str)]) -> Result<StandinSettings, String> {
    let command = StandinCommand::from_args(&["oleanderwind-standin"], flags).unwrap();
    let pair = |(name, text): &(&str, &str)| (name.to_string(), text.to_string());
    let source = SettingsSource { command, environment: variables.iter().map(pair).collect() };
    StandinSettings::try_from(&source).map_err(|findings| findings.to_string())
}

#[test]
fn help_describes_every_flag() {
    let exit = StandinCommand::from_args(&["oleanderwind-standin"], &["--help"]).unwrap_err();
    expect![[r#"
        Usage: oleanderwind-standin [--deployment <deployment...>] [--provider <provider...>] [--base-port <base-port>] [--seed <seed>] [--median-us <median-us>] [--sigma <sigma>] [--straggler-permille <straggler-permille>] [--straggler-factor <straggler-factor>] [--queue-bound <queue-bound>] [--snapshot-keep-ms <snapshot-keep-ms>] [--silent-hold-ms <silent-hold-ms>] [--vm-list-lag-ms <vm-list-lag-ms>] [--history-limit <history-limit>] [--reads-per-second <reads-per-second>] [--writes-per-second <writes-per-second>]

        Serves stand-ins of the platform and of the searchers on loopback ports, for tests and demos. Prints one line of JSON with the addresses of the platform and of the control port once all ports are served, and runs until SIGTERM or Ctrl-C.

        Options:
          --deployment      deployment to serve, tsagaan or haneul; repeatable (default:
                            tsagaan)
          --provider        provider that runs a full set of searchers; repeatable, the
                            default contracts are placed with the first (default: alpha)
          --base-port       port of the platform; the control port and the searchers use
                            the ports that follow it, 0 lets the system choose every
                            port (default: 0)
          --seed            seed of the service time distribution (default: 1)
          --median-us       median service time in microseconds (default: 3000)
          --sigma           standard deviation of the logarithm of the service time
                            (default: 0.5)
          --straggler-permille
                            fraction of stragglers in thousandths (default: 10)
          --straggler-factor
                            factor by which the service time of a straggler is
                            multiplied (default: 10)
          --queue-bound     maximum number of calls queued at one searcher (default: 8)
          --snapshot-keep-ms
                            how long a searcher retains an old snapshot, in milliseconds
                            (default: 10000)
          --silent-hold-ms  how long a silenced connection counts against the limit, in
                            milliseconds (default: 30000)
          --vm-list-lag-ms  lag of the VM list in milliseconds (default: 2000)
          --history-limit   maximum number of changes that the platform retains for
                            watches (default: 10000)
          --reads-per-second
                            maximum reads per second at the platform (default: no limit)
          --writes-per-second
                            maximum writes per second at the platform (default: no
                            limit)
          --help, help      display usage information

        Examples:
          oleanderwind-standin --deployment tsagaan --base-port 7100

        Notes:
          Each flag can be given in the environment, as OLEANDERWIND_STANDIN_ followed by the flag's name in capitals with _ for -; values of repeatable flags are separated by commas. A flag overrides the environment.
          To inject a fault: POST /control/faults to the control port, for example {"scope":{"service":"course-finder"},"fault":"delay","extra_ms":50}. See also POST /control/snapshots and /control/platform, GET /control/searchers, /control/calls, /control/executions and /control/platform.

        Error codes:
          0 Stopped by a signal.
          1 A setting is invalid or a port is in use; all findings are printed.
    "#]].assert_eq(&exit.output);
}

#[test]
fn settings_without_flags_are_the_defaults() {
    assert_eq!(parse(&[], &[]), Ok(StandinSettings::default()));
}

#[test]
fn flag_overrides_the_environment() {
    let variables = [
        ("OLEANDERWIND_STANDIN_DEPLOYMENT", "tsagaan,haneul"),
        ("OLEANDERWIND_STANDIN_QUEUE_BOUND", "3"),
        ("OLEANDERWIND_STANDIN_SEED", "4"),
    ];
    let settings = parse(&["--seed", "5", "--provider", "beta"], &variables).unwrap();
    assert_eq!(settings.deployments, DeploymentName::ALL);
    assert_eq!((settings.queue_limit, settings.seed), (3, 5));
    assert_eq!(settings.providers, ["beta".into()]);
}

#[test]
fn all_findings_are_reported_with_their_place() {
    let flags = ["--deployment", "seoul", "--sigma", "NaN", "--base-port", "70000"];
    let variables = [
        ("OLEANDERWIND_STANDIN_PROVIDER", "alpha,alpha"),
        ("OLEANDERWIND_STANDIN_WRITES_PER_SECOND", "0"),
        ("OLEANDERWIND_STANDIN_SEEDS", "1"),
    ];
    expect![[r#"
        --deployment: is "seoul"; give tsagaan or haneul
        OLEANDERWIND_STANDIN_PROVIDER: "alpha" is given twice
        --base-port: is "70000"; give 0 to 65535
        --sigma: is "NaN"; give 0 to 3
        OLEANDERWIND_STANDIN_WRITES_PER_SECOND: is "0"; give 1 to 1000000
        OLEANDERWIND_STANDIN_SEEDS: is not a setting; see --help"#]]
    .assert_eq(&parse(&flags, &variables).unwrap_err());
}
