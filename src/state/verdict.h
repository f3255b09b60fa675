#pragma once

// The outcome of a request: whether it may have been executed, and why it was refused or failed.
//
//   Verdict verdict = Verdict::refused(Reason::Overloaded, std::chrono::milliseconds(200));
//   if (verdict.runState() == RunState::NotRun) ... // safe to retry

#include "state/time.h"

#include <compare>
#include <optional>
#include <string_view>

namespace banyankeel
{

/// Whether a target executed a request. NotRun guarantees that no target started it.
enum class RunState {
    NotRun,
    MayHaveRun,
    Ran,
};

/// Why a request did not end with a complete response. None on success.
enum class Reason {
    None,
    BadRequest,
    UnknownKey,
    WithdrawnKey,
    ForbiddenRoute,
    UnknownRoute,
    MissingIdempotencyKey,
    RateExceeded,
    Overloaded,
    NoTarget,
    DeadlineExpired,
    RetryBudgetSpent,
    Quarantined,
    ClaimUnavailable,
    DuplicateRequest,
    ConfigurationStale,
    Draining,
    BodyTooLarge,
    BodyIncomplete,
    ConnectionLost,
    TargetFailed,
    UnknownContext,
    Cancelled,
};

/// Returns the name of @p state as headers, logs and metrics carry it: "not-run", "may-have-run" or "ran".
std::string_view nameOf(RunState state);
/// Returns the name of @p reason as headers, logs and metrics carry it, such as "rate-exceeded".
std::string_view nameOf(Reason reason);
/// The inverse of nameOf(). Returns nullopt for an unknown name.
std::optional<RunState> parseRunState(std::string_view name);
std::optional<Reason> parseReason(std::string_view name);

/// The outcome of a request or of one attempt. Immutable.
class Verdict
{
public:
    /// A complete response was received.
    static Verdict ran();
    /// No target started the request. @param retryAfter how long the caller should wait before a retry.
    static Verdict refused(Reason reason, std::optional<Duration> retryAfter = std::nullopt);
    /// A target may have started the request, and no complete response was received.
    static Verdict unknown(Reason reason);

    [[nodiscard]] RunState runState() const
    {
        return m_runState;
    }
    [[nodiscard]] Reason reason() const
    {
        return m_reason;
    }
    [[nodiscard]] std::optional<Duration> retryAfter() const
    {
        return m_retryAfter;
    }
    [[nodiscard]] bool isSuccess() const
    {
        return m_runState == RunState::Ran && m_reason == Reason::None;
    }

    friend auto operator<=>(const Verdict &, const Verdict &) = default;

private:
    Verdict(RunState runState, Reason reason, std::optional<Duration> retryAfter);

    RunState m_runState;
    Reason m_reason;
    std::optional<Duration> m_retryAfter;
};

} // namespace banyankeel
