//! Tests of the queue of log lines.

use std::sync::Mutex;
use std::sync::mpsc::Sender;

use super::*;

/// An output that waits for a permission before each write.
struct SlowOutput {
    permits: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.permits.recv().map_err(io::Error::other)?;
        self.written.lock().expect("lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A queue whose output takes nothing without a permission, and what it has taken.
fn slow_queue() -> (LogQueue, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (permit, permits) = std::sync::mpsc::channel();
    let written = Arc::default();
    let output = SlowOutput { permits, written: Arc::clone(&written) };
    (LogQueue::start(output).expect("thread"), permit, written)
}

#[test]
fn a_queue_of_a_stuck_output_takes_no_more_than_its_bytes_and_its_lines() {
    let (mut by_bytes, _permit, _) = slow_queue();
    let line = [b'x'; 1_024];
    for _ in 0..2 * BYTES_MAX / line.len() {
        by_bytes.write_all(&line).expect("write");
    }
    assert_eq!(by_bytes.shared.bytes.load(Ordering::Relaxed), BYTES_MAX);
    assert_eq!(by_bytes.shared.unreported.load(Ordering::Relaxed), 512);
    let (mut by_lines, _permit, _) = slow_queue();
    for _ in 0..3 * LINES_MAX {
        by_lines.write_all(b"x\n").expect("write");
    }
    assert_eq!(by_lines.shared.lines.load(Ordering::Relaxed), LINES_MAX);
    assert_eq!(by_lines.shared.unreported.load(Ordering::Relaxed), 2 * LINES_MAX as u64);
}

#[test]
fn lines_are_written_in_order_and_at_the_latest_when_the_queue_is_closed() {
    let (mut queue, permit, written) = slow_queue();
    for line in ["one\n", "two\n", "three\n"] {
        queue.write_all(line.as_bytes()).expect("write");
        permit.send(()).expect("permit");
    }
    queue.close();
    assert_eq!(*written.lock().expect("lock"), b"one\ntwo\nthree\n");
}

#[test]
fn the_end_of_a_process_does_not_wait_for_a_stuck_output() {
    let (mut queue, _permit, _) = slow_queue();
    queue.write_all(b"line\n").expect("write");
    let started = Instant::now();
    queue.close();
    assert!(started.elapsed() < 4 * CLOSE_TIMEOUT);
}

#[test]
fn lines_that_an_output_without_a_reader_refuses_count_as_dropped() {
    let (reader, output) = io::pipe().expect("pipe");
    drop(reader);
    let mut queue = LogQueue::start(output).expect("thread");
    queue.write_all(b"line\n").expect("write");
    let shared = queue.shared.clone();
    queue.close();
    assert_eq!(shared.unreported.load(Ordering::Relaxed), 1);
}
