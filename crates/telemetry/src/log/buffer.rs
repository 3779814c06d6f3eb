use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Capacity of the buffer in bytes, enough for several seconds of log lines at a gateway's peak
/// load.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

/// Time for which lines are collected before they are written in one batch. Waking the thread for
/// each line costs more than writing the line.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Number of lines dropped by all buffers of the process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines that this process dropped because a buffer was full or could not be
/// written.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Bounded buffer of log lines and the thread that writes them.
#[derive(Debug)]
pub struct BufferedLines {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    wake_writer: Condvar,
}

#[derive(Debug, Default)]
struct State {
    lines: Vec<u8>,
    stopping: bool,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is safe to use: no panic can leave a partial line in the buffer.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BufferedLines {
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let shared = Arc::new(Shared::default());
        let thread = {
            let shared = Arc::clone(&shared);
            std::thread::Builder::new()
                .name("log".into())
                .spawn(move || write_lines(&shared, out))
        };
        Self {
            shared,
            // If the thread cannot start, the buffer fills and further lines are counted as
            // dropped.
            thread: thread.ok(),
        }
    }

    /// Returns a factory of writers that append to this buffer.
    pub fn writer(&self) -> impl Fn() -> LineWriter + Send + Sync + 'static {
        let shared = Arc::clone(&self.shared);
        move || LineWriter(Arc::clone(&shared))
    }
}

impl Drop for BufferedLines {
    fn drop(&mut self) {
        self.shared.lock().stopping = true;
        self.shared.wake_writer.notify_one();
        if let Some(thread) = self.thread.take() {
            // The thread writes the remaining lines before it ends. If it panicked, the panic hook
            // has printed the message already.
            let _ = thread.join();
        }
    }
}

/// Appends one log line to the buffer with each `write`.
#[derive(Debug)]
pub struct LineWriter(Arc<Shared>);

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.0.lock();
        if state.lines.len() + line.len() > MAX_BUFFERED_BYTES {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let was_empty = state.lines.is_empty();
        state.lines.extend_from_slice(line);
        drop(state);
        if was_empty {
            self.0.wake_writer.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes batches of lines to `out` until the buffer is dropped.
fn write_lines(shared: &Shared, mut out: impl Write) {
    let mut lines = Vec::new();
    loop {
        let mut state = shared.lock();
        while state.lines.is_empty() && !state.stopping {
            state = shared
                .wake_writer
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        if !state.stopping {
            drop(state);
            std::thread::sleep(BATCH_DELAY);
            state = shared.lock();
        }
        std::mem::swap(&mut lines, &mut state.lines);
        let stopping = state.stopping;
        drop(state);
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            let dropped = lines.split(|byte| *byte == b'\n').count() as u64;
            DROPPED_LINES.fetch_add(dropped.saturating_sub(1), Ordering::Relaxed);
        }
        lines.clear();
        if stopping {
            return;
        }
    }
}
