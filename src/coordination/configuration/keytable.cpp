#include "coordination/configuration/keytable.h"

#include "coordination/configuration/keysecret.h"

namespace banyankeel
{

namespace
{
// Bounds memory. Exceeding it only changes the reason given to a caller: an evicted id is reported as unknown.
constexpr std::size_t MaxRememberedWithdrawn = 10'000;

using Iterator = ConfigurationSet::Objects::const_iterator;

struct KeyRange {
    Iterator begin;
    Iterator end;
};

KeyRange keysOf(const ConfigurationSet &set)
{
    const auto &objects = set.objects();
    const auto nextKind = static_cast<ObjectKind>(static_cast<std::uint8_t>(ObjectKind::Key) + 1);
    return {objects.lower_bound({ObjectKind::Key, ""}), objects.lower_bound({nextKind, ""})};
}
} // namespace

// Keys are looked up in the set itself, so building a table copies no keys; a search among 20,000 keys takes 15 steps.
KeyTable::KeyTable(const ConfigurationSet &set, const KeyTable *previous)
    : m_set(set)
{
    if (previous != nullptr) {
        collectWithdrawn(*previous);
    }
}

void KeyTable::collectWithdrawn(const KeyTable &previous)
{
    const KeyRange currentKeys = keysOf(m_set);
    const KeyRange previousKeys = keysOf(previous.m_set);
    auto it = currentKeys.begin;
    for (auto previousKey = previousKeys.begin; previousKey != previousKeys.end; ++previousKey) {
        while (it != currentKeys.end && it->first.name < previousKey->first.name) {
            ++it;
        }
        if (it == currentKeys.end || it->first.name != previousKey->first.name) {
            m_newlyWithdrawn.push_back(KeyId(previousKey->first.name));
        }
    }
    m_withdrawn = previous.m_withdrawn;
    for (const KeyId &key : m_newlyWithdrawn) {
        m_withdrawn.insert(key.text());
    }
    while (m_withdrawn.size() > MaxRememberedWithdrawn) {
        m_withdrawn.erase(m_withdrawn.begin());
    }
}

KeyLookup KeyTable::lookUp(std::string_view presented) const
{
    const auto parts = PresentedKey::split(presented);
    if (!parts) {
        return Reason::UnknownKey;
    }
    const Key *key = m_set.find<Key>(ObjectKind::Key, parts->id);
    if (key == nullptr) {
        return missingKeyReason(std::string(parts->id));
    }
    if (!KeySecret::matches(*key, parts->secret)) {
        return Reason::UnknownKey;
    }
    return KeyOwner{key->name, key->organisation};
}

std::optional<Reason> KeyTable::refusalReason(const KeyOwner &owner) const
{
    const Key *key = m_set.find<Key>(ObjectKind::Key, owner.key.text());
    if (key == nullptr) {
        return missingKeyReason(owner.key.text());
    }
    if (key->organisation != owner.organisation) {
        return Reason::WithdrawnKey;
    }
    return std::nullopt;
}

Reason KeyTable::missingKeyReason(const std::string &id) const
{
    return m_withdrawn.count(id) != 0 ? Reason::WithdrawnKey : Reason::UnknownKey;
}

} // namespace banyankeel
