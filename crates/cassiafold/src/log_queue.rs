//! Bounded queue of log lines that a thread of its own writes out.
//!
//! A thread that logs never waits for whoever reads the output. Lines that find the queue full are
//! dropped and counted, and their number is logged once the output takes lines again.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, LazyLock};
use std::thread;
use std::time::{Duration, Instant};

use cassiafold_event::emit;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

use crate::event::EntryEvent;

/// Most lines in the queue, with those that are being written.
const LINES_MAX: usize = 4_096;
/// Most bytes in the queue, with those that are being written.
const BYTES_MAX: usize = 512 * 1024;
/// Size from which on lines are written before further ones are taken from the queue.
const BATCH_BYTES: usize = 16 * 1024;
/// Longest time for which the end of the process waits for the queue.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two attempts to add the last message to a full queue.
const CLOSE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Lines that were dropped since the process started.
static LINES_DROPPED: LazyLock<Counter> = LazyLock::new(Counter::default);

/// A message to the thread that writes.
enum Message {
    /// A line.
    Line(Vec<u8>),
    /// All lines before it have to be written; then the sender is dropped.
    Flush(SyncSender<()>),
}

/// What the threads that log share with the one that writes.
#[derive(Debug, Default)]
struct Shared {
    /// Bytes in the queue, with those that are being written.
    bytes: AtomicUsize,
    /// Lines in the queue, with those that are being written.
    lines: AtomicUsize,
    /// Lines that were dropped and have not been reported in the log.
    unreported: AtomicU64,
}

impl Shared {
    /// Takes room for a line. False if there is none.
    fn reserve(&self, line_bytes: usize) -> bool {
        let bytes = self.bytes.fetch_add(line_bytes, Ordering::Relaxed) + line_bytes;
        let lines = self.lines.fetch_add(1, Ordering::Relaxed) + 1;
        let has_room = bytes <= BYTES_MAX && lines <= LINES_MAX;
        if !has_room {
            self.release(line_bytes, 1);
        }
        has_room
    }

    /// Gives back the room of lines.
    fn release(&self, bytes: usize, lines: usize) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.lines.fetch_sub(lines, Ordering::Relaxed);
    }

    fn count_dropped(&self, lines: u64) {
        LINES_DROPPED.inc_by(lines);
        self.unreported.fetch_add(lines, Ordering::Relaxed);
    }
}

/// End of the queue to which lines are written. Clones share the queue.
#[derive(Debug, Clone)]
pub struct LogQueue {
    sender: SyncSender<Message>,
    shared: Arc<Shared>,
}

impl LogQueue {
    /// Starts a thread that writes the lines of a new queue.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(LINES_MAX);
        let shared = Arc::<Shared>::default();
        let writer = Writer { output, shared: shared.clone() };
        thread::Builder::new().name("log".into()).spawn(move || writer.run(&receiver))?;
        Ok(Self { sender, shared })
    }

    /// Waits for the lines in the queue to be written, for a limited time.
    pub fn close(self) {
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        let (written, flushed) = sync_channel(0);
        let mut message = Message::Flush(written);
        while let Err(error) = self.sender.try_send(message) {
            if Instant::now() >= deadline {
                return;
            }
            message = match error {
                TrySendError::Full(message) | TrySendError::Disconnected(message) => message,
            };
            thread::sleep(CLOSE_RETRY_DELAY);
        }
        // The other end is dropped once the lines are written.
        let _ = flushed.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

/// Registers the counter of the lines that were dropped.
pub fn register_metrics(registry: &mut Registry) {
    let help = "Log lines that were dropped because the output took none";
    registry.register("log_lines_dropped", help, LINES_DROPPED.clone());
}

impl Write for LogQueue {
    /// Adds a line, or drops it if the queue is full.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.shared.reserve(line.len()) {
            self.shared.count_dropped(1);
        } else if self.sender.try_send(Message::Line(line.to_vec())).is_err() {
            self.shared.release(line.len(), 1);
            self.shared.count_dropped(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lines that are written together.
#[derive(Default)]
struct Batch {
    bytes: Vec<u8>,
    lines: usize,
    /// Dropped with the batch, once it is written.
    flushes: Vec<SyncSender<()>>,
}

impl Batch {
    fn add(&mut self, message: Message) {
        match message {
            Message::Line(line) => {
                self.bytes.extend_from_slice(&line);
                self.lines += 1;
            }
            Message::Flush(written) => self.flushes.push(written),
        }
    }
}

/// Writes the lines of a queue.
struct Writer<W> {
    output: W,
    shared: Arc<Shared>,
}

impl<W: Write> Writer<W> {
    fn run(mut self, receiver: &Receiver<Message>) {
        while let Ok(first) = receiver.recv() {
            let mut batch = Batch::default();
            batch.add(first);
            while batch.bytes.len() < BATCH_BYTES
                && let Ok(message) = receiver.try_recv()
            {
                batch.add(message);
            }
            self.write(&batch);
        }
    }

    fn write(&mut self, batch: &Batch) {
        let result = self.output.write_all(&batch.bytes).and_then(|()| self.output.flush());
        self.shared.release(batch.bytes.len(), batch.lines);
        match result {
            Ok(()) => self.report_dropped(),
            // Reported once the output takes lines again.
            Err(_) => self.shared.count_dropped(batch.lines as u64),
        }
    }

    fn report_dropped(&self) {
        let lines = self.shared.unreported.swap(0, Ordering::Relaxed);
        if lines > 0 {
            emit!(EntryEvent::LogLinesDropped, lines = lines);
        }
    }
}

#[cfg(test)]
mod tests;
