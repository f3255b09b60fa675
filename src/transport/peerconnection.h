#pragma once

// One TCP connection between two nodes: hello, frames in, frames out.
//
//   auto connection = std::make_shared<PeerConnection>(context, HelloRole::Connector, settings, hooks, sentBytes);
//   connection->connect(endpoint);
//   connection->send(envelope);

#include "transport/framequeue.h"
#include "transport/framereader.h"
#include "transport/peerhello.h"
#include "transport/peernetwork.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/strand.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace banyankeel
{

class PeerConnection;

/// Why a connection ended.
enum class ConnectionEnd {
    /// It broke, or the other side closed it.
    Lost,
    /// It could not be made in time.
    Unreachable,
    /// The other side was not accepted, or sent damaged bytes.
    Refused,
    /// Nothing was sent for long, so that nothing was lost.
    Idle,
    /// The other side has a newer incarnation.
    Replaced,
};

struct PeerConnectionHooks {
    /// The other side proved that it knows the secret. Returns a problem to refuse it nevertheless, else an empty text.
    std::function<std::string(const std::shared_ptr<PeerConnection> &connection)> accepted;
    /// May throw Error to refuse a message as damaged.
    std::function<void(const Peer &from, Envelope envelope)> message;
    /// The last call for a connection. @param unsent messages that were not written to their end, so that the other side can't have received them.
    std::function<void(const std::shared_ptr<PeerConnection> &connection, ConnectionEnd end, const std::string &problem, const std::vector<Envelope> &unsent)>
        ended;
};

/// Hooks are called on the connection's strand. The other functions may be called from any thread.
/// A sender writes to the socket by itself when nobody else does, which saves waking a network thread.
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    /// @param settings, hooks and @p sentBytes must outlive the connection.
    PeerConnection(asio::ip::tcp::socket socket,
                   HelloRole role,
                   const PeerNetworkSettings &settings,
                   const PeerConnectionHooks &hooks,
                   std::atomic<std::uint64_t> &sentBytes);

    /// Begins the hello on a connection that the other side made.
    void start();
    /// Connects and begins the hello.
    void connect(const Endpoint &endpoint);
    /// Frames wait until the hello is accepted.
    SendResult send(Envelope envelope);
    /// Takes the frames that wait for the hello of @p other.
    void takeWaiting(PeerConnection &other);
    void close(ConnectionEnd end, const std::string &problem);
    /// Ends the connection if its hello takes too long or if it was idle for too long.
    void checkLimits(TimePoint now);

    [[nodiscard]] HelloRole role() const
    {
        return m_role;
    }
    [[nodiscard]] const std::string &remote() const
    {
        return m_remote;
    }
    /// The endpoint that this side connected to, or at which the other side said that it listens. Absent before the hello.
    [[nodiscard]] const std::optional<Endpoint> &key() const
    {
        return m_key;
    }
    /// Valid once the hello is accepted.
    [[nodiscard]] const Peer &peer() const
    {
        return *m_hello.peer();
    }
    [[nodiscard]] bool isReady() const
    {
        return m_isReady;
    }
    /// When the connection was made or begun.
    [[nodiscard]] TimePoint begunAt() const
    {
        return m_begin;
    }
    [[nodiscard]] bool isClosed() const
    {
        return m_isClosed;
    }
    /// Whether a frame other than the hello was sent, queued or received.
    [[nodiscard]] bool wasUsed() const
    {
        return m_wasUsed;
    }

private:
    void beginHello();
    void read();
    void receive(std::size_t bytes);
    void take(Envelope envelope);
    void takeHello(const Envelope &envelope);
    void becomeReady();
    bool writeNow(const Envelope &envelope);
    void flush(std::unique_lock<std::mutex> &lock);
    bool writeOnce(std::unique_lock<std::mutex> &lock);
    void flushWhenWritable();
    void flushLater();
    void sayGoodbye();
    [[nodiscard]] ConnectionEnd endBeforeHello() const;
    void readFailed(const std::error_code &ec);
    void finish(ConnectionEnd end, const std::string &problem);
    void touch();

    const HelloRole m_role;
    const PeerNetworkSettings &m_settings;
    const PeerConnectionHooks &m_hooks;
    std::atomic<std::uint64_t> &m_sentBytes;
    const TimePoint m_begin;

    // Used on the strand only.
    asio::ip::tcp::socket m_socket;
    PeerHello m_hello;
    FrameReader m_reader;
    bool m_saidGoodbye = false;
    bool m_hasFinished = false;

    std::string m_remote;
    std::optional<Endpoint> m_key;
    std::atomic<bool> m_isReady = false;
    std::atomic<bool> m_isClosed = false;
    std::atomic<bool> m_wasUsed = false;
    std::atomic<TimePoint> m_lastFrame;

    std::mutex m_mutex;
    FrameQueue m_queue;
    /// Whether a thread writes the queue, or the strand will go on with it.
    bool m_isWriting = false;
    /// Whether a system call reads frames of the queue.
    bool m_isInSystemCall = false;
    int m_descriptor = -1;
};

} // namespace banyankeel
