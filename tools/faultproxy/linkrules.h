#pragma once

// What a fault-injecting link does to the bytes that pass.
//
//   LinkRules rules;
//   rules.set("delay", "8ms");
//   rules.set("bits_per_second", "30000000");

#include "state/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

/// In which direction bytes vanish while the connections stay open.
enum class Swallowed {
    None,
    /// From the side that connected.
    Requests,
    /// To the side that connected.
    Answers,
    Both,
};

/// A link's faults. Chances are in thousandths.
struct LinkRules {
    /// Each way.
    Duration delay{0};
    /// Added to the delay, evenly spread from 0.
    Duration jitter{0};
    /// Of all connections together, each way; 0 for no limit.
    std::uint64_t bitsPerSecond = 0;
    /// Connections are reset, and new ones too.
    bool isCut = false;
    Swallowed swallowed = Swallowed::None;
    /// A frame, or in byte mode a piece as it was read, is cut in its middle and the connection reset.
    unsigned resetPerMille = 0;
    /// A frame changes places with the next one. In frame mode only, as is duplication.
    unsigned reorderPerMille = 0;
    unsigned duplicatePerMille = 0;
    /// The request went through, but its answer is lost and the connection reset.
    unsigned loseAnswerPerMille = 0;

    /// Names of the rules, for YAML and control requests.
    static const std::vector<std::string> &names();
    /// Sets the rule called @p name, one of names(). @throws SettingsError naming rule, what was found and what is allowed.
    void set(std::string_view name, std::string_view value);

    friend auto operator<=>(const LinkRules &, const LinkRules &) = default;
};

} // namespace banyankeel
