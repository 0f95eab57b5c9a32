//! Help texts of the command line interface.

/// Help text of the program, without a command.
pub const MAIN: &str = "\
Usage: sycamorefork COMMAND [OPTIONS]

Commands:
  serve      run a node
  edge       run a node on the users' platform
  check      check documents and settings; starts nothing
  apply      put a document into force as the configuration
  promote    copy a document from trial to production, byte for byte
  keys       generate keys, print digests, withdraw keys
  status     print the state of a node or the history of the configuration
  drain      tell a node to finish its requests and exit
  refusals   print refused requests: team, time and reason
  burn       print the service-level burn rate per team and route
  demo       run two nodes, a platform and sample endpoints in one process

Options of every command:
  -h, --help   show the command's help
  --json       print the result as JSON

Exit codes: 0 success, 1 errors found or refused, 2 invalid usage, 3 not reachable.
";

const SERVE: &str = "\
Usage: sycamorefork serve --settings FILE

Runs a node until SIGTERM, then drains and stops it.

  --settings FILE   settings of the node; see examples/node.toml

Exit codes: 0 drained, 1 errors in the settings, 2 invalid usage, 3 not reachable.
";

const EDGE: &str = "\
Usage: sycamorefork edge --settings FILE

Runs a node on the users' platform until SIGTERM. Logs JSON lines to stdout.

  --settings FILE   settings in the form rendered from deploy/settings.json

Exit codes: 0 stopped, 1 cannot listen on an address, 2 invalid usage,
  4 invalid settings.
";

const CHECK: &str = "\
Usage: sycamorefork check [DOCUMENT...] [--settings FILE]... [--client FILE]...

Checks documents and settings and prints all findings. Does not start a node or
contact any service.

  --settings FILE   also check the settings of a node; may be repeated
  --client FILE     also check the settings of operators' commands; may be repeated

Exit codes: 0 no errors (there may be warnings), 1 errors found, 2 invalid usage.
";

const APPLY: &str = "\
Usage: sycamorefork apply DOCUMENT --settings FILE [--expect SERIAL] [--by NAME]

Checks a document and puts it into force with the next serial. If another operator's
change came first, prints its serial and the differences, and changes nothing.

  --settings FILE   settings with a [platform] section
  --expect SERIAL   apply only if this serial is in force; 0 if there is none yet
  --by NAME         operator's name for the history; default $USER

Exit codes: 0 in force, 1 errors found or conflict, 2 invalid usage, 3 not reachable.
";

const PROMOTE: &str = "\
Usage: sycamorefork promote --from FILE --to FILE [--digest DIGEST] [--expect SERIAL]
                            [--by NAME]

Copies a document that was accepted in trial to production, byte for byte, and puts it
into force there.

  --from FILE       settings with the [platform] section of trial
  --to FILE         settings with the [platform] section of production
  --digest DIGEST   document to promote; default: the one in force in trial
  --expect SERIAL   promote only if this serial is in force in production
  --by NAME         operator's name for the history; default $USER

Exit codes: 0 in force, 1 errors found or conflict, 2 invalid usage, 3 not reachable.
";

const KEYS: &str = "\
Usage: sycamorefork keys new [--id ID --team TEAM]
       sycamorefork keys digest
       sycamorefork keys withdraw --document FILE ID

new        generates a key and prints it once, with its entry for the document
digest     reads a key from standard input and prints its digest
withdraw   marks a key as withdrawn in the document and leaves the rest unchanged

Exit codes: 0 success, 1 refused, 2 invalid usage.
";

const STATUS: &str = "\
Usage: sycamorefork status --admin ADDRESS [--credential-file FILE] [--lift FINGERPRINT]
       sycamorefork status --history --settings FILE

Prints the state of a node, or the history of the configuration.

  --admin ADDRESS          IP address and port of the admin listener
  --credential-file FILE   credential; default $SYCAMOREFORK_CREDENTIAL
  --lift FINGERPRINT       end the quarantine of the request with this fingerprint, as
                           shown by the status

Exit codes: 0 success, 1 refused, 2 invalid usage, 3 not reachable.
";

const DRAIN: &str = "\
Usage: sycamorefork drain --admin ADDRESS [--credential-file FILE]

Tells a node to admit no new requests, finish the running ones and exit.

Exit codes: 0 draining, 1 refused, 2 invalid usage, 3 not reachable.
";

const REFUSALS: &str = "\
Usage: sycamorefork refusals --settings FILE [FILTER...]

Prints the refusal records that match all filters. Gaps in the records are also printed.

  --settings FILE   settings with a [platform] section
  --id ID           the record or request with this id
  --team TEAM       only this team
  --key ID          only this key identifier
  --reason REASON   only this reason
  --from TIME       only from this time on; 2026-01-31, 2026-01-31T18:00:00 (UTC) or
                    Unix milliseconds
  --to TIME         only before this time; default now if --from is given

Exit codes: 0 success (also without a match), 1 refused, 2 invalid usage, 3 not reachable.
";

const BURN: &str = "\
Usage: sycamorefork burn --admin ADDRESS... [--credential-file FILE]

Prints the service-level burn rate per team and route over 5 min, 1 h, 6 h and 3 d,
summed over all nodes given with --admin. A burn rate of 1 uses up the error budget
exactly.

Exit codes: 0 success, 1 refused, 2 invalid usage, 3 a node is not reachable.
";

const DEMO: &str = "\
Usage: sycamorefork demo [--port-base PORT]

Runs two nodes, an in-memory platform and sample endpoints in one process.

  --port-base PORT   callers at PORT and PORT+1, admin at PORT+10 and PORT+11;
                     default 8080

Exit codes: 0 ended by SIGTERM, 1 failed, 2 invalid usage.
";

/// Help text of a command; `None` if there is no such command.
pub fn for_command(command: &str) -> Option<&'static str> {
    Some(match command {
        "serve" => SERVE,
        "edge" => EDGE,
        "check" => CHECK,
        "apply" => APPLY,
        "promote" => PROMOTE,
        "keys" => KEYS,
        "status" => STATUS,
        "drain" => DRAIN,
        "refusals" => REFUSALS,
        "burn" => BURN,
        "demo" => DEMO,
        _ => return None,
    })
}
