//! Finds the log lines that explain the outcome of a request.

/// Events that report the state of a router rather than the processing of one request.
const STATE_EVENTS: [&str; 6] = ["store", "config", "members", "path", "stop", "start"];

/// Returns the value of `key=value` in a log line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let fields = line.split(' ').filter_map(|field_text| field_text.split_once('='));
    fields.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
}

fn event(line: &str) -> &str {
    field(line, "event").unwrap_or_default()
}

/// The requests of a stream: `id`, and the one under which the stream began if `id` resumes it.
fn requests_of_stream<'a>(id: &'a str, lines: &[&'a str]) -> Vec<&'a str> {
    let is_own = |line: &&&str| event(line) == "resume" && field(line, "id") == Some(id);
    let root = lines.iter().filter(is_own).find_map(|line| field(line, "resumes"));
    root.into_iter().chain([id]).collect()
}

/// Returns the lines of the log `text` that belong to request `id`, and to the request that began
/// the stream which it resumes, each marked with `>`. Also returned are the last lines before the first of these that report the state of the router, one of
/// each kind of event, and of each target that the request was sent to.
///
/// The result is empty if no line belongs to the request.
pub fn explain(id: &str, text: &str) -> Vec<String> {
    let lines: Vec<&str> = text.lines().collect();
    let requests = requests_of_stream(id, &lines);
    let belongs = |i: &usize| field(lines[*i], "id").is_some_and(|id| requests.contains(&id));
    let matching: Vec<usize> = (0..lines.len()).filter(belongs).collect();
    let Some(first) = matching.first().copied() else { return Vec::new() };
    let targets: Vec<&str> = matching.iter().filter_map(|i| field(lines[*i], "target")).collect();
    let mut selected = matching.clone();
    for kind in STATE_EVENTS {
        selected.extend((0..first).rev().find(|i| event(lines[*i]) == kind));
    }
    for target in targets {
        let is_state_of_target =
            |i: &usize| event(lines[*i]) == "target" && field(lines[*i], "target") == Some(target);
        selected.extend((0..first).rev().find(is_state_of_target));
    }
    selected.sort_unstable();
    selected.dedup();
    let mark = |i: &usize| if matching.binary_search(i).is_ok() { ">" } else { " " };
    selected.iter().map(|i| format!("{} {}", mark(i), lines[*i])).collect()
}
