#include "node/partrunner.h"

#include "state/errors.h"

#include <algorithm>

namespace banyankeel
{

namespace
{
bool partHandles(const Component &part, MessageType type)
{
    return std::find(part.handledTypes.begin(), part.handledTypes.end(), type) != part.handledTypes.end();
}
} // namespace

PartRunner::PartRunner(PartRunnerHooks hooks)
    : m_hooks(std::move(hooks))
{
}

void PartRunner::add(Component part)
{
    m_parts.push_back(std::move(part));
}

void PartRunner::start()
{
    tickPeriodically();
}

void PartRunner::stop()
{
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
}

bool PartRunner::handles(MessageType type) const
{
    return std::any_of(m_parts.begin(), m_parts.end(), [type](const Component &it) { return partHandles(it, type); });
}

void PartRunner::receive(const Peer &from, const Envelope &envelope)
{
    for (std::size_t i = 0; i < m_parts.size(); ++i) {
        if (!partHandles(m_parts[i], envelope.type)) {
            continue;
        }
        try {
            runStep(i, [this, i, &from, &envelope](TimePoint now, Outbox &out) { m_parts[i].receive(from, envelope, now, out); });
        } catch (const Error &e) {
            m_hooks.reportMalformed(from, e.what());
        }
    }
}

void PartRunner::runStep(std::size_t index, const std::function<void(TimePoint, Outbox &)> &action)
{
    Outbox out;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped) {
            return;
        }
        action(m_hooks.now(), out);
    }
    execute(index, out);
}

void PartRunner::tick(std::size_t index)
{
    runStep(index, [this, index](TimePoint now, Outbox &out) { m_parts[index].tick(now, out); });
}

void PartRunner::tickPeriodically()
{
    for (std::size_t i = 0; i < m_parts.size(); ++i) {
        tick(i);
    }
    m_hooks.runAt(m_hooks.now() + TickInterval, [this] { tickPeriodically(); });
}

void PartRunner::execute(std::size_t index, const Outbox &out)
{
    for (const TimelineNote &note : out.notes()) {
        m_hooks.record(note);
    }
    for (const OutgoingMessage &message : out.messages()) {
        m_hooks.send(message.to, message.envelope);
    }
    for (const StoreCall &call : out.storeCalls()) {
        m_hooks.sendStoreRequest(call.request, [this, index, ticket = call.ticket](const StoreReply &reply) {
            runStep(index, [this, index, ticket, &reply](TimePoint now, Outbox &next) { m_parts[index].storeReplied(ticket, reply, now, next); });
        });
    }
    if (out.wakeAt()) {
        m_hooks.runAt(*out.wakeAt(), [this, index] { tick(index); });
    }
}

} // namespace banyankeel
