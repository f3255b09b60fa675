#include "state/requestid.h"

#include "state/errors.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>

namespace banyankeel
{

namespace
{
constexpr std::size_t TextLength = 32;

std::uint64_t parseHalf(std::string_view half, std::string_view fullText)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(half.data(), half.data() + half.size(), value, 16);
    if (ec != std::errc() || end != half.data() + half.size()) {
        throw ValueError("request id '" + std::string(fullText) + "': 32 hexadecimal digits are expected");
    }
    return value;
}
} // namespace

RequestId RequestId::derive(std::string_view organisation, std::string_view idempotencyKey)
{
    // The length prefix makes the hash input of ("ab", "c") differ from that of ("a", "bc").
    std::string hashInput = std::to_string(organisation.size()) + ':';
    hashInput += organisation;
    hashInput += idempotencyKey;
    const XXH128_hash_t hash = XXH3_128bits(hashInput.data(), hashInput.size());
    return {hash.high64, hash.low64};
}

RequestId RequestId::parse(std::string_view text)
{
    if (text.size() != TextLength) {
        throw ValueError("request id '" + std::string(text) + "': 32 hexadecimal digits are expected");
    }
    const std::uint64_t high = parseHalf(text.substr(0, TextLength / 2), text);
    const std::uint64_t low = parseHalf(text.substr(TextLength / 2), text);
    return {high, low};
}

std::string RequestId::text() const
{
    return fmt::format("{:016x}{:016x}", m_high, m_low);
}

} // namespace banyankeel
