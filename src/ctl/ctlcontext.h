#pragma once

// State shared by the commands of banyankeelctl: settings, connections to the store and to nodes, and output.
//
//   CtlContext context(readCtlSettings(text, file), output, secureRandomNumber);
//   ConfigurationSet set = context.configuration().load();

#include "coordination/common/random.h"
#include "ctl/configurationclient.h"
#include "ctl/ctloutput.h"
#include "ctl/ctlsettings.h"
#include "ctl/fleetview.h"
#include "ctl/operatorclient.h"
#include "ctl/publisher.h"

#include <memory>
#include <optional>

namespace banyankeel
{

class StoreClient;

/// Creates each client on first use. Not thread-safe.
class CtlContext
{
public:
    /// @param secureRandom cryptographically secure generator, since keys are made from it; only tests may pass another.
    CtlContext(CtlSettings settings, CtlOutput &output, RandomSource secureRandom);
    ~CtlContext();
    CtlContext(const CtlContext &) = delete;
    CtlContext &operator=(const CtlContext &) = delete;

    /// @throws CtlError if the settings name no store.
    ConfigurationClient &configuration();
    /// @throws CtlError if the settings name no node.
    FleetView &fleet();
    OperatorClient &operatorClient();
    Publisher &publisher();
    [[nodiscard]] const RandomSource &secureRandom() const
    {
        return m_secureRandom;
    }
    CtlOutput &output()
    {
        return m_output;
    }

private:
    StoreReply sendToStore(const StoreRequest &request);

    CtlSettings m_settings;
    CtlOutput &m_output;
    RandomSource m_secureRandom;
    std::unique_ptr<OperatorClient> m_operatorClient;
    std::unique_ptr<FleetView> m_fleet;
    std::unique_ptr<HttpClient> m_storeHttp;
    std::unique_ptr<StoreClient> m_store;
    std::unique_ptr<ConfigurationClient> m_configuration;
    std::unique_ptr<Publisher> m_publisher;
};

} // namespace banyankeel
