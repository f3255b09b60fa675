#include "coordination/overload/fairqueue.h"

#include "state/errors.h"

#include <algorithm>
#include <string>

namespace banyankeel
{

namespace
{
constexpr double CostSmoothingFactor = 0.05;
/// Assumed cost of a request until one has been measured.
constexpr double DefaultCostSeconds = 0.01;
constexpr std::uint32_t FlowsPerSweep = 64;
} // namespace

std::size_t FairQueue::FlowHash::operator()(const FlowKeyView &it) const
{
    constexpr std::size_t LevelStride = 0x9E3779B97F4A7C15ULL;
    return std::hash<OrganisationId>{}(it.organisation) + static_cast<std::size_t>(it.level) * LevelStride;
}

std::size_t FairQueue::FlowHash::operator()(const FlowKey &it) const
{
    return (*this)(FlowKeyView{it.organisation, it.level});
}

bool FairQueue::FlowEqual::operator()(const FlowKey &left, const FlowKey &right) const
{
    return left.level == right.level && left.organisation == right.organisation;
}

bool FairQueue::FlowEqual::operator()(const FlowKeyView &left, const FlowKey &right) const
{
    return left.level == right.level && left.organisation == right.organisation;
}

bool FairQueue::FlowEqual::operator()(const FlowKey &left, const FlowKeyView &right) const
{
    return left.level == right.level && left.organisation == right.organisation;
}

bool FairQueue::ServedFirst::operator()(const Rank &left, const Rank &right) const
{
    return left.level != right.level ? left.level < right.level : left.tag < right.tag;
}

bool FairQueue::ShedFirst::operator()(const Rank &left, const Rank &right) const
{
    return left.level != right.level ? left.level > right.level : left.tag > right.tag;
}

FairQueue::FairQueue(QueueOrder order, ShedChoice choice, std::size_t entries, std::size_t maxFlows)
    : m_order(order)
    , m_shedChoice(choice)
    , m_maxFlows(maxFlows)
    , m_entries(entries)
{
    if (maxFlows <= entries) {
        throw ValueError("fair queue: maximum number of flows is " + std::to_string(maxFlows) + ", more than " + std::to_string(entries) + " required");
    }
}

std::optional<FlowIndex> FairQueue::findFlow(const OrganisationId &organisation, PriorityLevel level) const
{
    const auto it = m_index.find(FlowKeyView{organisation, level});
    return it == m_index.end() ? std::nullopt : std::optional(it->second);
}

FlowIndex FairQueue::flowOf(const OrganisationId &organisation, PriorityLevel level, std::uint16_t weight, TimePoint now)
{
    std::optional<FlowIndex> found = findFlow(organisation, level);
    if (!found) {
        if (m_index.size() >= m_maxFlows) {
            evictIdleFlow();
        }
        found = makeFlow(organisation, level);
    }
    m_flows[*found].weight = std::max<double>(weight, 1);
    m_flows[*found].lastSeen = now;
    return *found;
}

void FairQueue::evictIdleFlow()
{
    // There are more flows than entries, so at least one of them is idle.
    do {
        m_sweepPosition = (m_sweepPosition + 1) % static_cast<std::uint32_t>(m_flows.size());
    } while (!isIdle(m_flows[m_sweepPosition]));
    dropFlow(m_sweepPosition);
}

FlowIndex FairQueue::makeFlow(const OrganisationId &organisation, PriorityLevel level)
{
    if (m_freeFlows.empty()) {
        m_freeFlows.push_back(static_cast<FlowIndex>(m_flows.size()));
        m_flows.emplace_back();
        m_serviceOrder.reserve(m_flows.size());
        m_shedOrder.reserve(m_flows.size());
    }
    const FlowIndex flow = m_freeFlows.back();
    m_freeFlows.pop_back();
    m_flows[flow] = Flow{};
    m_flows[flow].key = FlowKey{organisation, level};
    m_flows[flow].startTag = m_virtualTime[static_cast<std::uint8_t>(level)];
    m_index.emplace(FlowKey{organisation, level}, flow);
    return flow;
}

bool FairQueue::isIdle(const Flow &flow) const
{
    return flow.key && flow.waiting == 0 && flow.running == 0;
}

void FairQueue::dropFlow(FlowIndex flow)
{
    m_index.erase(m_index.find(FlowKeyView{m_flows[flow].key->organisation, m_flows[flow].key->level}));
    m_flows[flow].key.reset();
    m_freeFlows.push_back(flow);
}

void FairQueue::dropIdle(TimePoint before)
{
    const std::uint32_t n = std::min<std::uint32_t>(FlowsPerSweep, static_cast<std::uint32_t>(m_flows.size()));
    for (std::uint32_t i = 0; i < n; ++i) {
        m_sweepPosition = (m_sweepPosition + 1) % static_cast<std::uint32_t>(m_flows.size());
        const Flow &flow = m_flows[m_sweepPosition];
        if (isIdle(flow) && flow.lastSeen < before) {
            dropFlow(m_sweepPosition);
        }
    }
}

FlowShare &FairQueue::share(FlowIndex flow)
{
    return m_flows[flow].share;
}

const FlowShare &FairQueue::share(FlowIndex flow) const
{
    return m_flows[flow].share;
}

double FairQueue::expectedCost(const Flow &flow) const
{
    if (flow.cost > 0) {
        return flow.cost;
    }
    return m_meanCost > 0 ? m_meanCost : DefaultCostSeconds;
}

std::uint8_t FairQueue::levelOf(const Flow &flow) const
{
    return static_cast<std::uint8_t>(flow.key->level);
}

void FairQueue::reorder(FlowIndex index)
{
    const Flow &flow = m_flows[index];
    if (flow.waiting == 0) {
        m_serviceOrder.erase(index);
        m_shedOrder.erase(index);
        return;
    }
    const double lastTag = flow.startTag + flow.waiting * expectedCost(flow) / flow.weight;
    m_serviceOrder.update(index, {levelOf(flow), flow.startTag});
    m_shedOrder.update(index, {levelOf(flow), lastTag});
}

void FairQueue::link(EntryIndex index)
{
    Entry &entry = m_entries[index];
    Flow &flow = m_flows[entry.flow];
    entry.inFlow = {flow.last, None};
    (flow.last == None ? flow.first : m_entries[flow.last].inFlow.next) = index;
    flow.last = index;
    entry.byAge = {m_newest, None};
    (m_newest == None ? m_oldest : m_entries[m_newest].byAge.next) = index;
    m_newest = index;
    ++flow.waiting;
    ++m_size;
}

void FairQueue::unlink(EntryIndex index)
{
    const Entry entry = m_entries[index];
    Flow &flow = m_flows[entry.flow];
    (entry.inFlow.previous == None ? flow.first : m_entries[entry.inFlow.previous].inFlow.next) = entry.inFlow.next;
    (entry.inFlow.next == None ? flow.last : m_entries[entry.inFlow.next].inFlow.previous) = entry.inFlow.previous;
    (entry.byAge.previous == None ? m_oldest : m_entries[entry.byAge.previous].byAge.next) = entry.byAge.next;
    (entry.byAge.next == None ? m_newest : m_entries[entry.byAge.next].byAge.previous) = entry.byAge.previous;
    --flow.waiting;
    --m_size;
}

void FairQueue::push(EntryIndex entry, FlowIndex index, std::uint64_t rootHash, TimePoint now)
{
    Flow &flow = m_flows[index];
    if (flow.waiting == 0) {
        // A flow earns no credit while it has nothing queued.
        flow.startTag = std::max(flow.startTag, m_virtualTime[levelOf(flow)]);
    }
    m_entries[entry].rootHash = rootHash;
    m_entries[entry].enqueuedAt = now;
    m_entries[entry].flow = index;
    link(entry);
    reorder(index);
}

std::optional<EntryIndex> FairQueue::popNext()
{
    if (m_serviceOrder.isEmpty()) {
        return std::nullopt;
    }
    const FlowIndex index = m_serviceOrder.top();
    Flow &flow = m_flows[index];
    const EntryIndex entry = m_order == QueueOrder::OldestFirst ? flow.first : flow.last;
    double &virtualTime = m_virtualTime[levelOf(flow)];
    virtualTime = std::max(virtualTime, flow.startTag);
    m_entries[entry].charge = expectedCost(flow);
    flow.startTag += m_entries[entry].charge / flow.weight;
    ++flow.running;
    unlink(entry);
    reorder(index);
    return entry;
}

EntryIndex FairQueue::nextToShed(const Flow &flow) const
{
    if (m_shedChoice == ShedChoice::Newest) {
        return flow.last;
    }
    EntryIndex candidate = flow.last;
    for (EntryIndex it = m_entries[candidate].inFlow.previous; it != None; it = m_entries[it].inFlow.previous) {
        if (m_entries[it].rootHash > m_entries[candidate].rootHash) {
            candidate = it;
        }
    }
    return candidate;
}

std::optional<EntryIndex> FairQueue::popNextToShed()
{
    if (m_shedOrder.isEmpty()) {
        return std::nullopt;
    }
    const EntryIndex candidate = nextToShed(m_flows[m_shedOrder.top()]);
    remove(candidate);
    return candidate;
}

void FairQueue::remove(EntryIndex entry)
{
    unlink(entry);
    reorder(m_entries[entry].flow);
}

void FairQueue::adjust(EntryIndex entry, double seconds)
{
    Flow &flow = m_flows[m_entries[entry].flow];
    flow.startTag = std::max(0.0, flow.startTag + seconds / flow.weight);
    --flow.running;
    reorder(m_entries[entry].flow);
}

void FairQueue::refund(EntryIndex entry)
{
    adjust(entry, -m_entries[entry].charge);
}

void FairQueue::settle(EntryIndex entry, Duration cost)
{
    Flow &flow = m_flows[m_entries[entry].flow];
    const double found = std::max(0.0, std::chrono::duration<double>(cost).count());
    flow.cost = expectedCost(flow) + CostSmoothingFactor * (found - expectedCost(flow));
    m_meanCost = m_meanCost > 0 ? m_meanCost + CostSmoothingFactor * (found - m_meanCost) : found;
    adjust(entry, found - m_entries[entry].charge);
}

std::optional<TimePoint> FairQueue::oldestEnqueuedAt() const
{
    return m_oldest == None ? std::nullopt : std::optional(m_entries[m_oldest].enqueuedAt);
}

std::size_t FairQueue::bytesPerFlow()
{
    constexpr std::size_t HeapNodeBytes = 2 * (sizeof(Rank) + 2 * sizeof(std::uint32_t));
    constexpr std::size_t MapNodeBytes = sizeof(FlowKey) + sizeof(FlowIndex) + 4 * sizeof(void *);
    return sizeof(Flow) + HeapNodeBytes + MapNodeBytes;
}

std::size_t FairQueue::bytesPerEntry()
{
    return sizeof(Entry);
}

} // namespace banyankeel
