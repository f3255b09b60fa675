#include "edge/edgeserver.h"

#include "edge/edgeconnection.h"
#include "state/errors.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <vector>

namespace banyankeel
{

namespace
{
// Timeouts are whole seconds, so a resolution of a quarter second is sufficient.
constexpr Duration SweepInterval = std::chrono::milliseconds(250);
// If the process is out of file descriptors, an immediate retry would fail again.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(100);
constexpr int ListenBacklog = 1024;

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}
} // namespace

class EdgeServer::Impl : public std::enable_shared_from_this<EdgeServer::Impl>
{
public:
    Impl(asio::io_context &context, EdgeServerSettings settings, Handler handler)
        : m_settings(std::move(settings))
        , m_acceptor(context)
        , m_timer(context)
        , m_shared(std::make_shared<EdgeConnectionSharedState>())
        , m_readBuffer(m_settings.readBufferBytes)
    {
        m_shared->handler = std::move(handler);
        m_shared->maxBufferedBytes = m_settings.maxBufferedBytes;
        m_shared->readBuffer = m_readBuffer;
    }

    void start()
    {
        const asio::ip::tcp::endpoint address(asio::ip::make_address(m_settings.listen.address()), m_settings.listen.port());
        try {
            m_acceptor.open(address.protocol());
            m_acceptor.set_option(asio::socket_base::reuse_address(true));
            m_acceptor.bind(address);
            m_acceptor.listen(ListenBacklog);
            m_acceptor.non_blocking(true);
        } catch (const std::system_error &it) {
            throw Error("HTTP server: cannot listen on " + m_settings.listen.text() + ": " + it.what());
        }
        accept();
        sweep();
    }

    void stopListening()
    {
        std::error_code ec;
        m_acceptor.close(ec);
    }

    void stop()
    {
        m_isStopped = true;
        stopListening();
        m_timer.cancel();
        for (const std::shared_ptr<EdgeConnection> &it : std::exchange(m_connections, {})) {
            it->close();
        }
    }

    void startDraining()
    {
        m_shared->isDraining = true;
    }

    void setLimits(const EdgeLimits &limits)
    {
        m_shared->limits = limits;
    }

    [[nodiscard]] std::size_t busyConnections() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_connections, [](const auto &it) { return it->isBusy(); }));
    }

    [[nodiscard]] EdgeBusyCounts busyCounts() const
    {
        EdgeBusyCounts counts;
        for (const std::shared_ptr<EdgeConnection> &it : m_connections) {
            it->countBusy(counts);
        }
        return counts;
    }

    [[nodiscard]] std::size_t openConnections() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_connections, [](const auto &it) { return !it->isClosed(); }));
    }

    [[nodiscard]] std::size_t bufferedBytes() const
    {
        return m_shared->bufferedBytes;
    }

    [[nodiscard]] const EdgeCounts &counts() const
    {
        return m_shared->counts;
    }

private:
    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](const std::error_code &ec, asio::ip::tcp::socket socket) {
            if (self->m_isStopped || !self->m_acceptor.is_open()) {
                return;
            }
            if (ec) {
                self->retryAcceptLater();
                return;
            }
            self->onAccepted(std::move(socket));
            self->accept();
        });
    }

    void retryAcceptLater()
    {
        auto pause = std::make_shared<asio::steady_timer>(m_acceptor.get_executor(), AcceptRetryDelay);
        pause->async_wait([self = shared_from_this(), pause](const std::error_code &) {
            if (!self->m_isStopped && self->m_acceptor.is_open()) {
                self->accept();
            }
        });
    }

    void onAccepted(asio::ip::tcp::socket socket)
    {
        if (m_connections.size() >= m_settings.maxConnections) {
            std::erase_if(m_connections, [](const auto &it) { return it->isClosed(); });
        }
        if (m_connections.size() >= m_settings.maxConnections) {
            ++m_shared->counts.refused;
            return;
        }
        ++m_shared->counts.connections;
        const auto connection = std::make_shared<EdgeConnection>(std::move(socket), m_shared, steadyNow());
        m_connections.push_back(connection);
        connection->start();
    }

    void sweep()
    {
        m_timer.expires_after(SweepInterval);
        m_timer.async_wait([self = shared_from_this()](const std::error_code &ec) {
            if (ec || self->m_isStopped) {
                return;
            }
            const TimePoint now = steadyNow();
            for (const std::shared_ptr<EdgeConnection> &it : self->m_connections) {
                it->checkTimeouts(now);
            }
            std::erase_if(self->m_connections, [](const auto &it) { return it->isClosed(); });
            self->sweep();
        });
    }

    EdgeServerSettings m_settings;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    std::shared_ptr<EdgeConnectionSharedState> m_shared;
    std::vector<char> m_readBuffer;
    std::vector<std::shared_ptr<EdgeConnection>> m_connections;
    bool m_isStopped = false;
};

EdgeServer::EdgeServer(asio::io_context &context, EdgeServerSettings settings, Handler handler)
    : m_impl(std::make_shared<Impl>(context, std::move(settings), std::move(handler)))
{
}

EdgeServer::~EdgeServer()
{
    m_impl->stop();
}

void EdgeServer::start()
{
    m_impl->start();
}

void EdgeServer::setLimits(const EdgeLimits &limits)
{
    m_impl->setLimits(limits);
}

void EdgeServer::startDraining()
{
    m_impl->startDraining();
}

void EdgeServer::stopListening()
{
    m_impl->stopListening();
}

void EdgeServer::stop()
{
    m_impl->stop();
}

std::size_t EdgeServer::busyConnections() const
{
    return m_impl->busyConnections();
}

EdgeBusyCounts EdgeServer::busyCounts() const
{
    return m_impl->busyCounts();
}

std::size_t EdgeServer::openConnections() const
{
    return m_impl->openConnections();
}

std::size_t EdgeServer::bufferedBytes() const
{
    return m_impl->bufferedBytes();
}

const EdgeCounts &EdgeServer::counts() const
{
    return m_impl->counts();
}

} // namespace banyankeel
