#include "ctl/ctlcontext.h"

#include "ctl/ctlerror.h"
#include "transport/storeclient.h"

#include <future>

namespace banyankeel
{

namespace
{
constexpr std::size_t StoreConnections = 4;
// Upper bound for a snapshot of the largest configuration.
constexpr std::size_t MaxStoreResponseBytes = std::size_t{256} * 1024 * 1024;
} // namespace

CtlContext::CtlContext(CtlSettings settings, CtlOutput &output, RandomSource secureRandom)
    : m_settings(std::move(settings))
    , m_output(output)
    , m_secureRandom(std::move(secureRandom))
{
}

CtlContext::~CtlContext() = default;

ConfigurationClient &CtlContext::configuration()
{
    if (m_configuration) {
        return *m_configuration;
    }
    if (!m_settings.store) {
        throw CtlError(ExitStatus::UsageError, "settings: field store: found nothing, allowed: address and token of the store");
    }
    const CtlStoreSettings &store = *m_settings.store;
    m_storeHttp = std::make_unique<HttpClient>(HttpClientSettings{.maxConnections = StoreConnections, .maxBodyBytes = MaxStoreResponseBytes});
    m_store = std::make_unique<StoreClient>(StoreClientSettings{.store = store.address, .token = store.token, .timeLimit = store.timeLimit}, *m_storeHttp);
    m_configuration = std::make_unique<ConfigurationClient>([this](const StoreRequest &request) { return sendToStore(request); });
    return *m_configuration;
}

StoreReply CtlContext::sendToStore(const StoreRequest &request)
{
    auto promise = std::make_shared<std::promise<StoreReply>>();
    std::future<StoreReply> future = promise->get_future();
    m_store->send(request, [promise](StoreReply reply) { promise->set_value(std::move(reply)); });
    return future.get();
}

OperatorClient &CtlContext::operatorClient()
{
    if (!m_operatorClient) {
        m_operatorClient = std::make_unique<OperatorClient>(m_settings.operatorToken, m_settings.nodeTimeLimit);
    }
    return *m_operatorClient;
}

FleetView &CtlContext::fleet()
{
    if (!m_fleet) {
        m_fleet = std::make_unique<FleetView>(m_settings, [this](const std::vector<Endpoint> &addresses, const std::string &method, const std::string &target) {
            return operatorClient().sendAll(addresses, method, target);
        });
    }
    return *m_fleet;
}

Publisher &CtlContext::publisher()
{
    if (!m_publisher) {
        FleetView *fleetView = m_settings.nodes.empty() ? nullptr : &fleet();
        m_publisher = std::make_unique<Publisher>(configuration(), fleetView, m_output, CtlClock::system());
    }
    return *m_publisher;
}

} // namespace banyankeel
