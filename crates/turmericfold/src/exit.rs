//! Exit codes of the command.

/// The result of a command, as its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// 0: the command succeeded.
    Done,
    /// 1: the operation failed.
    Failed,
    /// 2: the settings or the configuration is faulty.
    Faulty,
    /// 3: the change conflicts with the change of another operator.
    Conflict,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(match code {
            ExitCode::Done => 0,
            ExitCode::Failed => 1,
            ExitCode::Faulty => 2,
            ExitCode::Conflict => 3,
        })
    }
}
