#pragma once

// The frames that wait to be written to one connection.
//
//   if (queue.hasRoomFor(envelope)) queue.push(std::move(envelope));
//   const std::span<const iovec> pieces = queue.front();
//   queue.written(sendmsg(...));

#include "protocol/envelope.h"
#include "transport/frame.h"

#include <sys/uio.h>

#include <array>
#include <cstddef>
#include <deque>
#include <span>
#include <vector>

namespace banyankeel
{

/// First in, first out, bounded by bytes. Not thread-safe, but pushing leaves the pieces that front() gave valid.
class FrameQueue
{
public:
    explicit FrameQueue(std::size_t maxBytes);

    /// A frame longer than the bound has room while nothing else waits.
    [[nodiscard]] bool hasRoomFor(const Envelope &envelope) const;
    void push(Envelope envelope);
    /// Takes all frames of @p other, of which none may have been written in part.
    void takeAll(FrameQueue &other);
    /// Removes and returns the frames that were not written to their end. The other side can't read any of them.
    std::vector<Envelope> takeUnwritten();
    [[nodiscard]] bool isEmpty() const
    {
        return m_frames.empty();
    }

    /// What to write next: the pieces of as many frames as one system call takes. Valid until written() or the next call.
    [[nodiscard]] std::span<const iovec> front();
    /// The first @p bytes of front() were written.
    void written(std::size_t bytes);

private:
    struct Frame {
        FrameHeader header;
        std::string payload;

        [[nodiscard]] std::size_t size() const
        {
            return header.size() + payload.size();
        }
    };

    static constexpr std::size_t MaxPieces = 64;

    void addPiece(std::size_t &count, const void *data, std::size_t size, std::size_t &skip);

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::deque<Frame> m_frames;
    /// How much of the first frame was written already.
    std::size_t m_writtenOfFirst = 0;
    std::array<iovec, MaxPieces> m_pieces{};
};

} // namespace banyankeel
