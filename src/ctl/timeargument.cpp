#include "ctl/timeargument.h"

#include "ctl/ctlerror.h"
#include "state/durationtext.h"

#include <fmt/format.h>

#include <ctime>

namespace banyankeel
{

WallTime parseTime(const std::string &text, WallTime now)
{
    if (const std::optional<Duration> ago = parseDuration(text)) {
        return now - std::chrono::duration_cast<std::chrono::microseconds>(*ago);
    }
    std::tm parts{};
    const char *end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    if (end == nullptr || *end != '\0') {
        throw CtlError(ExitStatus::UsageError,
                       fmt::format("invalid time \"{}\": expected a time such as 2026-01-31T12:00:00Z or a duration before now such as 10m", text));
    }
    return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::from_time_t(timegm(&parts)));
}

} // namespace banyankeel
