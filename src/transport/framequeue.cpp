#include "transport/framequeue.h"

#include <algorithm>

namespace banyankeel
{

FrameQueue::FrameQueue(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

bool FrameQueue::hasRoomFor(const Envelope &envelope) const
{
    return m_bytes == 0 || m_bytes + FrameHeaderBytes + envelope.payload.size() <= m_maxBytes;
}

void FrameQueue::push(Envelope envelope)
{
    m_frames.push_back({frameHeaderOf(envelope), std::move(envelope.payload)});
    m_bytes += m_frames.back().size();
}

void FrameQueue::takeAll(FrameQueue &other)
{
    for (Frame &frame : other.m_frames) {
        m_frames.push_back(std::move(frame));
    }
    m_bytes += other.m_bytes;
    other.m_frames.clear();
    other.m_bytes = 0;
}

std::vector<Envelope> FrameQueue::takeUnwritten()
{
    std::vector<Envelope> unwritten;
    unwritten.reserve(m_frames.size());
    for (Frame &frame : m_frames) {
        unwritten.push_back({messageTypeOf(frame.header), std::move(frame.payload)});
    }
    m_frames.clear();
    m_bytes = 0;
    m_writtenOfFirst = 0;
    return unwritten;
}

std::span<const iovec> FrameQueue::front()
{
    std::size_t count = 0;
    std::size_t skip = m_writtenOfFirst;
    for (const Frame &frame : m_frames) {
        if (count + 2 > MaxPieces) {
            break;
        }
        addPiece(count, frame.header.data(), frame.header.size(), skip);
        addPiece(count, frame.payload.data(), frame.payload.size(), skip);
    }
    return std::span(m_pieces).first(count);
}

void FrameQueue::addPiece(std::size_t &count, const void *data, std::size_t size, std::size_t &skip)
{
    const std::size_t skipped = std::min(skip, size);
    skip -= skipped;
    if (skipped == size) {
        return;
    }
    // The type of the system call has no pointer to const, though it only reads.
    m_pieces[count] = {const_cast<char *>(static_cast<const char *>(data)) + skipped, size - skipped};
    ++count;
}

void FrameQueue::written(std::size_t bytes)
{
    m_bytes -= bytes;
    m_writtenOfFirst += bytes;
    while (!m_frames.empty() && m_writtenOfFirst >= m_frames.front().size()) {
        m_writtenOfFirst -= m_frames.front().size();
        m_frames.pop_front();
    }
}

} // namespace banyankeel
