#include "testing/schedulerunner.h"

#include "state/errors.h"

#include <algorithm>

namespace banyankeel::testing
{

ScheduleRunner::ScheduleRunner(std::uint64_t seed, ScheduleFaults faults)
    : m_random(seededRandom(seed))
    , m_faults(faults)
{
}

void ScheduleRunner::addNode(const Peer &peer, std::vector<Component> parts, double clockRate)
{
    const std::uint64_t life = ++m_lives;
    const std::size_t partCount = parts.size();
    m_nodesByEndpoint.insert_or_assign(peer.endpoint, peer.node);
    m_nodes.insert_or_assign(peer.node, Node{.peer = peer, .parts = std::move(parts), .clockRate = clockRate, .life = life, .waiting = {}});
    for (std::size_t i = 0; i < partCount; ++i) {
        // Nodes do not tick in step.
        const auto offset = static_cast<std::int64_t>(uniformBelow(m_random, static_cast<std::uint64_t>(TickInterval.count())));
        scheduleTick(peer.node, life, i, m_now + Duration(offset), true);
    }
}

void ScheduleRunner::removeNode(const NodeId &node)
{
    m_nodes.erase(node);
}

void ScheduleRunner::pause(const NodeId &node, bool isPaused)
{
    const auto it = m_nodes.find(node);
    if (it == m_nodes.end()) {
        return;
    }
    it->second.isPaused = isPaused;
    if (!isPaused) {
        const auto waiting = std::exchange(it->second.waiting, {});
        for (const auto &step : waiting) {
            schedule(m_now, step);
        }
    }
}

void ScheduleRunner::cut(const NodeId &left, const NodeId &right, bool isCut)
{
    for (const auto &link : {std::pair(left, right), std::pair(right, left)}) {
        if (isCut) {
            m_cuts.insert(link);
        } else {
            m_cuts.erase(link);
        }
    }
}

void ScheduleRunner::setExtraDelay(const NodeId &left, const NodeId &right, Duration delay)
{
    m_extraDelays[{left, right}] = delay;
    m_extraDelays[{right, left}] = delay;
}

void ScheduleRunner::setStoreDown(bool isDown)
{
    m_isStoreDown = isDown;
}

void ScheduleRunner::setStoreReach(const NodeId &node, bool isReachable)
{
    const auto it = m_nodes.find(node);
    if (it != m_nodes.end()) {
        it->second.reachesStore = isReachable;
    }
}

void ScheduleRunner::setFaults(const ScheduleFaults &faults)
{
    m_faults = faults;
}

void ScheduleRunner::setLatency(std::function<Duration(const Peer &, const Peer &)> latency)
{
    m_latency = std::move(latency);
}

void ScheduleRunner::runUntil(TimePoint end, const std::function<void()> &afterEach)
{
    while (!m_steps.empty() && m_steps.begin()->first.first <= end) {
        auto first = m_steps.extract(m_steps.begin());
        m_now = std::max(m_now, first.key().first);
        first.mapped()();
        afterEach();
    }
    m_now = end;
}

void ScheduleRunner::act(const NodeId &node, const std::function<void(TimePoint, Outbox &)> &action, std::size_t partIndex)
{
    const auto it = m_nodes.find(node);
    if (it == m_nodes.end() || it->second.isPaused) {
        return;
    }
    Outbox out;
    action(localNow(node), out);
    carryOut(it->second, partIndex, out);
}

TimePoint ScheduleRunner::localNow(const NodeId &node) const
{
    const auto it = m_nodes.find(node);
    const double rate = it == m_nodes.end() ? 1.0 : it->second.clockRate;
    const auto elapsed = static_cast<double>(m_now.time_since_epoch().count());
    return TimePoint(Duration(static_cast<std::int64_t>(elapsed * rate)));
}

void ScheduleRunner::schedule(TimePoint time, std::function<void()> step)
{
    m_steps.emplace(std::pair(time, ++m_sequence), std::move(step));
}

void ScheduleRunner::runOnNode(const NodeId &node, std::uint64_t life, const std::function<void(Node &)> &step)
{
    const auto it = m_nodes.find(node);
    if (it == m_nodes.end() || it->second.life != life) {
        return;
    }
    if (it->second.isPaused) {
        it->second.waiting.push_back([this, node, life, step] { runOnNode(node, life, step); });
        return;
    }
    step(it->second);
}

void ScheduleRunner::scheduleTick(const NodeId &node, std::uint64_t life, std::size_t partIndex, TimePoint time, bool isRegular)
{
    schedule(time, [this, node, life, partIndex, isRegular] {
        runOnNode(node, life, [this, node, life, partIndex, isRegular](Node &it) {
            Outbox out;
            it.parts[partIndex].tick(localNow(node), out);
            carryOut(it, partIndex, out);
            if (isRegular) {
                scheduleTick(node, life, partIndex, m_now + TickInterval, true);
            }
        });
    });
}

void ScheduleRunner::carryOut(Node &node, std::size_t partIndex, const Outbox &out)
{
    for (const OutgoingMessage &message : out.messages()) {
        if (happens(m_faults.lossPerMille)) {
            continue;
        }
        deliver(node.peer, message);
        if (happens(m_faults.duplicatePerMille)) {
            deliver(node.peer, message);
        }
    }
    for (const StoreCall &call : out.storeCalls()) {
        callStore(node, partIndex, call);
    }
    if (out.wakeAt()) {
        const Duration wait = std::max(Duration(0), *out.wakeAt() - localNow(node.peer.node));
        const auto scaled = static_cast<std::int64_t>(static_cast<double>(wait.count()) / node.clockRate);
        scheduleTick(node.peer.node, node.life, partIndex, m_now + Duration(scaled + 1), false);
    }
}

void ScheduleRunner::deliver(const Peer &from, const OutgoingMessage &message)
{
    const Node *target = find(message.to);
    if (target == nullptr) {
        return;
    }
    const auto extra = m_extraDelays.find({from.node, target->peer.node});
    const Duration latency = m_latency ? m_latency(from, target->peer) : Duration::zero();
    const Duration delay = latency + randomDelay() + (extra == m_extraDelays.end() ? Duration(0) : extra->second);
    schedule(m_now + delay, [this, from, node = target->peer.node, life = target->life, envelope = message.envelope] {
        if (m_cuts.count({from.node, node}) != 0) {
            return;
        }
        runOnNode(node, life, [this, from, node, envelope](Node &it) {
            ++m_deliveredMessages;
            m_deliveredBytes += envelope.payload.size();
            for (std::size_t i = 0; i < it.parts.size(); ++i) {
                const auto &handles = it.parts[i].handledTypes;
                if (std::find(handles.begin(), handles.end(), envelope.type) == handles.end()) {
                    continue;
                }
                Outbox out;
                it.parts[i].receive(from, envelope, localNow(node), out);
                carryOut(it, i, out);
            }
        });
    });
}

void ScheduleRunner::callStore(Node &node, std::size_t partIndex, const StoreCall &call)
{
    const NodeId id = node.peer.node;
    const std::uint64_t life = node.life;
    const bool losesRequest = happens(m_faults.storeRequestLossPerMille);
    const bool losesReply = happens(m_faults.storeReplyLossPerMille);
    const Duration replyDelay = randomDelay();

    const auto reply = [this, id, life, partIndex, ticket = call.ticket](TimePoint time, StoreReply value) {
        schedule(time, [this, id, life, partIndex, ticket, value = std::move(value)] {
            runOnNode(id, life, [this, id, partIndex, ticket, value](Node &it) {
                Outbox out;
                it.parts[partIndex].storeReplied(ticket, value, localNow(id), out);
                carryOut(it, partIndex, out);
            });
        });
    };

    const TimePoint timeLimit = m_now + m_faults.storeTimeLimit;
    schedule(m_now + randomDelay(), [this, id, life, request = call.request, losesRequest, losesReply, replyDelay, reply, timeLimit] {
        const auto it = m_nodes.find(id);
        const bool isReachable = it != m_nodes.end() && it->second.life == life && it->second.reachesStore;
        if (m_isStoreDown || losesRequest || !isReachable) {
            reply(timeLimit, StoreFailure{RunState::MayHaveRun, "time limit"});
            return;
        }
        StoreReply value = m_store.apply(request);
        if (losesReply) {
            reply(timeLimit, StoreFailure{RunState::MayHaveRun, "time limit"});
            return;
        }
        reply(m_now + replyDelay, std::move(value));
    });
}

Duration ScheduleRunner::randomDelay()
{
    const auto span = static_cast<std::uint64_t>((m_faults.longestDelay - m_faults.shortestDelay).count()) + 1;
    return m_faults.shortestDelay + Duration(static_cast<std::int64_t>(uniformBelow(m_random, span)));
}

bool ScheduleRunner::happens(unsigned perMille)
{
    constexpr std::uint64_t Thousand = 1000;
    return perMille != 0 && uniformBelow(m_random, Thousand) < perMille;
}

ScheduleRunner::Node *ScheduleRunner::find(const Endpoint &endpoint)
{
    const auto name = m_nodesByEndpoint.find(endpoint);
    const auto it = name == m_nodesByEndpoint.end() ? m_nodes.end() : m_nodes.find(name->second);
    // The node may be gone, or be found at another address since.
    return it == m_nodes.end() || it->second.peer.endpoint != endpoint ? nullptr : &it->second;
}

} // namespace banyankeel::testing
