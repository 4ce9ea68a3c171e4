//! Tests of the settings as operators see them.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use argh::FromArgs;
use expect_test::expect;
use oleanderwind_daemon::DaemonSettings;
use oleanderwind_daemon::RawSettings;

fn raw_settings(flags: &[&str]) -> RawSettings {
    RawSettings::from_args(&["oleanderwindd"], flags).unwrap()
}

#[test]
fn try_from_reports_all_findings_together() {
    let raw = raw_settings(&[
        "--platform",
        "nowhere",
        "--drain-patience-ms",
        "600001",
        "--hedge",
        "often",
        "--routing",
        "random",
        "--load-news",
        "fresh",
        "--domain-regions",
        "a:east,b",
        "--log-level",
        "loud",
    ]);
    let findings = DaemonSettings::try_from(&raw).err().unwrap();
    expect![[r#"
        --vm or OLEANDERWIND_VM: is missing; give it a value
        --failure-domain or OLEANDERWIND_FAILURE_DOMAIN: is missing; give it a value
        --domain-regions or OLEANDERWIND_DOMAIN_REGIONS: has "b"; give DOMAIN:REGION
        --platform or OLEANDERWIND_PLATFORM: is "nowhere"; give ip:port
        --drain-patience-ms or OLEANDERWIND_DRAIN_PATIENCE_MS: is 600001; give a number from 0 to 600000
        --hedge or OLEANDERWIND_HEDGE: is "often"; give none, fixed:MS or quantile:PERMILLE
        --routing or OLEANDERWIND_ROUTING: is "random"; give expected-wait, least-outstanding or round-robin
        --load-news or OLEANDERWIND_LOAD_NEWS: is "fresh"; give decayed or held
        --log-level or OLEANDERWIND_LOG_LEVEL: is "loud"; give error, warn, info, debug or trace"#]].assert_eq(&findings.to_string());
}

/// The platform fills in the template with numbers that need not be whole.
#[test]
fn try_from_accepts_numbers_that_are_not_whole() {
    let raw = raw_settings(
        &[
            "--vm=vm-1",
            "--failure-domain=a",
            "--platform=127.0.0.1:9",
            "--extra-ratio=0.125",
            "--extra-slack=33.1578947368421",
            "--stop-grace-ms=6.5s",
            "--lapse-hold-ms=2200.5",
            "--platform-retry-ms=0.8s",
            "--crossing-cost-ms=1.4",
            "--answer-margin-ms=7.25",
            "--address-keep-ms=1e3",
            "--processor-cores=1.5",
            "--processor-share=0.125",
        ]
        .map(|flag| flag.split('=').collect::<Vec<&str>>())
        .concat(),
    );
    let settings = DaemonSettings::try_from(&raw).unwrap();
    assert_eq!(settings.extra_permille, 125);
    assert_eq!(settings.extra_slack, 33);
    assert_eq!(settings.stop_grace, Some(Duration::from_millis(6_500)));
    assert_eq!(settings.lapse_hold, Some(Duration::from_micros(2_200_500)));
    assert_eq!(settings.platform_retry, Duration::from_millis(800));
    assert_eq!(settings.crossing_cost, Duration::from_micros(1_400));
    assert_eq!(settings.answer_margin, Duration::from_micros(7_250));
    assert_eq!(settings.address_keep, Duration::from_secs(1));
    assert_eq!(settings.processor_millicores, 187);
}

#[test]
fn try_from_says_which_numbers_are_accepted() {
    let raw = raw_settings(&[
        "--vm",
        "vm-1",
        "--failure-domain",
        "a",
        "--platform",
        "127.0.0.1:9",
        "--extra-slack",
        "-1",
        "--stop-grace-ms",
        "soon",
        "--answer-margin-ms",
        "inf",
        "--processor-cores",
        "many",
        "--extra-ratio",
        "2",
        "--seed",
        "x",
    ]);
    let findings = DaemonSettings::try_from(&raw).err().unwrap();
    expect![[r#"
        --extra-ratio or OLEANDERWIND_EXTRA_RATIO: is 2; give a number from 0 to 1
        --extra-slack or OLEANDERWIND_EXTRA_SLACK: is -1; give a number from 0 to 1000000
        --processor-cores or OLEANDERWIND_PROCESSOR_CORES: is "many"; give a number from 0 to 4096
        --answer-margin-ms or OLEANDERWIND_ANSWER_MARGIN_MS: is inf; give a number from 0 to 600000
        --stop-grace-ms or OLEANDERWIND_STOP_GRACE_MS: is "soon"; give a number from 0 to 600000
        --seed or OLEANDERWIND_SEED: is "x"; give a whole number"#]]
    .assert_eq(&findings.to_string());
}

#[test]
fn with_environment_sets_options_without_flags() {
    let raw = raw_settings(&["--vm", "vm-1", "--platform", "127.0.0.1:9"]);
    let raw = raw.with_environment(|name| match name {
        "OLEANDERWIND_VM" => Some("other".to_owned()),
        "OLEANDERWIND_FAILURE_DOMAIN" => Some("fd-1".to_owned()),
        "OLEANDERWIND_OPERATOR_TOKEN" => Some("secret".to_owned()),
        _ => None,
    });
    let settings = DaemonSettings::try_from(&raw).unwrap();
    expect![[r#"
        vm=vm-1
        failure-domain=fd-1
        region=region-1
        domain-regions=
        platform=127.0.0.1:9
        caller-listen=127.0.0.1:7400
        admin-listen=127.0.0.1:7401
        peer-listen=127.0.0.1:7402
        operator-token=(hidden)
        address-keep-ms=2000
        leave-notice-ms=10000
        seed-peers=
        drain-patience-ms=15000
        hedge=Quantile { permille: 950 }
        routing=ExpectedWait
        load-news=Decayed
        floor-wait=HedgeAnswer
        readiness-listen=(none)
        address-listen=(none)
        extra-ratio=0.1
        extra-slack=40
        extra-window-ms=10000
        quota-window-ms=5000
        quota-overage=0.1
        quota-slack=20
        crossing-cost-ms=0
        processor-millicores=0
        memory-mb=160
        answer-margin-ms=5
        lapse-hold-ms=(none)
        stop-grace-ms=(none)
        platform-retry-ms=10000
        platform-history-ms=(none)
        change-limit-ms=13000
        leave-limit-ms=13000
        first-start=false
        log-level=info
        seed=4858201782971753306
    "#]]
    .assert_eq(&settings.to_string());
}

#[test]
fn from_args_explains_every_flag() {
    let help = RawSettings::from_args(&["oleanderwindd"], &["--help"]).unwrap_err().output;
    expect![[r#"
        Usage: oleanderwindd [--vm <vm>] [--failure-domain <failure-domain>] [--region <region>] [--domain-regions <domain-regions>] [--platform <platform>] [--caller-listen <caller-listen>] [--admin-listen <admin-listen>] [--peer-listen <peer-listen>] [--operator-token <operator-token>] [--address-keep-ms <address-keep-ms>] [--leave-notice-ms <leave-notice-ms>] [--seed-peers <seed-peers>] [--drain-patience-ms <drain-patience-ms>] [--hedge <hedge>] [--routing <routing>] [--load-news <load-news>] [--floor-wait <floor-wait>] [--readiness-listen <readiness-listen>] [--address-listen <address-listen>] [--extra-ratio <extra-ratio>] [--extra-slack <extra-slack>] [--extra-window-ms <extra-window-ms>] [--quota-window-ms <quota-window-ms>] [--quota-overage <quota-overage>] [--quota-slack <quota-slack>] [--crossing-cost-ms <crossing-cost-ms>] [--processor-cores <processor-cores>] [--processor-share <processor-share>] [--memory-mb <memory-mb>] [--answer-margin-ms <answer-margin-ms>] [--lapse-hold-ms <lapse-hold-ms>] [--stop-grace-ms <stop-grace-ms>] [--platform-retry-ms <platform-retry-ms>] [--platform-history-ms <platform-history-ms>] [--change-limit-ms <change-limit-ms>] [--leave-limit-ms <leave-limit-ms>] [--first-start <first-start>] [--settings-file <settings-file>] [--log-level <log-level>] [--seed <seed>] [--check]

        Serves callers, operators and peers on one VM of an oleanderwind fleet. Every option can be given in the environment: --caller-listen is OLEANDERWIND_CALLER_LISTEN. A flag overrides the environment. Times are milliseconds, or seconds with the suffix s. SIGTERM starts a graceful shutdown. Exit codes: 0 after a graceful shutdown, 2 for invalid settings, 3 for other failures.

        Options:
          --vm              name of this VM, unique in the fleet
          --failure-domain  failure domain of the VM
          --region          region of the failure domain; default: region-1
          --domain-regions  region of each failure domain, DOMAIN:REGION separated by
                            commas; default: none
          --platform        ip:port of the platform's Object API
          --caller-listen   ip:port for callers; default: 127.0.0.1:7400
          --admin-listen    ip:port for operators; default: 127.0.0.1:7401
          --peer-listen     ip:port for the other VMs; default: 127.0.0.1:7402
          --operator-token  token that operators need for changes; default: none
          --address-keep-ms milliseconds that callers cache the list of VM addresses;
                            default: 2000
          --leave-notice-ms milliseconds for the announcement of a shutdown to reach all
                            VMs; default: 10000
          --seed-peers      ip:port,... of peers to contact at start if the platform
                            does not answer; default: none
          --drain-patience-ms
                            milliseconds that a graceful shutdown waits for open
                            requests; default: 15000
          --hedge           when to send a hedge: none, fixed:MS or quantile:PERMILLE;
                            default: quantile:950
          --routing         how to choose a target: expected-wait, least-outstanding or
                            round-robin; default: expected-wait
          --load-news       how old reports of a target's load are taken: decayed or
                            held; default: decayed
          --floor-wait      how long a query that meets its coverage floor waits for
                            missing shards, for contracts that prefer latency: late,
                            hedge or share:PERMILLE of the deadline; default: hedge
          --readiness-listen
                            ip:port of a listener that serves only the readiness check;
                            default: none
          --address-listen  ip:port of a listener that serves only the list of VM
                            addresses; default: none
          --extra-ratio     limit on extra calls to a service's targets, as a fraction
                            of its requests, 0 to 1; default: 0.1
          --extra-slack     extra calls beyond that ratio that the fleet may make to a
                            service at once; default: 40
          --extra-window-ms milliseconds of the window in which the extra calls beyond
                            the ratio are counted; default: 10000
          --quota-window-ms milliseconds of the window in which the requests of an
                            organisation with a quota are counted; default: 5000
          --quota-overage   fraction by which the requests in a window may exceed the
                            quota, 0 to 1; default: 0.1
          --quota-slack     requests in a window that are allowed beyond that; default:
                            20
          --crossing-cost-ms
                            milliseconds added to the expected wait of targets in other
                            failure domains; default: 0
          --processor-cores processor capacity of this machine, in cores of normal
                            speed; default: unknown
          --processor-share fraction of the processor that this process may use, 0 to 1;
                            default: 1
          --memory-mb       memory of this machine, in MB; default: 160
          --answer-margin-ms
                            milliseconds reserved before a deadline for merging and
                            replying; default: 5
          --lapse-hold-ms   milliseconds after an outage of the platform for which
                            targets whose entries have vanished are kept as a last
                            resort; default: 0
          --stop-grace-ms   milliseconds from SIGTERM to exit, in place of the notice
                            and drain times; default: none
          --platform-retry-ms
                            maximum milliseconds between two calls to a failing
                            platform; default: 10000
          --platform-history-ms
                            milliseconds for which the platform keeps its history of
                            changes; default: unknown
          --change-limit-ms milliseconds in which a change of configuration takes
                            effect; default: 13000
          --leave-limit-ms  milliseconds after which a target that has told the platform
                            that it leaves gets no calls; default: 13000
          --first-start     whether the whole fleet starts for the first time, so that
                            no VM is listed yet: true or false; default: false
          --settings-file   file with lines of name=value, reloaded on SIGHUP and when
                            it changes; default: none
          --log-level       maximum level of log lines: error, warn, info, debug or
                            trace; default: info
          --seed            seed of all random number generators; default: derived from
                            the VM's name
          --check           check the settings, print the values in force and exit
          --help, help      display usage information
    "#]].assert_eq(&help);
}

/// A platform that does not know a field of the template leaves its placeholder.
#[test]
fn with_file_takes_unfilled_placeholders_as_missing() {
    let path = std::env::temp_dir().join(format!("oleanderwind-settings-{}", std::process::id()));
    let text = "vm=vm-1\n{{#bounds.quota_window_s}}\nquota-slack={{bounds.quota_slack}}\n{{/bounds.quota_window_s}}\n";
    std::fs::write(&path, text).unwrap();
    let raw = raw_settings(&["--settings-file", path.to_str().unwrap()]).with_file();
    std::fs::remove_file(&path).unwrap();
    let raw = raw.unwrap();
    assert_eq!((raw.vm.as_deref(), raw.quota_slack), (Some("vm-1"), None));
}
