#include "ctl/configurationclient.h"

#include "coordination/configuration/configurationloader.h"
#include "coordination/configuration/snapshotoperation.h"
#include "ctl/ctlerror.h"
#include "state/configurationcheck.h"

namespace banyankeel
{

namespace
{
constexpr std::uint32_t HistoryPageRows = 500;

std::vector<std::string> describeFaults(const ConfigurationSet &set)
{
    std::vector<std::string> texts;
    for (const ConfigurationFault &fault : checkConfiguration(set)) {
        texts.push_back(fault.text());
    }
    return texts;
}
} // namespace

ConfigurationClient::ConfigurationClient(StoreCall send)
    : m_send(std::move(send))
{
}

ConfigurationSet ConfigurationClient::load()
{
    ConfigurationLoader load({}, SetDigest{});
    ConfigurationLoader::Step step = load.advance(m_send(load.firstRequest()));
    while (step == ConfigurationLoader::Step::Continue) {
        step = load.advance(m_send(load.nextRequest()));
    }
    if (step == ConfigurationLoader::Step::Failed) {
        throw CtlError(ExitStatus::Unavailable, "configuration could not be read from the store: " + load.failure());
    }
    return load.set();
}

RowsRead ConfigurationClient::readHistoryPage(Revision after)
{
    const StoreReply reply = m_send(historyRequest(after, HistoryPageRows));
    if (const auto *rows = std::get_if<RowsRead>(&reply)) {
        return *rows;
    }
    const auto *failure = std::get_if<StoreFailure>(&reply);
    throw CtlError(ExitStatus::Unavailable, "history could not be read from the store: " + (failure == nullptr ? "unexpected reply" : failure->detail));
}

std::vector<ChangeRow> ConfigurationClient::history(std::size_t limit)
{
    std::vector<ChangeRow> latest;
    Revision after = 0;
    while (true) {
        std::vector<ChangeRow> rows = decodeHistory(readHistoryPage(after));
        if (rows.empty()) {
            return latest;
        }
        after = rows.back().revision;
        latest.insert(latest.end(), std::make_move_iterator(rows.begin()), std::make_move_iterator(rows.end()));
        if (latest.size() > limit) {
            latest.erase(latest.begin(), latest.end() - static_cast<std::ptrdiff_t>(limit));
        }
    }
}

std::optional<ChangeRow> ConfigurationClient::findOperation(const OperationId &operation)
{
    Revision after = 0;
    while (true) {
        const std::vector<ChangeRow> rows = decodeHistory(readHistoryPage(after));
        if (rows.empty()) {
            return std::nullopt;
        }
        for (const ChangeRow &row : rows) {
            if (row.operation == operation) {
                return row;
            }
        }
        after = rows.back().revision;
    }
}

PublishOutcome ConfigurationClient::publish(const PublishSettings &settings, const ConfigurationSet &edited, const ConfigurationChange &change)
{
    PublishOperation operation(settings, edited, change, describeFaults);
    std::optional<StoreRequest> request = operation.start();
    while (request) {
        request = operation.advance(m_send(*request));
    }
    if (std::holds_alternative<PublishAccepted>(operation.outcome())) {
        writeSnapshot(operation);
    }
    return operation.outcome();
}

/// Failures are ignored: the next publish writes the snapshot that is due.
void ConfigurationClient::writeSnapshot(const PublishOperation &operation)
{
    SnapshotOperation snapshot({}, operation.set(), operation.digest());
    std::optional<StoreRequest> request = snapshot.start();
    while (request) {
        request = snapshot.advance(m_send(*request));
    }
}

} // namespace banyankeel
