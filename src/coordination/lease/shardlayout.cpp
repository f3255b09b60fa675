#include "coordination/lease/shardlayout.h"

#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <algorithm>
#include <limits>
#include <set>

namespace banyankeel
{

namespace
{
constexpr std::size_t MaxRegions = 64;
constexpr std::uint64_t MaxIndex = std::numeric_limits<std::uint16_t>::max();

void appendShards(std::vector<ShardId> &shards, ShardKind kind, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        shards.push_back({kind, static_cast<std::uint16_t>(i)});
    }
}
} // namespace

ShardId ShardLayout::quotaShard(const RegionName &region, const OrganisationId &organisation) const
{
    const auto it = std::find(regions.begin(), regions.end(), region);
    const auto regionIndex = it == regions.end() ? 0 : static_cast<std::uint16_t>(it - regions.begin());
    const ShardId local = shardOf(ShardKind::Quota, organisation.text(), quotaShards);
    return {ShardKind::Quota, static_cast<std::uint16_t>(regionIndex * quotaShards + local.index)};
}

ShardId ShardLayout::claimShard(const RequestId &request) const
{
    return shardOf(ShardKind::Claims, request.text(), claimShards);
}

ShardId ShardLayout::directoryShard(const ServiceName &service) const
{
    return shardOf(ShardKind::Directory, service.text(), directoryShards);
}

const RegionName *ShardLayout::regionOf(const ShardId &shard) const
{
    if (shard.kind != ShardKind::Quota || !has(shard)) {
        return nullptr;
    }
    return &regions[shard.index / quotaShards];
}

bool ShardLayout::has(const ShardId &shard) const
{
    switch (shard.kind) {
    case ShardKind::Quota:
        return shard.index < quotaShards * regions.size();
    case ShardKind::Claims:
        return shard.index < claimShards;
    case ShardKind::Directory:
        return shard.index < directoryShards;
    }
    return false;
}

std::vector<ShardId> ShardLayout::all() const
{
    std::vector<ShardId> shards;
    appendShards(shards, ShardKind::Quota, quotaShards * regions.size());
    appendShards(shards, ShardKind::Claims, claimShards);
    appendShards(shards, ShardKind::Directory, directoryShards);
    return shards;
}

std::string ShardLayout::encode() const
{
    WireWriter writer;
    writer.count(regions.size());
    for (const RegionName &it : regions) {
        writer.text(it.text());
    }
    writer.compactNumber(quotaShards);
    writer.compactNumber(claimShards);
    writer.compactNumber(directoryShards);
    return writer.take();
}

ShardLayout ShardLayout::decode(std::string_view bytes)
{
    WireReader reader(bytes, "shard layout");
    ShardLayout layout;
    const std::size_t n = reader.count("regions", MaxRegions);
    for (std::size_t i = 0; i < n; ++i) {
        layout.regions.emplace_back(reader.text("region"));
    }
    layout.quotaShards = static_cast<std::uint16_t>(reader.number("quota shards", MaxIndex));
    layout.claimShards = static_cast<std::uint16_t>(reader.number("claim shards", MaxIndex));
    layout.directoryShards = static_cast<std::uint16_t>(reader.number("directory shards", MaxIndex));
    reader.finish();
    layout.check();
    return layout;
}

void ShardLayout::check() const
{
    const std::set<RegionName> distinct(regions.begin(), regions.end());
    if (regions.empty() || regions.size() > MaxRegions || distinct.size() != regions.size()) {
        throw ValueError("shard layout: field regions has " + std::to_string(regions.size()) + " entries: must be 1 to 64 distinct regions");
    }
    if (quotaShards == 0 || claimShards == 0 || directoryShards == 0) {
        throw ValueError("shard layout: a shard count is 0: must be at least 1");
    }
    if (quotaShards * regions.size() > MaxIndex) {
        throw ValueError("shard layout: field quotaShards is " + std::to_string(quotaShards) + ": too many for the number of regions");
    }
}

} // namespace banyankeel
