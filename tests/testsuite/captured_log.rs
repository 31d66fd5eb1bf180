//! Log of the instances in the output of the test that runs them, which is shown if the test fails.

use {
    simplelog::{ConfigBuilder, LevelFilter, WriteLogger},
    std::{
        io::{self, Write},
        sync::Once,
    },
};

static START: Once = Once::new();

/// Writer whose output is captured by the test harness, unlike that of [`io::stdout`].
struct TestOutput;

impl Write for TestOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        print!("{}", String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging to the output of the running test. Threads that a test starts write to its
/// output.
///
/// # Panics
///
/// Panics if another logger was started.
pub fn start() {
    START.call_once(|| {
        let config = ConfigBuilder::new()
            .set_time_format_rfc3339()
            .add_filter_allow_str("hawthornmount")
            .build();
        WriteLogger::init(LevelFilter::Debug, config, TestOutput).expect("no other logger runs");
    });
}
