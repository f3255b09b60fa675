#pragma once

// Generates a caller's key: the object to publish and the text that the caller presents.
//
//   KeySecret secret = KeySecret::generate(KeyId("crew-desk"), OrganisationId("lufthafen"), random);
//   publish(secret.key());
//   print(secret.text());   // "crew-desk.<64 hexadecimal digits>", shown once and never stored

#include "coordination/common/random.h"
#include "state/configurationobjects.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyankeel
{

/// The two parts of a presented key. The views are valid as long as the text that was split.
struct PresentedKey {
    std::string_view id;
    std::string_view secret;

    /// Splits "<key id>.<secret>" at the last dot, since a key id may contain dots. Absent if a part is empty or the text is too long.
    static std::optional<PresentedKey> split(std::string_view text);
};

/// A newly generated key with its secret. Immutable.
class KeySecret
{
public:
    /// @param random must be cryptographically secure outside of tests.
    static KeySecret generate(const KeyId &name, const OrganisationId &organisation, const RandomSource &random);

    /// The salted hash of @p secret as stored in a Key object, 32 bytes. Costs one SHA-256.
    static std::string hashOf(std::string_view salt, std::string_view secret);

    /// Whether @p secret belongs to @p key. Compares in constant time for given lengths.
    static bool matches(const Key &key, std::string_view secret);

    [[nodiscard]] const Key &key() const
    {
        return m_key;
    }
    /// The text that the caller sends after "Bearer ".
    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }

private:
    KeySecret(Key key, std::string text);

    Key m_key;
    std::string m_text;
};

} // namespace banyankeel
