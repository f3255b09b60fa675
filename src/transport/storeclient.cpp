#include "transport/storeclient.h"

#include "protocol/headernames.h"
#include "protocol/storecodec.h"
#include "state/errors.h"
#include "transport/httpclient.h"

namespace banyankeel
{

namespace
{
constexpr int StatusOk = 200;

StoreReply replyOf(const HttpResult &result)
{
    if (!result.response) {
        return StoreFailure{result.runState, result.detail};
    }
    if (result.response->status != StatusOk) {
        // The store answers so only before it touches anything, but a box in between may answer in its name.
        return StoreFailure{RunState::MayHaveRun, "status " + std::to_string(result.response->status)};
    }
    try {
        return decodeStoreReply(result.response->body);
    } catch (const ProtocolError &it) {
        return StoreFailure{RunState::MayHaveRun, it.what()};
    }
}
} // namespace

StoreClient::StoreClient(StoreClientSettings settings, HttpClient &http)
    : m_settings(std::move(settings))
    , m_http(http)
{
    if (m_settings.timeLimit <= Duration::zero()) {
        throw ValueError("store client: field time limit: " + std::to_string(m_settings.timeLimit.count()) + " ns found, more than 0 allowed");
    }
}

void StoreClient::send(const StoreRequest &request, Handler handler)
{
    HttpRequest http{
        .method = "POST",
        .target = "/v1/store",
        .headers = {{std::string(headers::Authorization), "Bearer " + m_settings.token}, {"Content-Type", "application/msgpack"}},
        .body = encodeStoreRequest(request),
    };
    m_http.send({m_settings.store, std::move(http), m_settings.timeLimit},
                [handler = std::move(handler)](const HttpResult &result) { handler(replyOf(result)); });
}

} // namespace banyankeel
