#include "coordination/feed/configurationfeed.h"

#include "state/errors.h"

#include <algorithm>
#include <utility>

namespace banyankeel
{

ConfigurationFeed::ConfigurationFeed(ConfigurationFeedSettings settings, ConfigurationFeedHooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
{
}

void ConfigurationFeed::start()
{
    if (m_isStopped || std::exchange(m_isStarted, true)) {
        return;
    }
    if (m_current) {
        followOrPause();
    } else {
        readRow();
    }
}

void ConfigurationFeed::stop()
{
    m_isStopped = true;
}

void ConfigurationFeed::readRow()
{
    m_askedAt = m_hooks.now();
    const ListRows request{.table = m_settings.row.table, .prefix = m_settings.row.key, .after = {}, .limit = 1};
    m_hooks.ask(request, [this](const StoreReply &reply) { handleReply(reply); });
}

void ConfigurationFeed::handleReply(const StoreReply &reply)
{
    if (m_isStopped) {
        return;
    }
    const auto *read = std::get_if<RowsRead>(&reply);
    if (read == nullptr) {
        const auto *failure = std::get_if<StoreFailure>(&reply);
        handleFailure(failure == nullptr ? "unexpected reply type" : failure->detail, &ConfigurationFeed::readRow);
        return;
    }
    handleSuccess();
    m_lastVersion = read->newest;
    applyRows(read->rows);
    verify(m_askedAt);
    followOrPause();
}

void ConfigurationFeed::follow()
{
    m_askedAt = m_hooks.now();
    m_waiting = m_settings.wait;
    m_hooks.follow({.table = m_settings.row.table, .after = m_lastVersion, .wait = m_settings.wait}, [this](const FollowReply &reply) { handleReply(reply); });
}

void ConfigurationFeed::followOrPause()
{
    if (m_isFollowing) {
        follow();
    } else {
        m_isPaused = true;
    }
}

void ConfigurationFeed::setFollowing(bool isFollowing)
{
    m_isFollowing = isFollowing;
    if (m_isFollowing && !m_isStopped && std::exchange(m_isPaused, false)) {
        follow();
    }
}

void ConfigurationFeed::handleReply(const FollowReply &reply)
{
    if (m_isStopped) {
        return;
    }
    if (const auto *changed = std::get_if<RowsChanged>(&reply)) {
        handleSuccess();
        m_lastVersion = std::max(m_lastVersion, changed->newest);
        applyRows(changed->rows);
        // Without a change the store has answered at the end of the wait.
        verify(changed->rows.empty() ? std::min(m_hooks.now(), m_askedAt + m_waiting) : m_askedAt);
        followOrPause();
    } else if (std::holds_alternative<HistoryLost>(reply)) {
        m_hooks.reportProblem("configuration-history-lost", "reading the table again");
        readRow();
    } else {
        handleFailure(std::get<StoreFailure>(reply).detail, &ConfigurationFeed::follow);
    }
}

void ConfigurationFeed::applyRows(const std::vector<Row> &rows)
{
    for (const Row &it : rows) {
        if (it.key == m_settings.row) {
            handleDocument({it.value, it.version}, StoreSource);
        }
    }
}

void ConfigurationFeed::handleDocument(const ConfigurationDocument &document, std::string_view source)
{
    if (m_isStopped || (m_current && document.text == m_document.text)) {
        return;
    }
    MeshConfigurationPointer found;
    try {
        found = m_hooks.decode(document.text);
    } catch (const Error &it) {
        // The last valid configuration stays in force.
        m_hooks.reportProblem("configuration-unreadable", it.what());
        return;
    }
    if (m_current && found->version() <= m_current->version()) {
        return;
    }
    m_current = std::move(found);
    m_document = document;
    // The store need not send this document again.
    m_lastVersion = std::max(m_lastVersion, document.rowVersion);
    m_hooks.changed(m_current, source);
}

void ConfigurationFeed::handleFailure(const std::string &detail, void (ConfigurationFeed::*next)())
{
    if (m_consecutiveFailures == 0) {
        m_hooks.reportProblem("store-lost", detail);
    }
    const auto doublings = std::min<std::uint32_t>(m_consecutiveFailures, 8);
    ++m_consecutiveFailures;
    const Duration delay = std::min(m_settings.maxRetryDelay, m_settings.minRetryDelay * (std::int64_t{1} << doublings));
    m_hooks.runAfter(delay, [this, next] {
        if (!m_isStopped) {
            (this->*next)();
        }
    });
}

void ConfigurationFeed::verify(TimePoint at)
{
    m_verifiedAt = std::max(m_verifiedAt, at);
}

void ConfigurationFeed::recordVerification(ConfigurationVersion newest, TimePoint at)
{
    if (m_current && version() >= newest) {
        verify(at);
    }
}

void ConfigurationFeed::handleSuccess()
{
    if (std::exchange(m_consecutiveFailures, 0) > 0) {
        m_hooks.storeRegained();
    }
}

} // namespace banyankeel
