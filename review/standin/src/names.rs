//! Names of the platform and texts in its formats, kept in files beside the sources.

const NAMES: &str = include_str!("../texts/names.txt");

/// Returns the platform's name of a header, a field or a path.
pub fn name(key: &str) -> &'static str {
    let found = NAMES.lines().filter_map(|line| line.split_once('=')).find(|(own, _)| *own == key);
    found.unwrap_or_else(|| panic!("{key} is missing in names.txt")).1
}

/// Returns a text with its placeholders filled.
pub fn fill(text: &str, values: &[(&str, &str)]) -> String {
    let mut filled = text.trim_end().to_owned();
    for (key, value) in values {
        filled = filled.replace(&format!("@{key}@"), value);
    }
    filled
}

/// Returns the spec of a searcher's entry.
pub fn server_spec(
    service: &str,
    address: &str,
    zone: &str,
    slots: u32,
    state: &str,
    born: u64,
) -> String {
    let (slots, born) = (slots.to_string(), born.to_string());
    let values = [
        ("SERVICE", service),
        ("ADDR", address),
        ("ZONE", zone),
        ("SLOTS", &slots),
        ("STATE", state),
        ("BORN", &born),
    ];
    fill(include_str!("../texts/server.txt"), &values)
}

/// A route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    /// Whether its requests may be repeated.
    pub is_idempotent: bool,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub attempts: u32,
    /// JSON members that name the services.
    pub destination: String,
}

/// Host of all routes.
pub const HOST: &str = "pupu76.example";

/// Returns the members of a route to one service.
pub fn single(service: &str) -> String {
    format!("\"backend\":\"{service}\"")
}

/// Returns the members of a route to shards.
pub fn gather(services: &[&str]) -> String {
    let services: Vec<String> = services.iter().map(|name| format!("\"{name}\"")).collect();
    fill(include_str!("../texts/gather.txt"), &[("SERVICES", &services.join(","))])
}

/// Returns the spec of a configuration.
pub fn config_spec(version: u64, routes: &[Route<'_>], services: &[(&str, u32)]) -> String {
    let routes: Vec<String> = routes.iter().map(route_text).collect();
    let backends: Vec<String> = services
        .iter()
        .map(|(name, conns)| {
            let conns = conns.to_string();
            fill(include_str!("../texts/backend.txt"), &[("NAME", name), ("CONNS", &conns)])
        })
        .collect();
    let version = version.to_string();
    let values = [
        ("VERSION", version.as_str()),
        ("ROUTES", &routes.join(",")),
        ("BACKENDS", &backends.join(",")),
    ];
    fill(include_str!("../texts/config.txt"), &values)
}

fn route_text(route: &Route<'_>) -> String {
    let kind = if route.is_idempotent { "idempotent" } else { name("unsafe_kind") };
    let (timeout, goal) = (route.timeout_ms.to_string(), route.objective_ms.to_string());
    let attempts = route.attempts.to_string();
    let values = [
        ("NAME", route.name),
        ("HOST", HOST),
        ("PREFIX", route.prefix),
        ("TYPE", kind),
        ("TIMEOUT", &timeout),
        ("GOAL", &goal),
        ("ATTEMPTS", &attempts),
        ("DESTINATION", &route.destination),
    ];
    fill(include_str!("../texts/route.txt"), &values)
}
