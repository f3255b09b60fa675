#include "ctl/publisher.h"

#include "ctl/ctlerror.h"

#include <fmt/format.h>

#include <thread>

namespace banyankeel
{

namespace
{
using namespace std::chrono_literals;

constexpr Duration PollInterval = 200ms;

std::string joinNames(const std::vector<ObjectName> &objects)
{
    std::string text;
    for (const ObjectName &object : objects) {
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", nameOf(object.kind), object.name);
    }
    return text;
}

[[noreturn]] void throwFailure(const PublishConflict &conflict)
{
    std::string text =
        fmt::format("conflict: revision {} changed the same objects meanwhile: {}; nothing was published", conflict.revision, joinNames(conflict.objects));
    for (const std::string &other : conflict.others) {
        text += "\n  " + other;
    }
    throw CtlError(ExitStatus::Conflict, text + "\nreview `banyankeelctl diff FILE` and publish again");
}

[[noreturn]] void throwFailure(const PublishRefused &refused)
{
    std::string text = fmt::format("refused: the configuration would be invalid when applied to revision {}; nothing was published", refused.revision);
    for (const std::string &fault : refused.faults) {
        text += "\n  " + fault;
    }
    throw CtlError(ExitStatus::Invalid, text);
}

[[noreturn]] void throwFailure(const PublishUnknown &unknown)
{
    throw CtlError(ExitStatus::Unknown,
                   fmt::format("unknown: the store did not confirm whether the change was accepted ({})\n"
                               "to check:  banyankeelctl history --operation {}\n"
                               "to retry:  repeat the command with --operation {}; it is published at most once",
                               unknown.detail,
                               unknown.operation.text(),
                               unknown.operation.text()));
}

struct RolloutProgress {
    std::size_t nodes = 0;
    std::size_t active = 0;
    std::size_t unreachable = 0;

    friend auto operator<=>(const RolloutProgress &, const RolloutProgress &) = default;
};

RolloutProgress measureProgress(const std::vector<NodeView> &views, Revision revision)
{
    RolloutProgress progress;
    for (const NodeView &view : views) {
        if (!view.report) {
            ++progress.unreachable;
            continue;
        }
        ++progress.nodes;
        progress.active += view.report->revision >= revision ? 1 : 0;
    }
    return progress;
}
} // namespace

CtlClock CtlClock::system()
{
    return {
        .now = [] { return std::chrono::steady_clock::now(); },
        .wallNow = [] { return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now()); },
        .sleep = [](Duration duration) { std::this_thread::sleep_for(duration); },
    };
}

Publisher::Publisher(ConfigurationClient &client, FleetView *fleet, CtlOutput &output, CtlClock clock)
    : m_client(client)
    , m_fleet(fleet)
    , m_output(output)
    , m_clock(std::move(clock))
{
}

Revision Publisher::publish(const PublishOptions &options, const ConfigurationSet &current, const ConfigurationChange &change)
{
    if (options.expectedRevision && *options.expectedRevision != current.revision()) {
        throw CtlError(ExitStatus::Conflict,
                       fmt::format("conflict: revision {} is in force, not {}; nothing was published", current.revision(), *options.expectedRevision));
    }
    Revision revision = current.revision();
    if (const std::optional<ChangeRow> earlier = m_client.findOperation(options.operation)) {
        m_output.progress(fmt::format("operation {} was already accepted as revision {}", options.operation.text(), earlier->revision));
        revision = earlier->revision;
    } else if (change.put.empty() && change.removed.empty()) {
        m_output.progress(fmt::format("no changes to publish on revision {}", revision));
    } else {
        PublishSettings settings{.operation = options.operation, .author = options.author, .time = m_clock.wallNow()};
        settings.isRebased = !options.expectedRevision;
        revision = acceptedRevision(m_client.publish(settings, current, change), options.operation);
        m_output.progress(fmt::format("accepted as revision {} operation={}", revision, options.operation.text()));
    }
    if (options.wait && m_fleet != nullptr) {
        waitUntilActive(revision, options.waitTimeout);
    }
    return revision;
}

Revision Publisher::acceptedRevision(const PublishOutcome &outcome, const OperationId &operation) const
{
    if (const auto *it = std::get_if<PublishAccepted>(&outcome)) {
        return it->revision;
    }
    if (const auto *it = std::get_if<PublishConflict>(&outcome)) {
        throwFailure(*it);
    }
    if (const auto *it = std::get_if<PublishRefused>(&outcome)) {
        throwFailure(*it);
    }
    if (const auto *it = std::get_if<PublishUnknown>(&outcome)) {
        throwFailure(*it);
    }
    throw CtlError(ExitStatus::Unavailable,
                   fmt::format("store: {}; nothing was published by operation {}", std::get<PublishUnavailable>(outcome).detail, operation.text()));
}

void Publisher::waitUntilActive(Revision revision, Duration timeout)
{
    const TimePoint deadline = m_clock.now() + timeout;
    std::optional<RolloutProgress> lastProgress;
    while (true) {
        const RolloutProgress progress = measureProgress(m_fleet->queryNodes(), revision);
        if (lastProgress != progress) {
            m_output.progress(
                fmt::format("revision {} in force on {} of {} nodes, {} without answer", revision, progress.active, progress.nodes, progress.unreachable));
            lastProgress = progress;
        }
        if (progress.nodes > 0 && progress.active == progress.nodes) {
            return;
        }
        if (m_clock.now() >= deadline) {
            throw CtlError(ExitStatus::TimedOut,
                           fmt::format("revision {} was accepted and remains published, but is in force on only {} of {} nodes; see banyankeelctl status",
                                       revision,
                                       progress.active,
                                       progress.nodes));
        }
        m_clock.sleep(PollInterval);
    }
}

} // namespace banyankeel
