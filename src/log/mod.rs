//! Log writer that never blocks: a dedicated thread writes the lines of a bounded queue to the
//! sink. Lines beyond the rate limit, and lines that find the queue full, are dropped and counted.
//! The count is logged before the next line that is not dropped.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
    time::{Duration, Instant},
};

/// Capacity of the queue between the writer and the thread that writes to the sink.
const QUEUE_LINES: usize = 1_024;
/// Rate limit. On a busy day of the users an instance writes about 20 lines per second.
const MAX_LINES_PER_SECOND: u32 = 400;
/// Window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Writer that drops lines instead of blocking.
pub struct Writer {
    queue: SyncSender<Vec<u8>>,
    /// Bytes of the line that has not ended yet.
    partial_line: Vec<u8>,
    window_start: Instant,
    lines_in_window: u32,
    /// Lines that were dropped since the count was last logged.
    dropped: u64,
}

impl Writer {
    /// Creates a writer and starts the thread that writes its lines to `sink`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start(sink: impl Write + Send + 'static) -> io::Result<Self> {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&lines, sink))?;
        let (partial_line, window_start) = (Vec::new(), Instant::now());
        Ok(Self { queue, partial_line, window_start, lines_in_window: 0, dropped: 0 })
    }

    fn enqueue(&mut self) {
        let line = std::mem::take(&mut self.partial_line);
        if self.window_start.elapsed() >= RATE_WINDOW {
            self.window_start = Instant::now();
            self.lines_in_window = 0;
        }
        if self.lines_in_window >= MAX_LINES_PER_SECOND {
            self.dropped += 1;
            return;
        }
        if self.dropped > 0 {
            let notice = format!("log lines were dropped; count={}\n", self.dropped);
            if self.queue.try_send(notice.into_bytes()).is_ok() {
                self.dropped = 0;
            }
        }
        match self.queue.try_send(line) {
            Ok(()) => self.lines_in_window += 1,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
    }
}

impl Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.partial_line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                self.enqueue();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines to the sink until the writer is dropped or the sink fails.
fn write_lines(lines: &Receiver<Vec<u8>>, mut sink: impl Write) {
    while let Ok(line) = lines.recv() {
        if sink.write_all(&line).and_then(|()| sink.flush()).is_err() {
            // The reader of the log is gone, and there is no other place to report it.
            return;
        }
    }
}
