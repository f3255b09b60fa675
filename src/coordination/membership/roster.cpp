#include "coordination/membership/roster.h"

#include "protocol/statecodec.h"
#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace banyankeel
{

namespace
{
constexpr const char *RosterTable = "roster";
constexpr std::uint32_t MaxEntries = 256;

std::uint64_t rankOf(const NodeId &node)
{
    return XXH3_64bits(node.text().data(), node.text().size());
}

std::string encodePeer(const Peer &peer)
{
    WireWriter writer;
    writePeer(writer, peer);
    return writer.take();
}

Peer decodePeer(const std::string &value)
{
    WireReader reader(value, "roster row");
    Peer peer = readPeer(reader);
    reader.finish();
    return peer;
}
} // namespace

Roster::Roster(RosterSettings settings, RandomSource random)
    : m_settings(std::move(settings))
    , m_random(std::move(random))
{
}

void Roster::tick(const MemberTable &table, TimePoint now, Outbox &out)
{
    if (m_isReading || now < m_nextRead) {
        return;
    }
    const bool isAlone = table.members().empty();
    if (m_hasRead && !isAlone && !mayWrite(table)) {
        m_nextRead = now + m_settings.checkInterval;
        return;
    }
    read(now, out);
}

void Roster::read(TimePoint now, Outbox &out)
{
    m_isReading = true;
    ++m_ticket;
    // Jitter, so that the nodes of a failure domain that started together do not read at the same time again.
    const double jitter = 0.5 + uniformReal(m_random);
    m_nextRead = now + std::chrono::duration_cast<Duration>(m_settings.checkInterval * jitter);
    out.callStore(StoreTicket{m_ticket}, ListRows{.table = RosterTable, .prefix = "", .after = "", .limit = MaxEntries});
}

void Roster::storeReplied(StoreTicket ticket, const StoreReply &reply, const MemberTable &table, TimePoint now, Outbox &out)
{
    if (ticket != StoreTicket{m_ticket} || !m_isReading) {
        return;
    }
    m_isReading = false;
    const bool isFirst = !m_hasRead;
    if (const auto *rows = std::get_if<RowsRead>(&reply)) {
        // Never writes after the first read: nodes that start together and do not know each other yet would all find too few entries and write.
        m_mayWriteAfterRead = m_hasRead;
        m_hasRead = true;
        processRows(*rows, table, out);
    }
    if (table.members().empty() || isFirst) {
        const double jitter = 0.5 + uniformReal(m_random);
        m_nextRead = now + std::chrono::duration_cast<Duration>(m_settings.retryInterval * jitter);
    }
}

void Roster::processRows(const RowsRead &reply, const MemberTable &table, Outbox &out)
{
    m_endpoints.clear();
    std::size_t ownDomainEntries = 0;
    const Row *replaceable = nullptr;
    bool isListed = false;
    for (const Row &row : reply.rows) {
        const Peer peer = decodePeer(row.value);
        const bool isOwn = row.key == ownKey() && peer.endpoint == m_settings.self.endpoint;
        isListed = isListed || isOwn;
        if (!isOwn) {
            m_endpoints.push_back(peer.endpoint);
        }
        if (row.key.key.compare(0, prefix().size(), prefix()) == 0) {
            ++ownDomainEntries;
            const MemberRumour *gone = table.findGone(peer.node);
            // An entry stays valid when its node restarts with the same address.
            if ((gone != nullptr && gone->peer.incarnation >= peer.incarnation) || (row.key == ownKey() && !isOwn)) {
                replaceable = &row;
            }
        }
    }
    if (isListed || !m_mayWriteAfterRead || !mayWrite(table) || (ownDomainEntries >= m_settings.entries && replaceable == nullptr)) {
        return;
    }
    WriteRows write;
    if (replaceable != nullptr && replaceable->key != ownKey()) {
        write.writes.push_back({replaceable->key, RowAction::Remove, replaceable->version, ""});
    }
    const std::optional<RowVersion> expected = replaceable != nullptr && replaceable->key == ownKey() ? replaceable->version : RowVersion{0};
    write.writes.push_back({ownKey(), RowAction::Put, expected, encodePeer(m_settings.self)});
    // The reply is ignored; the next read shows whether the write succeeded.
    out.callStore(StoreTicket{++m_ticket}, std::move(write));
}

// Only nodes that know fewer than RosterSettings::entries better-ranked nodes of their failure domain maintain its entries: with views of 32 nodes,
// about one in eight.
bool Roster::mayWrite(const MemberTable &table) const
{
    const std::uint64_t own = rankOf(m_settings.self.node);
    std::size_t betterRanked = 0;
    for (const auto &[node, member] : table.members()) {
        betterRanked += member.rumour.peer.place == m_settings.self.place && rankOf(node) < own ? 1 : 0;
    }
    return betterRanked < m_settings.entries;
}

std::string Roster::prefix() const
{
    return m_settings.self.place.region.text() + "/" + m_settings.self.place.failureDomain.text() + "/";
}

RowKey Roster::ownKey() const
{
    return {RosterTable, prefix() + m_settings.self.node.text()};
}

} // namespace banyankeel
