#pragma once

// Asks the platform's store over HTTP.
//
//   StoreClient store({.store = endpoint}, httpClient);
//   store.send(ReadRows{...}, [](StoreReply reply) { ... });

#include "protocol/storemessages.h"
#include "state/endpoint.h"
#include "state/time.h"

#include <functional>
#include <string>

namespace banyankeel
{

class HttpClient;

struct StoreClientSettings {
    Endpoint store;
    /// Sent as a bearer token; the platform hands it out.
    std::string token;
    Duration timeLimit = std::chrono::seconds(1);
};

/// Posts each request to /v1/store in the form of protocol/storecodec.h. May be called from any thread.
class StoreClient
{
public:
    using Handler = std::function<void(StoreReply)>;

    /// @param http must outlive this client.
    StoreClient(StoreClientSettings settings, HttpClient &http);

    /// @p handler gets exactly one reply, a StoreFailure at the latest after the time limit. Never throws.
    void send(const StoreRequest &request, Handler handler);

private:
    StoreClientSettings m_settings;
    HttpClient &m_http;
};

} // namespace banyankeel
