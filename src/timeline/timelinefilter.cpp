#include "timeline/timelinefilter.h"

#include "timeline/timelinedetail.h"

#include <string>
#include <unordered_set>

namespace banyankeel
{

namespace
{
/// Matches events with a key=value pair in their detail, and all events that share a root request with one of them.
class DetailMatcher
{
public:
    DetailMatcher(const MergedTimeline &timeline, std::string_view key, std::string value)
        : m_key(key)
        , m_value(std::move(value))
    {
        for (const MergedEvent &it : timeline.events) {
            if (it.event.note.root && hasPair(it)) {
                m_roots.insert(*it.event.note.root);
            }
        }
    }

    [[nodiscard]] bool matches(const MergedEvent &event) const
    {
        return hasPair(event) || (event.event.note.root && m_roots.contains(*event.event.note.root));
    }

private:
    [[nodiscard]] bool hasPair(const MergedEvent &event) const
    {
        return detailValue(event.event.note.detail, m_key) == std::string_view(m_value);
    }

    std::string_view m_key;
    std::string m_value;
    std::unordered_set<RequestId> m_roots;
};

/// Builds a timeline from selected events of another and remaps the indexes of processes and causes.
class SubsetBuilder
{
public:
    explicit SubsetBuilder(const MergedTimeline &source)
        : m_source(source)
        , m_newIndexes(source.events.size())
        , m_newProcessIndexes(source.processes.size())
    {
    }

    void add(std::size_t index)
    {
        MergedEvent event = m_source.events[index];
        event.process = remapProcess(event.process);
        event.cause = event.cause ? m_newIndexes[*event.cause] : std::nullopt;
        m_newIndexes[index] = m_subset.events.size();
        m_subset.events.push_back(std::move(event));
    }

    MergedTimeline take()
    {
        return std::move(m_subset);
    }

private:
    std::size_t remapProcess(std::size_t process)
    {
        if (!m_newProcessIndexes[process]) {
            m_newProcessIndexes[process] = m_subset.processes.size();
            m_subset.processes.push_back(m_source.processes[process]);
        }
        return *m_newProcessIndexes[process];
    }

    const MergedTimeline &m_source;
    std::vector<std::optional<std::size_t>> m_newIndexes;
    std::vector<std::optional<std::size_t>> m_newProcessIndexes;
    MergedTimeline m_subset;
};
} // namespace

MergedTimeline TimelineFilter::apply(const MergedTimeline &timeline) const
{
    std::optional<DetailMatcher> organisationMatcher;
    std::optional<DetailMatcher> serviceMatcher;
    if (organisation) {
        organisationMatcher.emplace(timeline, "organisation", organisation->text());
    }
    if (service) {
        serviceMatcher.emplace(timeline, "service", service->text());
    }
    SubsetBuilder subset(timeline);
    for (std::size_t i = 0; i < timeline.events.size(); ++i) {
        const MergedEvent &it = timeline.events[i];
        const bool matchesTime = (!from || it.time >= *from) && (!until || it.time < *until);
        const bool matchesRoot = !root || it.event.note.root == root;
        const bool matchesNode = !node || it.event.node == *node;
        const bool matchesDetail = (!organisationMatcher || organisationMatcher->matches(it)) && (!serviceMatcher || serviceMatcher->matches(it));
        if (matchesTime && matchesRoot && matchesNode && matchesDetail) {
            subset.add(i);
        }
    }
    return subset.take();
}

} // namespace banyankeel
