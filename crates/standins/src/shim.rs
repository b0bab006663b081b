//! System calls that fail: the shim of `shim/faults.c`, loaded into a proxy, and the file by which a running proxy's
//! faults, wall clock and disk are controlled.

use std::fs::File;
use std::io::Result;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The library, as the build made it.
const LIBRARY: &str = env!("LINENTRAIL_FAULT_SHIM");
/// The variable that names the calls that fail.
const FAULTS: &str = "LINENTRAIL_FAULTS";
/// Where the control file holds each of its three numbers.
const CLOCK_STEP_AT: u64 = 0;
const DISK_ERROR_AT: u64 = 8;
const CALLS_FAIL_AT: u64 = 16;
const CONTROL_BYTES: u64 = 24;

/// A call that fails or does less than it was asked to, as the shim names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallFault {
    /// A read brings one byte while more stands in the socket.
    RecvShort,
    /// A read brings a drawn part of what stands in the socket.
    RecvCut,
    /// A write takes one byte.
    SendShort,
    /// A read fails, and the connection with it.
    RecvFails,
    /// A connection cannot be accepted for the moment.
    AcceptFails,
    /// A connection cannot be made for the moment.
    ConnectFails,
    /// There is no socket to be had for the moment.
    SocketFails,
    /// A wait ends with EINTR.
    WaitInterrupted,
    /// A read, a write or a connect ends with EINTR.
    CallInterrupted,
    /// A read or a write finds no memory.
    CallNoMemory,
    /// The process is held up for 150 ms before it writes.
    Pause,
}

impl CallFault {
    /// All of them.
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

    /// The name that the shim and scenarios have for it.
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

/// What write() and fsync() fail with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskError {
    /// ENOSPC: some writes are then half done.
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

/// The faults of one proxy's system calls.
#[derive(Debug)]
pub struct Shim {
    control: File,
    environment: Vec<(String, String)>,
}

impl Shim {
    /// One for a proxy whose files are in `folder`, in which the control file and the log of faults are made. `calls`
    /// fail once in so many; nothing fails before [`Shim::set_call_faults`] says so. The disk's faults hold below `disk`.
    ///
    /// # Errors
    /// When the files cannot be made.
    pub fn new(folder: &Path, disk: &Path, seed: u64, calls: &[(CallFault, u32)]) -> Result<Self> {
        let path = folder.join("fault-control");
        let control = File::options().create(true).truncate(true).read(true).write(true).open(&path)?;
        control.set_len(CONTROL_BYTES)?;
        let mut faults = format!("seed={seed}");
        for (call, every) in calls {
            faults += &format!(",{}={every}", call.name());
        }
        let text = |path: PathBuf| path.to_string_lossy().into_owned();
        let environment = [
            ("LD_PRELOAD", LIBRARY.to_string()),
            (FAULTS, faults),
            ("LINENTRAIL_FAULT_CONTROL", text(path)),
            ("LINENTRAIL_FAULT_FOLDER", text(disk.to_path_buf())),
            ("LINENTRAIL_FAULT_LOG", text(folder.join("fault-log"))),
        ];
        let environment = environment.map(|(name, value)| (name.to_string(), value)).to_vec();
        Ok(Shim { control, environment })
    }

    /// The same, but no more than so many calls fail.
    #[must_use]
    pub fn limit_faults(mut self, faults: u32) -> Self {
        for (name, value) in &mut self.environment {
            if name == FAULTS {
                *value += &format!(",at_most={faults}");
            }
        }
        self
    }

    /// What the proxy's environment must say.
    pub fn environment(&self) -> Vec<(String, String)> {
        self.environment.clone()
    }

    fn set(&self, at: u64, value: i64) -> Result<()> {
        self.control.write_all_at(&value.to_ne_bytes(), at)
    }

    /// The proxy's wall clock shows the machine's and so many us, from now on.
    ///
    /// # Errors
    /// When the control file cannot be written.
    pub fn set_clock_step(&self, us: i64) -> Result<()> {
        self.set(CLOCK_STEP_AT, us)
    }

    /// Writes below the disk's folder fail so from now on, or no longer.
    ///
    /// # Errors
    /// When the control file cannot be written.
    pub fn set_disk_error(&self, error: Option<DiskError>) -> Result<()> {
        self.set(DISK_ERROR_AT, error.map_or(0, DiskError::errno))
    }

    /// Whether calls fail from now on.
    ///
    /// # Errors
    /// When the control file cannot be written.
    pub fn set_call_faults(&self, on: bool) -> Result<()> {
        self.set(CALLS_FAIL_AT, i64::from(on))
    }
}
