//! Names and messages of the users' platform, which stand in the text files of the folder `wire`.

/// Returns the platform's word for something.
///
/// # Panics
///
/// Panics if `wire/names.txt` has no such line.
pub fn name(key: &str) -> &'static str {
    let lines = include_str!("../wire/names.txt").lines();
    let mut pairs = lines.filter_map(|line| line.split_once('='));
    pairs.find(|(own, _)| *own == key).map(|(_, word)| word).expect("a known name")
}

fn fill(template: &str, values: &[(&str, &str)]) -> String {
    let filled = values.iter().fold(template.to_owned(), |text, (key, value)| {
        text.replace(&format!("{{{{{key}}}}}"), value)
    });
    filled.trim_end().to_owned()
}

/// Returns the settings file of a VM.
pub fn settings(values: &[(&str, &str)]) -> String {
    fill(include_str!("../wire/settings.txt"), values) + "\n"
}

/// Returns a configuration with one route, which sends everything to `service`.
pub fn config(version: u64, kind: &str, service: &str, services: &[&str], rate: f64) -> String {
    let rate = format!("{rate:.1}");
    let entry = |service: &&str| {
        fill(include_str!("../wire/service.txt"), &[("service", service), ("rate", &rate)])
    };
    let entries: Vec<String> = services.iter().map(entry).collect();
    let (version, entries) = (version.to_string(), entries.join(","));
    let values = [
        ("version", version.as_str()),
        ("kind", kind),
        ("service", service),
        ("services", &entries),
    ];
    fill(include_str!("../wire/config.txt"), &values)
}

/// Returns the entry with which a target registers.
pub fn entry(
    service: &str,
    address: &str,
    domain: &str,
    cold_ms: u64,
    born: u64,
    count: u64,
) -> String {
    let (cold, born, count) = (cold_ms.to_string(), born.to_string(), count.to_string());
    let values = [
        ("service", service),
        ("address", address),
        ("domain", domain),
        ("cold", &cold),
        ("born", &born),
        ("count", &count),
    ];
    fill(include_str!("../wire/entry.txt"), &values)
}
