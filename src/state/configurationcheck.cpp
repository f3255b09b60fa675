#include "state/configurationcheck.h"

#include "state/durationtext.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <unordered_map>

namespace banyankeel
{

namespace
{
/// Collects the faults of a configuration set.
class ConfigurationChecker
{
public:
    explicit ConfigurationChecker(const ConfigurationSet &set)
        : m_set(set)
    {
    }

    std::vector<ConfigurationFault> run()
    {
        for (const auto &[name, object] : m_set.objects()) {
            m_currentObject = name;
            std::visit([this](const auto &it) { checkFields(it); }, *object);
        }
        checkDistinctPrefixes();
        checkDistinctLevels();
        checkCallChains();
        std::stable_sort(m_faults.begin(), m_faults.end(), [](const auto &left, const auto &right) { return left.object < right.object; });
        return std::move(m_faults);
    }

private:
    void addFault(std::string field, std::string found, std::string allowed)
    {
        m_faults.push_back({m_currentObject, std::move(field), std::move(found), std::move(allowed)});
    }

    void checkReference(ObjectKind kind, const std::string &name, std::string_view field)
    {
        if (m_set.find({kind, name}) == nullptr) {
            addFault(std::string(field), name, fmt::format("the name of a {} of this set", nameOf(kind)));
        }
    }

    template<typename Name>
    void checkReferences(ObjectKind kind, const std::vector<Name> &names, std::string_view field)
    {
        std::set<std::string_view> seen;
        for (const Name &name : names) {
            checkReference(kind, name.text(), field);
            if (!seen.insert(name.text()).second) {
                addFault(std::string(field), name.text(), "each name once");
            }
        }
    }

    void checkDuration(Duration value, Duration lowest, Duration highest, std::string_view field)
    {
        if (value < lowest || value > highest) {
            const std::string found = value < Duration::zero() ? fmt::format("{}ns", value.count()) : durationText(value);
            addFault(std::string(field), found, fmt::format("{} to {}", durationText(lowest), durationText(highest)));
        }
    }

    void checkCount(std::uint64_t value, std::uint64_t highest, std::string_view field)
    {
        if (value < 1 || value > highest) {
            addFault(std::string(field), std::to_string(value), fmt::format("1 to {}", highest));
        }
    }

    void checkLength(const std::string &value, std::size_t length, std::string_view field)
    {
        if (value.size() != length) {
            addFault(std::string(field), fmt::format("{} bytes", value.size()), fmt::format("{} bytes", length));
        }
    }

    void checkFields(const Service &service)
    {
        checkReferences(ObjectKind::Service, service.calls, "calls");
        checkCount(service.maxExecutions, MaxExecutions, "max_executions");
    }

    void checkFields(const Route &route)
    {
        checkReference(ObjectKind::Service, route.service.text(), "service");
        checkReference(ObjectKind::Priority, route.priority.text(), "priority");
        checkReferences(ObjectKind::Organisation, route.organisations, "organisations");
        checkDuration(route.deadline, ShortestDeadline, LongestDeadline, "deadline");
        if (route.pathPrefix.empty() || route.pathPrefix.front() != '/') {
            addFault("path_prefix", route.pathPrefix, "a path that starts with '/'");
        }
    }

    void checkFields(const Organisation &organisation)
    {
        checkReference(ObjectKind::Limit, organisation.limit.text(), "limit");
        checkCount(organisation.weight, MaxWeight, "weight");
    }

    void checkFields(const Key &key)
    {
        checkReference(ObjectKind::Organisation, key.organisation.text(), "organisation");
        checkLength(key.salt, KeySaltBytes, "salt");
        checkLength(key.hash, KeyHashBytes, "hash");
    }

    void checkFields(const Priority &)
    {
        // All levels are valid. checkDistinctLevels() checks that they are unique within the set.
    }

    void checkFields(const Limit &limit)
    {
        if (!std::isfinite(limit.ratePerSecond) || limit.ratePerSecond <= 0) {
            addFault("rate_per_second", fmt::format("{}", limit.ratePerSecond), "a number above 0");
        }
        if (!std::isfinite(limit.burst) || limit.burst < 1) {
            addFault("burst", fmt::format("{}", limit.burst), "a number of at least 1");
        }
    }

    void checkFields(const FleetRules &rules)
    {
        checkDuration(rules.stalenessLimit, ShortestStalenessLimit, LongestStalenessLimit, "staleness_limit");
        checkDuration(rules.claimRetention, ShortestClaimRetention, LongestClaimRetention, "claim_retention");
        checkCount(rules.quotaShards, MaxShards, "quota_shards");
        checkCount(rules.claimShards, MaxShards, "claim_shards");
        checkCount(rules.directoryShards, MaxShards, "directory_shards");
        if (rules.interRegionBytesPerSecond == 0) {
            addFault("inter_region_bytes_per_second", "0", "a number above 0");
        }
    }

    void checkDistinctPrefixes()
    {
        std::unordered_map<std::string_view, const Route *> seen;
        for (const Route *route : m_set.all<Route>()) {
            const auto [it, inserted] = seen.emplace(route->pathPrefix, route);
            if (!inserted) {
                m_currentObject = {ObjectKind::Route, route->name.text()};
                addFault("path_prefix", route->pathPrefix, fmt::format("a prefix that no other route uses; route {} uses it", it->second->name.text()));
            }
        }
    }

    void checkDistinctLevels()
    {
        std::unordered_map<unsigned, const Priority *> seen;
        for (const Priority *priority : m_set.all<Priority>()) {
            const auto level = static_cast<unsigned>(priority->level);
            const auto [it, inserted] = seen.emplace(level, priority);
            if (!inserted) {
                m_currentObject = {ObjectKind::Priority, priority->name.text()};
                addFault("level", std::to_string(level), fmt::format("a level that no other priority uses; priority {} uses it", it->second->name.text()));
            }
        }
    }

    void checkCallChains()
    {
        for (const Service *service : m_set.all<Service>()) {
            if (!m_chainLengths.contains(service->name.text())) {
                chainLengthFrom(*service);
            }
        }
    }

    /// Returns the number of services on the longest call chain that starts at @p service. Each cycle is reported once, at the call that closes it,
    /// and ends the chain.
    std::size_t chainLengthFrom(const Service &service)
    {
        const std::string_view name = service.name.text();
        const auto cached = m_chainLengths.find(name);
        if (cached != m_chainLengths.end()) {
            return cached->second;
        }
        m_callPath.push_back(name);
        std::size_t length = 1;
        for (const ServiceName &call : service.calls) {
            length = std::max(length, 1 + chainLengthFromCallee(service, call));
        }
        m_callPath.pop_back();
        m_chainLengths.emplace(name, length);
        // The callers of this service exceed the limit as well; the chain is reported only once.
        if (length == MaxCallDepth + 1) {
            m_currentObject = {ObjectKind::Service, service.name.text()};
            addFault("calls", fmt::format("a chain of {} services or more", length), fmt::format("chains of at most {} services", MaxCallDepth));
        }
        return length;
    }

    std::size_t chainLengthFromCallee(const Service &caller, const ServiceName &call)
    {
        const auto *service = m_set.find<Service>(ObjectKind::Service, call.text());
        if (service == nullptr) {
            return 0;
        }
        const auto cycleBegin = std::find(m_callPath.begin(), m_callPath.end(), std::string_view(call.text()));
        if (cycleBegin == m_callPath.end()) {
            return chainLengthFrom(*service);
        }
        m_currentObject = {ObjectKind::Service, caller.name.text()};
        addFault("calls", fmt::format("{} -> {}", fmt::join(cycleBegin, m_callPath.end(), " -> "), call.text()), "calls without a cycle");
        return 0;
    }

    const ConfigurationSet &m_set;
    ObjectName m_currentObject{ObjectKind::FleetRules, "fleet"};
    std::vector<ConfigurationFault> m_faults;
    std::unordered_map<std::string_view, std::size_t> m_chainLengths;
    std::vector<std::string_view> m_callPath;
};
} // namespace

std::vector<ConfigurationFault> checkConfiguration(const ConfigurationSet &set)
{
    return ConfigurationChecker(set).run();
}

} // namespace banyankeel
