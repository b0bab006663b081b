//! Injects failing system calls into a proxy: the settings of the preloaded shim (`shim/faults.c`), and the control
//! file through which a running proxy's call faults, wall clock and disk errors are changed.

use std::fs::File;
use std::io::Result;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Path of the shim library that the build script compiles.
const LIBRARY: &str = env!("LINENTRAIL_FAULT_SHIM");
/// The environment variable that lists the faults.
const FAULTS: &str = "LINENTRAIL_FAULTS";
/// Offsets of the three numbers in the control file.
const CLOCK_STEP_AT: u64 = 0;
const DISK_ERROR_AT: u64 = 8;
const CALLS_FAIL_AT: u64 = 16;
const CONTROL_BYTES: u64 = 24;

/// A system call that fails or transfers less than requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallFault {
    /// A read returns one byte although more is available.
    RecvShort,
    /// A read returns a random part of the available bytes.
    RecvCut,
    /// A write accepts one byte.
    SendShort,
    /// A read fails and the connection breaks.
    RecvFails,
    /// Accepting a connection fails temporarily.
    AcceptFails,
    /// Connecting fails temporarily.
    ConnectFails,
    /// Creating a socket fails temporarily.
    SocketFails,
    /// A wait for events fails with EINTR.
    WaitInterrupted,
    /// A read, a write or a connect fails with EINTR.
    CallInterrupted,
    /// A read or a write fails for lack of memory.
    CallNoMemory,
    /// The calling thread is delayed for 150 ms before a write.
    Pause,
}

impl CallFault {
    /// All faults.
    pub const ALL: [CallFault; 11] = [
        CallFault::RecvShort,
        CallFault::RecvCut,
        CallFault::SendShort,
        CallFault::RecvFails,
        CallFault::AcceptFails,
        CallFault::ConnectFails,
        CallFault::SocketFails,
        CallFault::WaitInterrupted,
        CallFault::CallInterrupted,
        CallFault::CallNoMemory,
        CallFault::Pause,
    ];

    /// Its name in LINENTRAIL_FAULTS and in scenarios.
    pub fn name(self) -> &'static str {
        match self {
            CallFault::RecvShort => "recv_short",
            CallFault::RecvCut => "recv_cut",
            CallFault::SendShort => "send_short",
            CallFault::RecvFails => "recv_fails",
            CallFault::AcceptFails => "accept_fails",
            CallFault::ConnectFails => "connect_fails",
            CallFault::SocketFails => "socket_fails",
            CallFault::WaitInterrupted => "wait_intr",
            CallFault::CallInterrupted => "call_intr",
            CallFault::CallNoMemory => "call_nomem",
            CallFault::Pause => "pause",
        }
    }
}

/// The error with which write() and fsync() fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskError {
    /// ENOSPC; some of the failing writes write half of their bytes first.
    Full,
    /// EIO.
    Broken,
}

impl DiskError {
    fn errno(self) -> i64 {
        match self {
            DiskError::Full => 28,
            DiskError::Broken => 5,
        }
    }
}

/// The shim of one proxy: its environment and its control file.
#[derive(Debug)]
pub struct Shim {
    control: File,
    environment: Vec<(String, String)>,
}

impl Shim {
    /// Creates the control file in `folder`, where the log of faults is written too. Each fault of `calls` affects
    /// one call in the given number, once [`Shim::set_call_faults`] has enabled them. Disk errors affect files
    /// below `disk`.
    ///
    /// # Errors
    /// When the control file cannot be created.
    pub fn new(folder: &Path, disk: &Path, seed: u64, calls: &[(CallFault, u32)]) -> Result<Self> {
        let path = folder.join("fault-control");
        let control = File::options().create(true).truncate(true).read(true).write(true).open(&path)?;
        control.set_len(CONTROL_BYTES)?;
        let mut faults = format!("seed={seed}");
        for (call, every) in calls {
            faults += &format!(",{}={every}", call.name());
        }
        let path_text = |path: PathBuf| path.to_string_lossy().into_owned();
        let environment = [
            ("LD_PRELOAD", LIBRARY.to_string()),
            (FAULTS, faults),
            ("LINENTRAIL_FAULT_CONTROL", path_text(path)),
            ("LINENTRAIL_FAULT_FOLDER", path_text(disk.to_path_buf())),
            ("LINENTRAIL_FAULT_LOG", path_text(folder.join("fault-log"))),
        ];
        let environment = environment.map(|(name, value)| (name.to_string(), value)).to_vec();
        Ok(Shim { control, environment })
    }

    /// Limits the total number of call faults.
    #[must_use]
    pub fn limit_faults(mut self, faults: u32) -> Self {
        for (name, value) in &mut self.environment {
            if name == FAULTS {
                *value += &format!(",at_most={faults}");
            }
        }
        self
    }

    /// The environment variables that the proxy must be started with.
    pub fn environment(&self) -> Vec<(String, String)> {
        self.environment.clone()
    }

    fn write_control(&self, offset: u64, value: i64) -> Result<()> {
        self.control.write_all_at(&value.to_ne_bytes(), offset)
    }

    /// Offsets the proxy's wall clock from the machine's by `us` from now on.
    ///
    /// # Errors
    /// When the control file cannot be written.
    pub fn set_clock_step(&self, us: i64) -> Result<()> {
        self.write_control(CLOCK_STEP_AT, us)
    }

    /// Makes writes below the disk folder fail with `error` from now on; with none they succeed again.
    ///
    /// # Errors
    /// When the control file cannot be written.
    pub fn set_disk_error(&self, error: Option<DiskError>) -> Result<()> {
        self.write_control(DISK_ERROR_AT, error.map_or(0, DiskError::errno))
    }

    /// Enables or disables the call faults.
    ///
    /// # Errors
    /// When the control file cannot be written.
    pub fn set_call_faults(&self, on: bool) -> Result<()> {
        self.write_control(CALLS_FAIL_AT, i64::from(on))
    }
}
