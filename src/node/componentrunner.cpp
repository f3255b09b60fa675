#include "node/componentrunner.h"

#include "state/errors.h"

#include <algorithm>

namespace banyankeel
{

namespace
{
bool canHandle(const Component &component, MessageType type)
{
    return std::find(component.handledTypes.begin(), component.handledTypes.end(), type) != component.handledTypes.end();
}
} // namespace

ComponentRunner::ComponentRunner(ComponentRunnerHooks hooks)
    : m_hooks(std::move(hooks))
{
}

void ComponentRunner::add(Component component)
{
    m_components.push_back(std::move(component));
}

void ComponentRunner::start()
{
    tickPeriodically();
}

void ComponentRunner::stop()
{
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
}

bool ComponentRunner::handles(MessageType type) const
{
    return std::any_of(m_components.begin(), m_components.end(), [type](const Component &it) { return canHandle(it, type); });
}

void ComponentRunner::receive(const Peer &from, const Envelope &envelope)
{
    for (std::size_t i = 0; i < m_components.size(); ++i) {
        if (!canHandle(m_components[i], envelope.type)) {
            continue;
        }
        try {
            runStep(i, [this, i, &from, &envelope](TimePoint now, Outbox &out) { m_components[i].receive(from, envelope, now, out); });
        } catch (const Error &e) {
            m_hooks.reportMalformed(from, e.what());
        }
    }
}

void ComponentRunner::runStep(std::size_t index, const std::function<void(TimePoint, Outbox &)> &action)
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

void ComponentRunner::tick(std::size_t index)
{
    runStep(index, [this, index](TimePoint now, Outbox &out) { m_components[index].tick(now, out); });
}

void ComponentRunner::tickPeriodically()
{
    for (std::size_t i = 0; i < m_components.size(); ++i) {
        tick(i);
    }
    m_hooks.runAt(m_hooks.now() + TickInterval, [this] { tickPeriodically(); });
}

void ComponentRunner::execute(std::size_t index, const Outbox &out)
{
    for (const TimelineNote &note : out.notes()) {
        m_hooks.record(note);
    }
    for (const OutgoingMessage &message : out.messages()) {
        m_hooks.send(message.to, message.envelope);
    }
    for (const StoreCall &call : out.storeCalls()) {
        m_hooks.sendStoreRequest(call.request, [this, index, ticket = call.ticket](const StoreReply &reply) {
            runStep(index, [this, index, ticket, &reply](TimePoint now, Outbox &next) { m_components[index].storeReplied(ticket, reply, now, next); });
        });
    }
    if (out.wakeAt()) {
        m_hooks.runAt(*out.wakeAt(), [this, index] { tick(index); });
    }
}

} // namespace banyankeel
