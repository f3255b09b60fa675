#pragma once

// Exit statuses of banyankeelctl. They are part of its public interface.

namespace banyankeel
{

enum class ExitStatus : int {
    Success = 0,
    /// The command failed for a reason not listed below.
    Failed = 1,
    /// Wrong arguments, settings or syntax of a configuration file.
    UsageError = 2,
    /// The configuration is invalid; nothing was published.
    Invalid = 3,
    /// Another operator changed the same objects concurrently; nothing was published.
    Conflict = 4,
    /// The store or a node did not respond; nothing was changed.
    Unavailable = 5,
    /// The store did not confirm whether the change was accepted.
    Unknown = 6,
    /// The change was accepted, but was not active on every node within the time limit.
    TimedOut = 7,
};

} // namespace banyankeel
