#pragma once

// One connection through a fault-injecting link, as two pipes.
//
//   auto connection = std::make_shared<FaultConnection>(state, hasFrames, std::move(client));
//   connection->start(forward);

#include "tools/faultproxy/framecutter.h"
#include "tools/faultproxy/linkstate.h"

#include <asio.hpp>

#include <array>
#include <deque>
#include <memory>
#include <string>

namespace banyankeel
{

/// Lives as long as one of its operations is under way. Runs on the thread of its sockets' context only.
class FaultConnection : public std::enable_shared_from_this<FaultConnection>
{
public:
    /// @param state must outlive this object.
    FaultConnection(LinkState &state, bool hasFrames, asio::ip::tcp::socket client);

    /// Connects to @p forward and passes bytes from then on.
    void start(const asio::ip::tcp::endpoint &forward);
    /// Resets both sides.
    void reset();

private:
    struct Piece {
        std::string bytes;
        TimePoint due;
    };
    /// One direction.
    struct Pipe {
        explicit Pipe(const asio::any_io_executor &executor)
            : timer(executor)
            , holdTimer(executor)
        {
        }

        std::array<char, 16384> buffer{};
        FrameCutter cutter;
        std::deque<Piece> queue;
        std::size_t queuedBytes = 0;
        TimePoint lastDue{};
        /// A frame that waits for the next one to go first.
        std::string held;
        asio::steady_timer timer;
        asio::steady_timer holdTimer;
        bool isWriting = false;
        bool isReading = false;
        bool isEnded = false;
    };

    Pipe &pipe(Direction direction)
    {
        return direction == Direction::Requests ? m_requests : m_answers;
    }
    asio::ip::tcp::socket &source(Direction direction)
    {
        return direction == Direction::Requests ? m_client : m_server;
    }
    asio::ip::tcp::socket &destination(Direction direction)
    {
        return direction == Direction::Requests ? m_server : m_client;
    }

    void read(Direction direction);
    void arrived(Direction direction, std::string_view bytes);
    void pass(Direction direction, std::string unit);
    void hold(Direction direction, std::string unit);
    void push(Direction direction, std::string bytes);
    void write(Direction direction);
    void ended(Direction direction);
    [[nodiscard]] bool isSwallowed(Direction direction) const;
    [[nodiscard]] bool losesAnswer(Direction direction);

    LinkState &m_state;
    bool m_hasFrames;
    asio::ip::tcp::socket m_client;
    asio::ip::tcp::socket m_server;
    Pipe m_requests;
    Pipe m_answers;
    bool m_isAnswerDue = false;
    bool m_resetsWhenWritten = false;
    bool m_isReset = false;
};

} // namespace banyankeel
