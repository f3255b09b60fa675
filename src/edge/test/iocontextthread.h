#pragma once

// An io_context with its own thread, and blocking sockets for exchanging raw bytes with the code that runs on it.

#include "state/endpoint.h"

#include <asio/buffer.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <future>
#include <string>
#include <thread>

namespace banyankeel::testing
{

class IoContextThread
{
public:
    IoContextThread()
        : m_work(asio::make_work_guard(context))
        , m_thread([this] { context.run(); })
    {
    }
    ~IoContextThread()
    {
        stop();
    }
    IoContextThread(const IoContextThread &) = delete;
    IoContextThread &operator=(const IoContextThread &) = delete;

    /// Stops the context and joins its thread.
    void stop()
    {
        context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /// Runs @p function on the context's thread and waits for it.
    template<typename Function>
    auto run(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        asio::post(context, [&task] { task(); });
        return result.get();
    }

    asio::io_context context;

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

/// A loopback endpoint that is not in use. The address is derived from the process id, so concurrent processes use different ones; the ports are below
/// the ephemeral range, so outgoing connections don't occupy them.
inline Endpoint freeLoopback()
{
    constexpr std::uint16_t FirstPort = 10'000;
    static std::atomic<std::uint16_t> lastPort{FirstPort};
    const auto pid = static_cast<std::uint32_t>(getpid());
    const std::string address =
        "127." + std::to_string(1 + ((pid >> 16U) & 0x7fU)) + '.' + std::to_string((pid >> 8U) & 0xffU) + '.' + std::to_string(pid & 0xffU);
    return {address, ++lastPort};
}

/// A blocking TCP connection.
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

    void write(const std::string &bytes)
    {
        asio::write(m_socket, asio::buffer(bytes));
    }
    /// Reads up to and including @p end, or until the peer closes the connection.
    std::string readUntil(const std::string &end)
    {
        while (m_read.find(end) == std::string::npos && readSome()) { }
        const std::size_t at = m_read.find(end);
        const std::size_t n = at == std::string::npos ? m_read.size() : at + end.size();
        std::string found = m_read.substr(0, n);
        m_read.erase(0, n);
        return found;
    }
    /// Reads until the peer closes the connection.
    std::string readToEnd()
    {
        while (readSome()) { }
        return std::exchange(m_read, {});
    }
    /// Reads until the connection ends. Returns whether the peer reset it rather than closing it in an orderly way.
    bool endsWithReset()
    {
        std::array<char, 4096> buf{};
        std::error_code ec;
        while (!ec) {
            m_socket.read_some(asio::buffer(buf), ec);
        }
        return ec == asio::error::connection_reset;
    }
    void reset()
    {
        m_socket.set_option(asio::socket_base::linger(true, 0));
        m_socket.close();
    }
    void close()
    {
        m_socket.close();
    }
    /// Ends the connection in an orderly way; another thread that reads from it returns.
    void shutDown()
    {
        std::error_code ec;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    }

private:
    bool readSome()
    {
        std::array<char, 4096> buf{};
        std::error_code ec;
        const std::size_t n = m_socket.read_some(asio::buffer(buf), ec);
        m_read.append(buf.data(), n);
        return !ec;
    }

    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    std::string m_read;
};

} // namespace banyankeel::testing
