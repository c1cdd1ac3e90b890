//! Time that a thread takes to log a line, written at once or through the queue.

use std::hint::black_box;
use std::io::{Read, Write, pipe};
use std::thread;

use cassiafold::log_queue::LogQueue;
use criterion::{Criterion, criterion_group, criterion_main};

/// A line of usual length.
const LINE: [u8; 240] = [b'x'; 240];
const READ_BYTES: usize = 64 * 1024;

/// A pipe whose other end a thread reads.
fn read_pipe() -> impl Write + Send + 'static {
    let (mut reader, writer) = pipe().expect("pipe");
    thread::spawn(move || {
        let mut buffer = vec![0; READ_BYTES];
        while reader.read(&mut buffer).is_ok_and(|bytes| bytes > 0) {}
    });
    writer
}

fn log_line(criterion: &mut Criterion) {
    let mut direct = read_pipe();
    criterion.bench_function("written at once", |bencher| {
        bencher.iter(|| direct.write_all(black_box(&LINE)).expect("write"));
    });
    let mut queue = LogQueue::start(read_pipe()).expect("thread");
    criterion.bench_function("through the queue", |bencher| {
        bencher.iter(|| queue.write_all(black_box(&LINE)).expect("write"));
    });
    queue.close();
}

criterion_group!(benches, log_line);
criterion_main!(benches);
