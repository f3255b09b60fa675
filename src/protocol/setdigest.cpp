#include "protocol/setdigest.h"

#include "protocol/statecodec.h"
#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"

#include <xxhash.h>

#include <map>

namespace banyankeel
{

namespace
{
XXH128_hash_t hashOf(const ConfigurationObject &object)
{
    WireWriter writer;
    writeObject(writer, object);
    const std::string bytes = writer.take();
    return XXH3_128bits(bytes.data(), bytes.size());
}
} // namespace

// The sum is independent of the order of the objects, so a single object can be subtracted again.
void SetDigest::add(const ConfigurationObject &object)
{
    const XXH128_hash_t hash = hashOf(object);
    m_high += hash.high64;
    m_low += hash.low64;
}

void SetDigest::subtract(const ConfigurationObject &object)
{
    const XXH128_hash_t hash = hashOf(object);
    m_high -= hash.high64;
    m_low -= hash.low64;
}

SetDigest SetDigest::after(const ConfigurationSet &set, const ConfigurationChange &change) const
{
    // Applies the change in the same order as ConfigurationSet::with(): a name may be both removed and put, or put twice.
    std::map<ObjectName, const ConfigurationObject *> changed;
    for (const ObjectName &name : change.removed) {
        changed[name] = nullptr;
    }
    for (const ConfigurationObject &object : change.put) {
        changed[nameOf(object)] = &object;
    }
    SetDigest digest = *this;
    for (const auto &[name, object] : changed) {
        if (const ConfigurationObject *present = set.find(name)) {
            digest.subtract(*present);
        }
        if (object != nullptr) {
            digest.add(*object);
        }
    }
    return digest;
}

SetDigest digestOf(const ConfigurationSet &set)
{
    SetDigest digest;
    for (const auto &[name, object] : set.objects()) {
        digest.add(*object);
    }
    return digest;
}

void writeDigest(WireWriter &writer, const SetDigest &digest)
{
    writer.number(digest.high());
    writer.number(digest.low());
}

SetDigest readDigest(WireReader &reader)
{
    const std::uint64_t high = reader.number("digest");
    const std::uint64_t low = reader.number("digest");
    return {high, low};
}

} // namespace banyankeel
