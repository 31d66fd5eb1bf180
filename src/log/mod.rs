//! Log to standard output that never blocks: lines go through a bounded queue to a thread of their
//! own. Lines over the bound of a second, or that find the queue full, are dropped and counted; the
//! count is a line of its own.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
    time::{Duration, Instant},
};

/// Lines that wait for a slow reader.
const QUEUE: usize = 1_024;
/// Lines in a second. A heavy day of the users writes some twenty a second and instance.
const LINES_PER_SECOND: u32 = 400;
/// Span in which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Writer that drops lines rather than wait.
pub struct Out {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    span: Instant,
    written: u32,
    dropped: u64,
}

impl Out {
    /// Creates a writer and the thread that empties it into `sink`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start(sink: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE);
        thread::Builder::new().name("log".to_owned()).spawn(move || drain(&queue, sink))?;
        let (line, span) = (Vec::new(), Instant::now());
        Ok(Self { lines, line, span, written: 0, dropped: 0 })
    }

    fn send(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.span.elapsed() >= SPAN {
            self.span = Instant::now();
            self.written = 0;
        }
        if self.written >= LINES_PER_SECOND {
            self.dropped += 1;
            return;
        }
        if self.dropped > 0 {
            let note = format!("log lines were dropped; count={}\n", self.dropped);
            if self.lines.try_send(note.into_bytes()).is_ok() {
                self.dropped = 0;
            }
        }
        match self.lines.try_send(line) {
            Ok(()) => self.written += 1,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
    }
}

impl Write for Out {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                self.send();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the writer is gone or the sink is closed.
fn drain(queue: &Receiver<Vec<u8>>, mut sink: impl Write) {
    while let Ok(line) = queue.recv() {
        if sink.write_all(&line).and_then(|()| sink.flush()).is_err() {
            // Nobody reads the log any more, and there is no other place to say so.
            return;
        }
    }
}
