#include "state/verdict.h"

#include <array>
#include <utility>

namespace banyankeel
{

namespace
{
using namespace std::string_view_literals;

constexpr std::array RunStateNames{
    std::pair{RunState::NotRun, "not-run"sv},
    std::pair{RunState::MayHaveRun, "may-have-run"sv},
    std::pair{RunState::Ran, "ran"sv},
};

constexpr std::array ReasonNames{
    std::pair{Reason::None, "none"sv},
    std::pair{Reason::BadRequest, "bad-request"sv},
    std::pair{Reason::UnknownKey, "unknown-key"sv},
    std::pair{Reason::WithdrawnKey, "withdrawn-key"sv},
    std::pair{Reason::ForbiddenRoute, "forbidden-route"sv},
    std::pair{Reason::UnknownRoute, "unknown-route"sv},
    std::pair{Reason::MissingIdempotencyKey, "missing-idempotency-key"sv},
    std::pair{Reason::RateExceeded, "rate-exceeded"sv},
    std::pair{Reason::Overloaded, "overloaded"sv},
    std::pair{Reason::NoTarget, "no-target"sv},
    std::pair{Reason::DeadlineExpired, "deadline-expired"sv},
    std::pair{Reason::RetryBudgetSpent, "retry-budget-spent"sv},
    std::pair{Reason::Quarantined, "quarantined"sv},
    std::pair{Reason::ClaimUnavailable, "claim-unavailable"sv},
    std::pair{Reason::DuplicateRequest, "duplicate-request"sv},
    std::pair{Reason::ConfigurationStale, "configuration-stale"sv},
    std::pair{Reason::Draining, "draining"sv},
    std::pair{Reason::BodyTooLarge, "body-too-large"sv},
    std::pair{Reason::BodyIncomplete, "body-incomplete"sv},
    std::pair{Reason::ConnectionLost, "connection-lost"sv},
    std::pair{Reason::TargetFailed, "target-failed"sv},
    std::pair{Reason::UnknownContext, "unknown-context"sv},
    std::pair{Reason::Cancelled, "cancelled"sv},
};

template<typename Table, typename Value>
std::string_view findName(const Table &table, Value value)
{
    for (const auto &[candidate, name] : table) {
        if (candidate == value) {
            return name;
        }
    }
    return "unknown";
}

template<typename Value, typename Table>
std::optional<Value> findValue(const Table &table, std::string_view name)
{
    for (const auto &[value, candidate] : table) {
        if (candidate == name) {
            return value;
        }
    }
    return std::nullopt;
}
} // namespace

std::string_view nameOf(RunState state)
{
    return findName(RunStateNames, state);
}

std::string_view nameOf(Reason reason)
{
    return findName(ReasonNames, reason);
}

std::optional<RunState> parseRunState(std::string_view name)
{
    return findValue<RunState>(RunStateNames, name);
}

std::optional<Reason> parseReason(std::string_view name)
{
    return findValue<Reason>(ReasonNames, name);
}

Verdict::Verdict(RunState runState, Reason reason, std::optional<Duration> retryAfter)
    : m_runState(runState)
    , m_reason(reason)
    , m_retryAfter(retryAfter)
{
}

Verdict Verdict::ran()
{
    return {RunState::Ran, Reason::None, std::nullopt};
}

Verdict Verdict::refused(Reason reason, std::optional<Duration> retryAfter)
{
    return {RunState::NotRun, reason, retryAfter};
}

Verdict Verdict::unknown(Reason reason)
{
    return {RunState::MayHaveRun, reason, std::nullopt};
}

} // namespace banyankeel
