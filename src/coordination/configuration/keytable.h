#pragma once

// Maps callers' keys to organisations. A table belongs to one revision of the configuration.
//
//   auto table = std::make_shared<const KeyTable>(set, previousTable.get());
//   KeyLookup lookup = table->lookUp(presentedText);
//   if (const KeyOwner *owner = std::get_if<KeyOwner>(&lookup)) ... owner->organisation ...

#include "state/configurationset.h"
#include "state/identifier.h"
#include "state/verdict.h"

#include <compare>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace banyankeel
{

/// The id of a valid key and the organisation to which it was granted.
struct KeyOwner {
    KeyId key;
    OrganisationId organisation;

    friend auto operator<=>(const KeyOwner &, const KeyOwner &) = default;
};

/// The owner, or Reason::UnknownKey or Reason::WithdrawnKey.
using KeyLookup = std::variant<KeyOwner, Reason>;

/// The keys of one configuration set. Immutable; may be read from any thread.
class KeyTable
{
public:
    /// @param previous the table that this one replaces, or null when the process starts. Keys that it has and @p set lacks are treated
    /// as withdrawn, as are the keys that it already treated so. Linear in the number of keys of both tables; copies no key.
    explicit KeyTable(const ConfigurationSet &set, const KeyTable *previous = nullptr);

    /// Looks up "<key id>.<secret>". Costs one search by id and one SHA-256; the secret is compared in constant time.
    [[nodiscard]] KeyLookup lookUp(std::string_view presented) const;

    /// Why no more work may be started for a key that was looked up earlier, or nullopt if it may. A key that has since been withdrawn
    /// and granted to another organisation is refused.
    [[nodiscard]] std::optional<Reason> refusalReason(const KeyOwner &owner) const;

    /// The keys that the previous table has and this one lacks.
    [[nodiscard]] const std::vector<KeyId> &newlyWithdrawn() const
    {
        return m_newlyWithdrawn;
    }
    [[nodiscard]] Revision revision() const
    {
        return m_set.revision();
    }

private:
    [[nodiscard]] Reason missingKeyReason(const std::string &id) const;
    void collectWithdrawn(const KeyTable &previous);

    ConfigurationSet m_set;
    std::vector<KeyId> m_newlyWithdrawn;
    std::set<std::string> m_withdrawn;
};

} // namespace banyankeel
