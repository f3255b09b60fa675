#pragma once

// Cuts the bytes that arrive on a connection into frames.
//
//   const std::span<char> room = reader.room();
//   reader.arrived(read(socket, room));
//   while (std::optional<Envelope> envelope = reader.next()) ...

#include "protocol/envelope.h"
#include "transport/frame.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace banyankeel
{

/// Holds one buffer and at most one unfinished frame. Not thread-safe.
class FrameReader
{
public:
    explicit FrameReader(std::size_t maxPayloadBytes);

    void setMaxPayloadBytes(std::size_t bytes)
    {
        m_maxPayloadBytes = bytes;
    }
    /// Where to put the next bytes; never empty, and valid until the next call.
    [[nodiscard]] std::span<char> room();
    /// @p bytes were put into the room.
    void arrived(std::size_t bytes);
    /// The next whole frame, in order.
    /// @throws ProtocolError if a frame is longer than allowed; the reader can't be used any more.
    std::optional<Envelope> next();

private:
    void readHeader();
    void movePayload();
    [[nodiscard]] std::size_t buffered() const
    {
        return m_end - m_begin;
    }

    std::size_t m_maxPayloadBytes;
    std::vector<char> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    bool m_isRoomInPayload = false;

    // The frame whose header has arrived.
    bool m_hasHeader = false;
    Envelope m_frame{};
    std::size_t m_received = 0;
};

} // namespace banyankeel
