#pragma once

// Identifies a root request. All hops and retries for one request of a caller share its id.
//
//   RequestId id = RequestId::derive(organisation, idempotencyKey);   // repeats by the caller get the same id
//   RequestId fresh(high, low);

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace banyankeel
{

/// A 128-bit identifier. Immutable.
class RequestId
{
public:
    constexpr RequestId(std::uint64_t high, std::uint64_t low)
        : m_high(high)
        , m_low(low)
    {
    }

    /// Returns the id shared by all repeats of the request that @p organisation sent with @p idempotencyKey: a deterministic 128-bit hash of both.
    static RequestId derive(std::string_view organisation, std::string_view idempotencyKey);

    /// Parses the 32 hexadecimal digits that text() returns.
    /// @throws ValueError if @p text has another form.
    static RequestId parse(std::string_view text);

    [[nodiscard]] std::uint64_t high() const
    {
        return m_high;
    }
    [[nodiscard]] std::uint64_t low() const
    {
        return m_low;
    }
    /// 32 lower-case hexadecimal digits.
    [[nodiscard]] std::string text() const;

    friend auto operator<=>(const RequestId &, const RequestId &) = default;

private:
    std::uint64_t m_high;
    std::uint64_t m_low;
};

} // namespace banyankeel

template<>
struct std::hash<banyankeel::RequestId> {
    std::size_t operator()(const banyankeel::RequestId &it) const noexcept
    {
        return static_cast<std::size_t>(it.high() ^ (it.low() * 0x9E3779B97F4A7C15ULL));
    }
};
