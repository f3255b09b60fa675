#pragma once

// One client's connection to an EdgeServer.

#include "edge/edgeserver.h"
#include "edge/httpmessagereader.h"
#include "edge/httpmessagewriter.h"
#include "state/time.h"

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace banyankeel
{

/// State shared by all connections of one server. Outlives them.
struct EdgeConnectionSharedState {
    EdgeServer::Handler handler;
    EdgeLimits limits;
    std::size_t maxBufferedBytes = 0;
    std::size_t bufferedBytes = 0;
    bool isDraining = false;
    EdgeCounts counts;
    /// Receives bytes from the socket before they are parsed. Used by one connection at a time.
    std::span<char> readBuffer;
};

/// Handles the requests of one client in sequence: reads a request, waits for its response and writes it. Pipelined requests are buffered. Not
/// thread-safe.
class EdgeConnection : public std::enable_shared_from_this<EdgeConnection>
{
public:
    EdgeConnection(asio::ip::tcp::socket socket, std::shared_ptr<EdgeConnectionSharedState> shared, TimePoint now);
    ~EdgeConnection();
    EdgeConnection(const EdgeConnection &) = delete;
    EdgeConnection &operator=(const EdgeConnection &) = delete;

    void start();
    /// Closes the connection or responds with 408 if the timeout of its current state has passed. Must be called a few times per second.
    void checkTimeouts(TimePoint now);
    /// Closes the connection if no byte of a next request has arrived.
    void closeIfIdle();
    void close();

    [[nodiscard]] bool isClosed() const
    {
        return m_state == State::Closed;
    }
    /// Whether a request has started whose response is not completely written.
    [[nodiscard]] bool isBusy() const
    {
        return m_state == State::Handling || m_state == State::Writing || (m_state == State::Reading && m_reader.hasBegun());
    }

    /// Adds this connection to @p counts if it is busy.
    void countBusy(EdgeBusyCounts &counts) const;

private:
    enum class State : std::uint8_t {
        Reading,
        Handling,
        Writing,
        /// The final response is written. Further input is discarded, because closing with unread bytes would reset the connection.
        Lingering,
        Closed,
    };

    void waitReadable();
    void waitWritable();
    void readAvailable();
    void receive(std::string_view bytes);
    void onEndOfInput();
    void parse();
    void onHeadersComplete();
    void onRequestComplete();
    void sendResponse(std::uint64_t request, HttpResponse response);
    ResponseBody beginBody(std::uint64_t request, const HttpResponse &head, std::optional<std::uint64_t> length, ResponseBodyHooks hooks);
    void writeBodyPart(std::uint64_t request, std::string bytes);
    void endBody(std::uint64_t request, bool isWhole);
    /// Whether @p request is the current one and parts of its response's body are still to come.
    [[nodiscard]] bool awaitsBody(std::uint64_t request) const;
    /// Closes the connection so that the client can't take what it has received for a whole response.
    void abortResponse();
    void reportDrained();
    /// Closes the connection and tells whoever waits for the client or writes its response.
    void closeOnClientLoss();
    /// Responds with @p status without calling the handler, then closes the connection.
    void refuse(int status);
    void write();
    void onResponseWritten();
    void linger();
    [[nodiscard]] bool canReadMore() const;
    void updateBufferedBytes();

    asio::ip::tcp::socket m_socket;
    std::shared_ptr<EdgeConnectionSharedState> m_shared;
    HttpMessageReader m_reader;
    State m_state = State::Reading;
    /// Bytes received after the current request.
    std::string m_unparsed;
    std::string m_head;
    std::string m_body;
    std::size_t m_sentBytes = 0;
    bool m_keepAlive = true;
    bool m_hasSentContinue = false;
    bool m_isHeadRequest = false;
    bool m_isHttp11 = true;
    bool m_isReadPending = false;
    bool m_isWritePending = false;
    bool m_isParsing = false;
    /// How the body in parts under way is framed; absent for a whole response, and once the last part is there.
    std::optional<BodyFraming> m_bodyFraming;
    ResponseBodyHooks m_bodyHooks;
    /// Body bytes in m_body, without their framing, of a response in parts.
    std::size_t m_undrainedBytes = 0;
    /// Number of the current request. Responses to earlier requests are ignored.
    std::uint64_t m_requestNumber = 0;
    std::function<void()> m_onClientDisconnect;
    TimePoint m_lastProgress;
    std::size_t m_bufferedBytes = 0;
};

} // namespace banyankeel
