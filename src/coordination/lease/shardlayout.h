#pragma once

// Assigns organisations, requests and services to shards. The first node writes its layout to the store, and all other nodes use the stored
// layout, so no two nodes map the same name to different shards.
//
//   ShardId shard = layout.quotaShard(RegionName("muc"), OrganisationId("lufthafen"));

#include "state/identifier.h"
#include "state/requestid.h"
#include "state/shard.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

/// The regions and shard counts of a fleet. Immutable after construction.
struct ShardLayout {
    /// Each region has its own set of quota shards.
    std::vector<RegionName> regions;
    std::uint16_t quotaShards = 8;
    std::uint16_t claimShards = 8;
    std::uint16_t directoryShards = 8;

    /// The shard with the account of @p organisation in @p region. A region missing from the layout uses the shards of the first region.
    [[nodiscard]] ShardId quotaShard(const RegionName &region, const OrganisationId &organisation) const;
    [[nodiscard]] ShardId claimShard(const RequestId &request) const;
    [[nodiscard]] ShardId directoryShard(const ServiceName &service) const;
    /// The region of @p shard; null for kinds that span all regions.
    [[nodiscard]] const RegionName *regionOf(const ShardId &shard) const;
    [[nodiscard]] bool has(const ShardId &shard) const;
    /// All shards in ascending order.
    [[nodiscard]] std::vector<ShardId> all() const;

    [[nodiscard]] std::string encode() const;
    /// @throws ProtocolError, IdentifierError on malformed bytes, ValueError on counts out of range.
    static ShardLayout decode(std::string_view bytes);
    /// @throws ValueError unless there are 1 to 64 distinct regions, all counts are at least 1 and quota shard indexes fit into 16 bits.
    void check() const;

    friend auto operator<=>(const ShardLayout &, const ShardLayout &) = default;
};

} // namespace banyankeel
