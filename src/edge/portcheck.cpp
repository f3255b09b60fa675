#include "edge/portcheck.h"

#include "state/endpoint.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace banyankeel
{

namespace
{
struct PortCheck {
    explicit PortCheck(asio::io_context &context)
        : socket(context)
        , timer(context)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
};
} // namespace

void checkPort(asio::io_context &context, const Endpoint &server, Duration timeLimit, std::function<void(PortState state)> result)
{
    const auto check = std::make_shared<PortCheck>(context);
    const asio::ip::tcp::endpoint to(asio::ip::make_address(server.address()), server.port());
    check->timer.expires_after(timeLimit);
    check->timer.async_wait([check](const std::error_code &ec) {
        if (!ec) {
            std::error_code ignored;
            check->socket.close(ignored);
        }
    });
    check->socket.async_connect(to, [check, result = std::move(result)](const std::error_code &ec) {
        check->timer.cancel();
        std::error_code ignored;
        check->socket.close(ignored);
        if (!ec) {
            result(PortState::Listening);
        } else {
            result(ec == asio::error::connection_refused ? PortState::Refused : PortState::Unknown);
        }
    });
}

} // namespace banyankeel
