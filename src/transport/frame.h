#pragma once

// The form of a message on a connection between nodes: the length of the payload in 4 bytes, big endian,
// the message type as a byte, the payload.

#include "protocol/envelope.h"

#include <array>
#include <cstddef>

namespace banyankeel
{

inline constexpr std::size_t FrameHeaderBytes = 5;

using FrameHeader = std::array<unsigned char, FrameHeaderBytes>;

/// The bytes that go before the payload, which must be shorter than 4 GiB.
inline FrameHeader frameHeaderOf(const Envelope &envelope)
{
    const std::size_t size = envelope.payload.size();
    return {
        static_cast<unsigned char>(size >> 24U),
        static_cast<unsigned char>(size >> 16U),
        static_cast<unsigned char>(size >> 8U),
        static_cast<unsigned char>(size),
        static_cast<unsigned char>(envelope.type),
    };
}

inline MessageType messageTypeOf(const FrameHeader &header)
{
    return static_cast<MessageType>(header.back());
}

} // namespace banyankeel
