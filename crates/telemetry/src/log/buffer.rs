use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Bytes that may wait for the writing thread: several seconds of lines at a gateway's peak.
const MOST_BYTES: usize = 512 * 1024;

/// Time for which lines are gathered before they are written at once. A wake-up for each line
/// costs more than the line itself.
const GATHER: Duration = Duration::from_millis(200);

/// Lines dropped by all buffers of the process.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that were dropped because the buffer was full.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Bounded buffer of log lines with the thread that writes it.
#[derive(Debug)]
pub struct BufferedLines {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    filled: Condvar,
}

#[derive(Debug, Default)]
struct State {
    lines: Vec<u8>,
    stopping: bool,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic while the buffer was locked leaves whole lines in it.
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
            // Without the thread the buffer fills, and further lines are counted as dropped.
            thread: thread.ok(),
        }
    }

    /// Writer for one line after another.
    pub fn writer(&self) -> impl Fn() -> LineWriter + Send + Sync + 'static {
        let shared = Arc::clone(&self.shared);
        move || LineWriter(Arc::clone(&shared))
    }
}

impl Drop for BufferedLines {
    fn drop(&mut self) {
        self.shared.lock().stopping = true;
        self.shared.filled.notify_one();
        if let Some(thread) = self.thread.take() {
            // The thread only ends after writing what is left; a panic in it has been printed.
            let _ = thread.join();
        }
    }
}

/// Adds one line to the buffer.
#[derive(Debug)]
pub struct LineWriter(Arc<Shared>);

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.0.lock();
        if state.lines.len() + line.len() > MOST_BYTES {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let was_empty = state.lines.is_empty();
        state.lines.extend_from_slice(line);
        drop(state);
        if was_empty {
            self.0.filled.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(shared: &Shared, mut out: impl Write) {
    let mut lines = Vec::new();
    loop {
        let mut state = shared.lock();
        while state.lines.is_empty() && !state.stopping {
            state = shared
                .filled
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        if !state.stopping {
            drop(state);
            std::thread::sleep(GATHER);
            state = shared.lock();
        }
        std::mem::swap(&mut lines, &mut state.lines);
        let stopping = state.stopping;
        drop(state);
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            let lost = lines.split(|byte| *byte == b'\n').count() as u64;
            DROPPED.fetch_add(lost.saturating_sub(1), Ordering::Relaxed);
        }
        lines.clear();
        if stopping {
            return;
        }
    }
}
