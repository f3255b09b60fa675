#include "transport/framereader.h"

#include "state/errors.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace banyankeel
{

namespace
{
// Holds a few frames of the usual size; longer ones are read into their payload directly. A node has a buffer for each of its connections.
constexpr std::size_t BufferBytes = std::size_t{4} * 1024;
} // namespace

FrameReader::FrameReader(std::size_t maxPayloadBytes)
    : m_maxPayloadBytes(maxPayloadBytes)
    , m_buffer(BufferBytes)
{
}

std::span<char> FrameReader::room()
{
    // A short rest of a frame goes through the buffer as well, since the next frames often arrive with it.
    m_isRoomInPayload = m_hasHeader && m_frame.payload.size() - m_received >= m_buffer.size();
    if (m_isRoomInPayload) {
        return std::span(m_frame.payload).subspan(m_received);
    }
    // After next() less than a header is left, so that the move is short.
    std::memmove(m_buffer.data(), m_buffer.data() + m_begin, buffered());
    m_end = buffered();
    m_begin = 0;
    return std::span(m_buffer).subspan(m_end);
}

void FrameReader::arrived(std::size_t bytes)
{
    if (m_isRoomInPayload) {
        m_received += bytes;
    } else {
        m_end += bytes;
    }
}

std::optional<Envelope> FrameReader::next()
{
    if (!m_hasHeader) {
        readHeader();
    }
    if (!m_hasHeader) {
        return std::nullopt;
    }
    movePayload();
    if (m_received < m_frame.payload.size()) {
        return std::nullopt;
    }
    m_hasHeader = false;
    m_received = 0;
    return std::exchange(m_frame, {});
}

void FrameReader::readHeader()
{
    if (buffered() < FrameHeaderBytes) {
        return;
    }
    std::size_t size = 0;
    for (std::size_t n = 0; n + 1 < FrameHeaderBytes; ++n) {
        size = (size << 8U) | static_cast<unsigned char>(m_buffer[m_begin + n]);
    }
    if (size > m_maxPayloadBytes) {
        throw ProtocolError("frame: field length: " + std::to_string(size) + " bytes found, " + std::to_string(m_maxPayloadBytes) + " allowed");
    }
    m_frame.type = static_cast<MessageType>(m_buffer[m_begin + FrameHeaderBytes - 1]);
    m_frame.payload.resize(size);
    m_begin += FrameHeaderBytes;
    m_hasHeader = true;
}

void FrameReader::movePayload()
{
    const std::size_t bytes = std::min(buffered(), m_frame.payload.size() - m_received);
    std::memcpy(m_frame.payload.data() + m_received, m_buffer.data() + m_begin, bytes);
    m_received += bytes;
    m_begin += bytes;
}

} // namespace banyankeel
