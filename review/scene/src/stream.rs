//! The rules ORDER and MIXED: answers that end as complete before their end.

use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::runner::{EVENTS, ROWS};
use crate::world::{BEAT, Record, World, address};

/// Runners of the service; half of them are the faulty ones.
const RUNNERS: usize = 8;
/// Of so many answers of a faulty runner one has no length; the pages name a share of 0.05.
const ONE_OF: usize = 20;
/// Time for which a crashed runner is down.
const DOWN: Duration = Duration::from_millis(4_000);

/// A runner as a process of its own.
struct Process {
    id: String,
    child: Child,
    input: ChildStdin,
}

impl Process {
    fn start(place: usize, generation: usize, service: &str, world: &World) -> Option<Self> {
        let id = format!("i-{place:04x}{generation:04x}");
        let at = address(3, place as u8 + 1, 0).to_string();
        let mut child = Command::new(std::env::current_exe().ok()?)
            .args(["runner", &id, &at, &world.store.address.to_string(), service])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let input = child.stdin.take()?;
        let output = BufReader::new(child.stdout.take()?);
        let (name, record): (String, Record) = (id.clone(), world.record.clone());
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record.add(Instant::now(), format!("{name} runs {line}"));
            }
        });
        Some(Self { id, child, input })
    }

    fn set_unframed(&mut self, one_of: usize) {
        let _ = writeln!(self.input, "{one_of}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Streams without a length of runners that crash.
pub fn cut_stream(trouble: bool, record: &str) -> u8 {
    play(trouble, record, "assist", "ORDER", EVENTS)
}

/// Plain answers without a length of runners that crash.
pub fn cut_body(trouble: bool, record: &str) -> u8 {
    play(trouble, record, "ledger", "MIXED", ROWS)
}

/// Some answers of half of the runners have no length and end with their connection. Some of these
/// runners are killed while they answer. A whole answer has `parts` parts.
fn play(trouble: bool, record: &str, service: &str, rule: &str, parts: usize) -> u8 {
    let world = World::start(2, 0);
    let start = |place, generation| Process::start(place, generation, service, &world);
    let mut runners: Vec<Process> = (0..RUNNERS).filter_map(|place| start(place, 0)).collect();
    sleep(BEAT);
    if runners.len() < RUNNERS || !world.wait_ready() {
        return 2;
    }
    let adapters = if service == "assist" { 24 } else { 0 };
    let clients = world.clients(120, Duration::from_millis(20), adapters);
    sleep(Duration::from_secs(3));
    let log = &world.record;
    for turn in 1..=12 {
        // The pages name a share of 0.5, and 6.6 s.
        runners[..RUNNERS / 2].iter_mut().for_each(|r| r.set_unframed(ONE_OF));
        sleep(Duration::from_millis(2_400));
        // The pages name a share of 0.25.
        let places = [turn % 4, (turn + 1) % 4];
        if trouble {
            for place in places {
                let r = &mut runners[place];
                let _ = r.child.kill();
                let _ = r.child.wait();
                log.note(format!("runner {} has crashed", r.id));
            }
            // An entry is removed after three intervals of silence.
            sleep(3 * BEAT);
            places.iter().for_each(|place| world.store.write("servers", &runners[*place].id, None));
            sleep(DOWN - 3 * BEAT);
            for place in places {
                match start(place, turn) {
                    Some(r) => runners[place] = r,
                    None => return 2,
                }
            }
        } else {
            sleep(DOWN);
        }
        runners.iter_mut().for_each(|r| r.set_unframed(0));
        sleep(Duration::from_secs(1));
    }
    sleep(Duration::from_secs(2));
    drop(clients);
    let complete = log.find(|l| l.ends_with("complete") && l.contains("answered 200"));
    let whole = format!("200 with {parts} parts, complete");
    let short: Vec<&String> = complete.iter().filter(|l| !l.ends_with(&whole)).collect();
    let unframed = log.find(|l| l.contains("runs unframed")).len();
    let runs = log.find(|l| l.contains(" runs ")).len();
    for s in short.iter().take(10) {
        log.note(format!("{rule} broken: {s}, of {parts}"));
    }
    log.note(format!(
        "{runs} runs, {unframed} of them without a length; {} complete answers, {} of them too short",
        complete.len(),
        short.len()
    ));
    world.record.write(record);
    match (complete.len(), short.len()) {
        (0, _) => 2,
        (_, 0) => 0,
        _ => 1,
    }
}
