//! The store as a process: kills, a damaged disk, a full disk, racing writers, wrong tickets.

#[path = "store_support/program.rs"]
mod program;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::Shutdown;
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

use guavahold::cache::{Operation, Secret, StoreError, Ticket};
use guavahold::clock;
use http_types::StatusCode;
use program::{Program, Sizes, key, read_answer};
use rustix::process::Signal;

/// A block that does not fit the socket buffers between a store and a reader that stands still.
const LARGE: usize = 24 << 20;

fn refused(result: Result<impl Sized, StoreError>) -> u16 {
    match result {
        Err(StoreError::Refused(status)) => status.into(),
        Err(err) => panic!("{err}"),
        Ok(_) => 0,
    }
}

fn digest_line(bytes: &[u8]) -> String {
    let digest = blake3::hash(bytes).to_hex();
    format!(
        "guavahold-digest: {digest}\r\ncontent-length: {}\r\n",
        bytes.len()
    )
}

#[test]
fn kill_during_writes() {
    let mut program = Program::start(Sizes::default());
    let mut acknowledged = Vec::new();
    for round in 0..6_u8 {
        thread::scope(|scope| {
            let writers: Vec<_> = (0..4_u8)
                .map(|n| {
                    let program = &program;
                    let n = round * 4 + n;
                    scope.spawn(move || {
                        let bytes = vec![n; 4 << 20];
                        program.put("barbers", n, &bytes).is_ok().then_some(n)
                    })
                })
                .collect();
            thread::sleep(Duration::from_millis(u64::from(round) * 9));
            program.signal(Signal::KILL);
            let done = writers.into_iter().filter_map(|w| w.join().unwrap());
            acknowledged.extend(done);
        });
        program.kill_and_restart();
        assert_eq!(
            program.staged().len(),
            0,
            "bytes without a commit are dropped"
        );
        for n in 0..=round * 4 + 3 {
            let got = program.get("barbers", n).unwrap();
            let whole = got.is_none_or(|bytes| bytes == vec![n; 4 << 20]);
            assert!(whole, "block {n} is whole or not held");
        }
    }
    for n in acknowledged {
        assert!(
            program.get("barbers", n).unwrap().is_some(),
            "block {n} was acknowledged"
        );
    }
}

#[test]
fn kill_leaves_bytes_without_commit() {
    let mut program = Program::start(Sizes::default());
    program.put("barbers", 1, &[1; 5000]).unwrap();
    let file = program.files().remove(0);
    let bytes = std::fs::read(&file).unwrap();
    let staging = program.folder.path().join("staging/00000000000000ff");
    std::fs::write(&staging, &bytes).unwrap();
    let torn = file.with_file_name(format!("{}-7fffffffffffffff", key(1)));
    std::fs::write(&torn, &bytes[..bytes.len() - 1]).unwrap();
    program.kill_and_restart();
    assert!(!staging.exists() && !torn.exists());
    assert_eq!(program.get("barbers", 1).unwrap(), Some(vec![1; 5000]));
}

#[test]
fn restart_finds_blocks_on_disk() {
    let mut program = Program::start(Sizes::default());
    program.put("barbers", 1, &[1; 5000]).unwrap();
    program.put("barbers", 2, &[2; 5000]).unwrap();
    program.free("barbers", 2).unwrap();
    program.kill_and_restart();
    assert_eq!(program.get("barbers", 1).unwrap(), Some(vec![1; 5000]));
    assert_eq!(program.get("barbers", 2).unwrap(), None);
    assert_eq!(
        program.get("colourist", 1).unwrap(),
        None,
        "the owner is kept on disk"
    );
}

#[test]
fn bit_flip_on_disk() {
    let program = Program::start(Sizes::default());
    for (n, at) in [(1, 20), (2, 200), (3, 4000)] {
        program.put("barbers", n, &[n; 5000]).unwrap();
        let name = key(n).to_string();
        let files = program.files();
        let file = files.iter().find(|f| f.to_string_lossy().contains(&name));
        let file = file.unwrap();
        let mut bytes = std::fs::read(file).unwrap();
        bytes[at] ^= 1;
        std::fs::write(file, bytes).unwrap();
        assert_eq!(program.get("barbers", n).unwrap(), None);
        assert_eq!(program.held("barbers", n), 0, "the block is dropped");
    }
    let faults = r#"guavahold_store_faults_total{kind="corrupt"}"#;
    assert_eq!(program.metric(faults), 3);
    assert!(
        program.put("barbers", 1, &[1; 5000]).unwrap(),
        "it may be stored again"
    );
}

#[test]
fn full_disk_refuses_and_reads() {
    let disk = LARGE as u64 + 1000;
    let program = Program::start(Sizes {
        disk,
        ..Sizes::default()
    });
    program.put("barbers", 1, &vec![1; LARGE]).unwrap();
    let mut reader = program.send("GET", Operation::Read, 1, "connection: close\r\n");
    let mut byte = [0];
    reader.read_exact(&mut byte).unwrap();
    let full = u16::from(StatusCode::InsufficientStorage);
    assert_eq!(refused(program.put("barbers", 2, &[2; 5000])), full);
    assert_eq!(
        refused(program.put("barbers", 3, &vec![3; LARGE * 2])),
        full
    );
    assert_eq!(program.held("barbers", 1), 1);
    let (_, body) = read_answer(reader);
    assert_eq!(body.len(), LARGE);
    assert!(
        program.put("barbers", 2, &[2; 5000]).unwrap(),
        "room after the last reader"
    );
}

#[test]
fn free_under_reader() {
    let mut program = Program::start(Sizes::default());
    program.put("barbers", 1, &vec![1; LARGE]).unwrap();
    let mut slow = program.send("GET", Operation::Read, 1, "connection: close\r\n");
    let mut stuck = program.send("GET", Operation::Read, 1, "connection: close\r\n");
    for stream in [&mut slow, &mut stuck] {
        stream.read_exact(&mut [0]).unwrap();
    }
    program.free("barbers", 1).unwrap();
    assert_eq!(program.get("barbers", 1).unwrap(), None);
    assert_eq!(program.files().len(), 1, "the bytes stay for their readers");
    let (_, body) = read_answer(slow);
    assert_eq!(
        body,
        vec![1; LARGE],
        "a reader that came first gets the whole block"
    );
    program.kill_and_restart();
    assert_eq!(
        program.get("barbers", 1).unwrap(),
        None,
        "a freed block stays freed"
    );
    assert_eq!(program.files().len(), 0);
    drop(stuck);
}

#[test]
fn two_writers_of_one_block() {
    let program = Program::start(Sizes::default());
    for n in 0..8_u8 {
        let bytes = vec![n; 300_000];
        let stored = thread::scope(|scope| {
            let put = || program.put("barbers", n, &bytes).unwrap();
            let writers: Vec<_> = (0..4).map(|_| scope.spawn(put)).collect();
            let stored = writers.into_iter().map(|w| w.join().unwrap());
            stored.filter(|stored| *stored).count()
        });
        assert_eq!(
            stored, 1,
            "one writer stores the block, the others find it held"
        );
        assert_eq!(program.get("barbers", n).unwrap(), Some(bytes));
    }
    assert_eq!(program.files().len(), 8);
}

#[test]
fn upload_cut_short() {
    let program = Program::start(Sizes::default());
    let bytes = [1; 5000];
    let mut stream = program.send("PUT", Operation::Write, 1, &digest_line(&bytes));
    stream.write_all(&bytes[..4999]).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(read_answer(stream).0, 400);
    let mut stream = program.send("PUT", Operation::Write, 1, &digest_line(&bytes));
    stream.write_all(&[2; 5000]).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(
        read_answer(stream).0,
        400,
        "the bytes do not fit the digest"
    );
    assert_eq!(program.held("barbers", 1), 0);
    assert_eq!(program.files().len() + program.staged().len(), 0);
}

#[test]
fn upload_of_held_block_is_answered_before_its_bytes() {
    let program = Program::start(Sizes::default());
    let bytes = [1; 5000];
    program.put("barbers", 1, &bytes).unwrap();
    let stream = program.send("PUT", Operation::Write, 1, &digest_line(&bytes));
    assert_eq!(read_answer(stream).0, 200);
    let written = r#"guavahold_store_bytes_total{direction="in"}"#;
    assert_eq!(program.metric(written), 5000);
}

#[test]
fn tickets_that_do_not_fit() {
    let program = Program::start(Sizes::default());
    program.put("barbers", 1, &[1; 5000]).unwrap();
    let secret = Secret::new(b"a secret of at least thirty-two bytes");
    let other = Secret::new(b"another secret of thirty-two bytes!");
    let now = clock::unix_ms();
    let issue = |secret, operation, customer: &str, n, expires| {
        Ticket::issue(secret, operation, &customer.into(), &key(n), expires).to_string()
    };
    let mut renamed = issue(&secret, Operation::Read, "colourist", 1, now + 60_000);
    renamed = renamed.replace("colourist", "barbers");
    let tickets = [
        (
            "another block",
            issue(&secret, Operation::Read, "barbers", 2, now + 60_000),
        ),
        (
            "another operation",
            issue(&secret, Operation::Write, "barbers", 1, now + 60_000),
        ),
        (
            "another secret",
            issue(&other, Operation::Read, "barbers", 1, now + 60_000),
        ),
        (
            "expired",
            issue(&secret, Operation::Read, "barbers", 1, now - 1),
        ),
        ("another customer's name", renamed),
        ("no ticket", String::new()),
    ];
    for (case, ticket) in tickets {
        assert_eq!(refused(program.get_with(&ticket, 1)), 403, "{case}");
    }
    let own = issue(&secret, Operation::Read, "colourist", 1, now + 60_000);
    assert_eq!(
        program.get_with(&own, 1).unwrap(),
        None,
        "another customer's own ticket"
    );
    assert_eq!(refused(program.put("colourist", 1, &[9; 5000])), 403);
    program.free("colourist", 1).unwrap();
    assert_eq!(program.held("colourist", 1), 0);
    assert_eq!(program.get("barbers", 1).unwrap(), Some(vec![1; 5000]));
}

#[test]
fn terminate_finishes_transfers() {
    let mut program = Program::start(Sizes::default());
    program.put("barbers", 1, &vec![1; LARGE]).unwrap();
    let mut reader = program.send("GET", Operation::Read, 1, "");
    reader.read_exact(&mut [0]).unwrap();
    program.signal(Signal::TERM);
    thread::sleep(Duration::from_millis(100));
    let (_, body) = read_answer(reader);
    assert_eq!(body.len(), LARGE, "no transfer is cut");
    assert!(program.wait().success());
}

#[test]
fn silent_reader_is_dropped() {
    let program = Program::start(Sizes {
        stall_ms: 300,
        ..Sizes::default()
    });
    program.put("barbers", 1, &vec![1; LARGE]).unwrap();
    let mut silent = program.send("GET", Operation::Read, 1, "");
    silent.read_exact(&mut [0]).unwrap();
    program.free("barbers", 1).unwrap();
    let mut waits = 0;
    while !program.files().is_empty() && waits < 400 {
        waits += 1;
        thread::sleep(Duration::from_millis(50));
    }
    assert!(
        program.files().is_empty(),
        "the pin of a silent reader ends"
    );
}

#[test]
fn second_store_on_one_folder() {
    let program = Program::start(Sizes::default());
    let settings = program.folder.path().join("settings.jsonc");
    let mut second = Command::new(env!("CARGO_BIN_EXE_guavahold-store"));
    let second = second.arg("--settings").arg(settings);
    let second = second.stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut second = second.spawn().unwrap();
    let mut line = String::new();
    let mut out = BufReader::new(second.stdout.take().unwrap());
    out.read_line(&mut line).unwrap();
    let _ = second.kill();
    let out = second.wait_with_output().unwrap();
    assert_eq!(line, "", "it does not serve");
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(text.contains("another store uses this folder"), "{text}");
}
