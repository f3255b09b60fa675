#pragma once

// Plain sockets of tests on 127.0.0.1: free ports, and clients and servers that send any bytes.
//
//   RawConnection raw(server.endpoint);
//   raw.write("GET / HTTP/1.1\r\n");

#include "state/endpoint.h"
#include "state/time.h"

#include <asio.hpp>

#include <future>
#include <string>
#include <string_view>

namespace banyankeel::testing
{

/// How long a test waits for an event that must come.
inline constexpr auto EventLimit = std::chrono::seconds(20);

/// An endpoint of this machine that nobody listens on.
inline Endpoint freeEndpoint()
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/// Waits for the value; throws when it doesn't come.
template<typename Value>
Value await(std::future<Value> &future)
{
    if (future.wait_for(EventLimit) != std::future_status::ready) {
        throw std::runtime_error("the awaited event did not come");
    }
    return future.get();
}

/// One blocking TCP connection.
class RawConnection
{
public:
    explicit RawConnection(const Endpoint &to)
        : m_socket(m_context)
    {
        m_socket.connect({asio::ip::make_address(to.address()), to.port()});
    }

    explicit RawConnection(asio::ip::tcp::acceptor &acceptor)
        : m_socket(m_context)
    {
        acceptor.accept(m_socket);
    }

    /// False when the other side has closed the connection.
    bool write(std::string_view bytes)
    {
        std::error_code ec;
        asio::write(m_socket, asio::buffer(bytes.data(), bytes.size()), ec);
        return !ec;
    }

    /// Reads exactly @p size bytes, fewer when the connection ends before.
    std::string read(std::size_t size)
    {
        std::string bytes(size, '\0');
        std::error_code ec;
        bytes.resize(asio::read(m_socket, asio::buffer(bytes), ec));
        return bytes;
    }

    /// Reads up to and including @p end.
    std::string readUntil(std::string_view end)
    {
        std::string bytes;
        std::error_code ec;
        const std::size_t size = asio::read_until(m_socket, asio::dynamic_buffer(bytes), end, ec);
        bytes.resize(ec ? bytes.size() : size);
        return bytes;
    }

    std::string readToEnd()
    {
        std::string bytes;
        std::error_code ec;
        asio::read(m_socket, asio::dynamic_buffer(bytes), ec);
        return bytes;
    }

    void reset()
    {
        std::error_code ec;
        m_socket.set_option(asio::socket_base::linger(true, 0), ec);
        m_socket.close(ec);
    }

    void close()
    {
        std::error_code ec;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
        m_socket.close(ec);
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
};

/// Accepts blocking connections.
class RawServer
{
public:
    RawServer()
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
    {
    }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    RawConnection accept()
    {
        return RawConnection(m_acceptor);
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
};

} // namespace banyankeel::testing
