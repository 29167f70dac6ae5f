//! Signals to processes that the harness started.

use std::io;
use std::os::unix::process::CommandExt;
use std::process::Command;

/// A signal that the harness sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Ends the process at once.
    Kill,
    /// Asks the process to shut down gracefully.
    Terminate,
    /// Stops the process until it is continued.
    Stop,
    /// Continues a stopped process.
    Continue,
    /// Tells the process that its settings have changed.
    Reload,
}

impl Signal {
    fn number(self) -> libc::c_int {
        match self {
            Self::Kill => libc::SIGKILL,
            Self::Terminate => libc::SIGTERM,
            Self::Stop => libc::SIGSTOP,
            Self::Continue => libc::SIGCONT,
            Self::Reload => libc::SIGHUP,
        }
    }
}

/// Sends a signal to a child that has not been waited for; returns whether it was sent.
#[expect(
    unsafe_code,
    reason = "the standard library sends no signal but SIGKILL"
)]
pub(crate) fn send_signal(child: u32, signal: Signal) -> bool {
    let Ok(pid) = libc::pid_t::try_from(child) else {
        return false;
    };
    // SAFETY: the call takes two integers; an unwaited child's number is not used again.
    unsafe { libc::kill(pid, signal.number()) == 0 }
}

/// Makes a child end with the thread that starts it, also when that thread is killed.
#[expect(
    unsafe_code,
    reason = "the standard library cannot tie a child to its parent"
)]
pub(crate) fn tie_to_parent(command: &mut Command) {
    // SAFETY: the call takes two integers.
    let tie = || match unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    };
    // SAFETY: between fork and exec the closure only makes one system call.
    unsafe {
        command.pre_exec(tie);
    }
}
