#include "tools/faultproxy/faultconnection.h"

namespace banyankeel
{

namespace
{
// A sender is made to wait when so much is under way on the link.
constexpr std::size_t MaxQueuedBytes = std::size_t{1} * 1024 * 1024;
// A held frame goes on alone when no other follows.
constexpr Duration LongestHold = std::chrono::milliseconds(20);
} // namespace

FaultConnection::FaultConnection(LinkState &state, bool hasFrames, asio::ip::tcp::socket client)
    : m_state(state)
    , m_hasFrames(hasFrames)
    , m_client(std::move(client))
    , m_server(m_client.get_executor())
    , m_requests(m_client.get_executor())
    , m_answers(m_client.get_executor())
{
}

void FaultConnection::start(const asio::ip::tcp::endpoint &forward)
{
    m_server.async_connect(forward, [self = shared_from_this()](const asio::error_code &ec) {
        if (ec) {
            self->reset();
            return;
        }
        asio::error_code ignored;
        self->m_client.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->m_server.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->read(Direction::Requests);
        self->read(Direction::Answers);
    });
}

void FaultConnection::reset()
{
    if (m_isReset) {
        return;
    }
    m_isReset = true;
    ++m_state.resets;
    for (asio::ip::tcp::socket *socket : {&m_client, &m_server}) {
        asio::error_code ignored;
        // Without lingering the other side sees a reset rather than an orderly end.
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
    for (Pipe *it : {&m_requests, &m_answers}) {
        it->timer.cancel();
        it->holdTimer.cancel();
    }
}

void FaultConnection::read(Direction direction)
{
    Pipe &it = pipe(direction);
    if (it.isReading || it.isEnded || m_isReset || it.queuedBytes >= MaxQueuedBytes) {
        return;
    }
    it.isReading = true;
    source(direction).async_read_some(asio::buffer(it.buffer), [self = shared_from_this(), direction](const asio::error_code &ec, std::size_t n) {
        Pipe &pipe = self->pipe(direction);
        pipe.isReading = false;
        if (ec == asio::error::eof) {
            self->ended(direction);
            return;
        }
        if (ec) {
            self->reset();
            return;
        }
        self->arrived(direction, std::string_view(pipe.buffer.data(), n));
        self->read(direction);
    });
}

void FaultConnection::ended(Direction direction)
{
    Pipe &it = pipe(direction);
    it.isEnded = true;
    if (!it.held.empty()) {
        push(direction, std::exchange(it.held, {}));
    }
    if (!it.isWriting) {
        write(direction);
    }
}

bool FaultConnection::isSwallowed(Direction direction) const
{
    const Swallowed own = direction == Direction::Requests ? Swallowed::Requests : Swallowed::Answers;
    return m_state.rules.swallowed == own || m_state.rules.swallowed == Swallowed::Both;
}

/// The first bytes that come back after bytes of a request begin an answer.
bool FaultConnection::losesAnswer(Direction direction)
{
    if (direction == Direction::Requests) {
        m_isAnswerDue = true;
        return false;
    }
    const bool isBegin = std::exchange(m_isAnswerDue, false);
    return isBegin && m_state.happens(m_state.rules.loseAnswerPerMille);
}

void FaultConnection::arrived(Direction direction, std::string_view bytes)
{
    if (isSwallowed(direction)) {
        return;
    }
    if (losesAnswer(direction)) {
        ++m_state.lostAnswers;
        reset();
        return;
    }
    m_state.passedBytes[static_cast<std::size_t>(direction)] += bytes.size();
    if (!m_hasFrames) {
        pass(direction, std::string(bytes));
        return;
    }
    for (std::string &frame : pipe(direction).cutter.add(bytes)) {
        pass(direction, std::move(frame));
    }
}

void FaultConnection::pass(Direction direction, std::string unit)
{
    if (m_resetsWhenWritten) {
        return;
    }
    if (m_state.happens(m_state.rules.resetPerMille)) {
        m_resetsWhenWritten = true;
        push(direction, unit.substr(0, unit.size() / 2));
        return;
    }
    Pipe &it = pipe(direction);
    if (!it.held.empty()) {
        it.holdTimer.cancel();
        ++m_state.reordered;
        push(direction, std::move(unit));
        push(direction, std::exchange(it.held, {}));
        return;
    }
    if (m_hasFrames && m_state.happens(m_state.rules.duplicatePerMille)) {
        ++m_state.duplicated;
        push(direction, unit);
    }
    if (m_hasFrames && m_state.happens(m_state.rules.reorderPerMille)) {
        hold(direction, std::move(unit));
        return;
    }
    push(direction, std::move(unit));
}

void FaultConnection::hold(Direction direction, std::string unit)
{
    Pipe &it = pipe(direction);
    it.held = std::move(unit);
    it.holdTimer.expires_after(LongestHold);
    it.holdTimer.async_wait([self = shared_from_this(), direction](const asio::error_code &ec) {
        Pipe &pipe = self->pipe(direction);
        if (!ec && !pipe.held.empty()) {
            self->push(direction, std::exchange(pipe.held, {}));
        }
    });
}

void FaultConnection::push(Direction direction, std::string bytes)
{
    Pipe &it = pipe(direction);
    // One connection keeps its order whatever the jitter.
    it.lastDue = std::max(it.lastDue, m_state.dueTime(direction, bytes.size(), std::chrono::steady_clock::now()));
    it.queuedBytes += bytes.size();
    it.queue.push_back({std::move(bytes), it.lastDue});
    if (!it.isWriting) {
        write(direction);
    }
}

void FaultConnection::write(Direction direction)
{
    Pipe &it = pipe(direction);
    it.isWriting = !it.queue.empty();
    if (it.queue.empty()) {
        if (m_resetsWhenWritten) {
            reset();
        } else if (it.isEnded) {
            asio::error_code ignored;
            destination(direction).shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        }
        return;
    }
    it.timer.expires_at(it.queue.front().due);
    it.timer.async_wait([self = shared_from_this(), direction](const asio::error_code &waited) {
        if (waited || self->m_isReset) {
            return;
        }
        const std::string &bytes = self->pipe(direction).queue.front().bytes;
        asio::async_write(self->destination(direction), asio::buffer(bytes), [self, direction](const asio::error_code &ec, std::size_t n) {
            Pipe &pipe = self->pipe(direction);
            if (ec) {
                self->reset();
                return;
            }
            pipe.queuedBytes -= n;
            pipe.queue.pop_front();
            self->write(direction);
            self->read(direction);
        });
    });
}

} // namespace banyankeel
