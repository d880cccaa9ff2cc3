//! Finds the lines of a structured log that tell what became of a request.

/// Kinds of lines that tell what a router believes, whichever request it serves.
const BELIEFS: [&str; 5] = ["store", "config", "members", "stop", "start"];

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let fields = line.split(' ').filter_map(|f| f.split_once('='));
    fields.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
}

fn event(line: &str) -> &str {
    field(line, "event").unwrap_or_default()
}

/// The lines of `text` that name the request, each marked with `>`, and before the first one
/// the newest line of each belief, and of each target that the request met.
pub fn explain(id: &str, text: &str) -> Vec<String> {
    let lines: Vec<&str> = text.lines().collect();
    let own: Vec<usize> = (0..lines.len()).filter(|i| field(lines[*i], "id") == Some(id)).collect();
    let Some(first) = own.first().copied() else { return Vec::new() };
    let targets: Vec<&str> = own.iter().filter_map(|i| field(lines[*i], "target")).collect();
    let mut shown = own.clone();
    for kind in BELIEFS {
        shown.extend((0..first).rev().find(|i| event(lines[*i]) == kind));
    }
    for target in targets {
        let of_target =
            |i: &usize| event(lines[*i]) == "target" && field(lines[*i], "target") == Some(target);
        shown.extend((0..first).rev().find(of_target));
    }
    shown.sort_unstable();
    shown.dedup();
    let mark = |i: &usize| if own.binary_search(i).is_ok() { ">" } else { " " };
    shown.iter().map(|i| format!("{} {}", mark(i), lines[*i])).collect()
}
