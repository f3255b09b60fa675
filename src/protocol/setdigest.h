#pragma once

// A digest of a configuration set that is updated incrementally, object by object.
//
//   SetDigest digest = digestOf(set);
//   digest = digest.after(set, change);   // equals digestOf(set.with(change, revision))

#include "state/configurationset.h"

#include <compare>
#include <cstdint>

namespace banyankeel
{

class WireReader;
class WireWriter;

/// Sum of the 128-bit hashes of all objects. Detects corruption and divergence but not forgery, since nodes are authenticated. Immutable.
class SetDigest
{
public:
    /// The digest of the empty set.
    constexpr SetDigest() = default;
    constexpr SetDigest(std::uint64_t high, std::uint64_t low)
        : m_high(high)
        , m_low(low)
    {
    }

    /// Returns the digest of @p set after @p change, where this is the digest of @p set. Hashes only the objects affected by the change.
    [[nodiscard]] SetDigest after(const ConfigurationSet &set, const ConfigurationChange &change) const;

    [[nodiscard]] std::uint64_t high() const
    {
        return m_high;
    }
    [[nodiscard]] std::uint64_t low() const
    {
        return m_low;
    }

    friend auto operator<=>(const SetDigest &, const SetDigest &) = default;

private:
    friend SetDigest digestOf(const ConfigurationSet &set);
    void add(const ConfigurationObject &object);
    void subtract(const ConfigurationObject &object);

    std::uint64_t m_high = 0;
    std::uint64_t m_low = 0;
};

/// Returns the digest of @p set. Hashes all of its objects.
SetDigest digestOf(const ConfigurationSet &set);

void writeDigest(WireWriter &writer, const SetDigest &digest);
/// @throws ProtocolError on malformed values.
SetDigest readDigest(WireReader &reader);

} // namespace banyankeel
