#pragma once

// Finds out whether a server accepts connections.
//
//   checkPort(context, server, 300ms, [](PortState state) { ... });

#include "state/time.h"

#include <cstdint>
#include <functional>

namespace asio
{
class io_context;
} // namespace asio

namespace banyankeel
{

class Endpoint;

/// The result of an attempt to connect.
enum class PortState : std::uint8_t {
    Listening,
    /// The host answers, and nobody listens.
    Refused,
    /// No answer within the time limit, or another error.
    Unknown,
};

/// Opens a connection and closes it. @param result called once, on the context's thread, not from within the call.
void checkPort(asio::io_context &context, const Endpoint &server, Duration timeLimit, std::function<void(PortState state)> result);

} // namespace banyankeel
