//! Runs the stand-ins as programs.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

// Other programs read the address from the first line of the output.
#[test]
fn servers_print_their_address_first() {
    let program = env!("CARGO_BIN_EXE_standin");
    for args in [&["platform"][..], &["endpoint", "--name", "e"][..]] {
        let mut child = Command::new(program)
            .args(args)
            .args(["--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
        let addr = line.trim().strip_prefix("listening on ").unwrap();
        assert!(addr.parse::<std::net::SocketAddr>().unwrap().port() > 0);
    }
}
