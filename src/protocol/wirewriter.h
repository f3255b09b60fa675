#pragma once

// Writes the fields of a message in order, as msgpack.
//
//   WireWriter writer;
//   writer.text(service.text());
//   writer.number(attempt);
//   std::string payload = writer.take();

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "state/time.h"

namespace banyankeel
{

/// Appends msgpack values to a buffer. Not thread-safe.
class WireWriter
{
public:
    WireWriter()
        : m_packer(m_buffer)
    {
    }

    void text(std::string_view value)
    {
        m_packer.pack_str(static_cast<std::uint32_t>(value.size()));
        m_packer.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
    }
    void bytes(std::string_view value)
    {
        m_packer.pack_bin(static_cast<std::uint32_t>(value.size()));
        m_packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
    }
    void number(std::uint64_t value)
    {
        m_packer.pack_uint64(value);
    }
    /// Encodes small numbers in fewer bytes than number().
    void compactNumber(std::uint64_t value)
    {
        m_packer.pack(value);
    }
    void real(double value)
    {
        m_packer.pack_double(value);
    }
    void flag(bool value)
    {
        m_packer.pack(value);
    }
    /// Encodes @p value as whole nanoseconds.
    void duration(Duration value)
    {
        m_packer.pack(static_cast<std::int64_t>(value.count()));
    }
    /// Writes an array header for the @p count values that the caller writes next.
    void count(std::size_t count)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(count));
    }
    void absent()
    {
        m_packer.pack_nil();
    }

    /// Returns the bytes written so far and clears the writer.
    std::string take()
    {
        std::string bytes(m_buffer.data(), m_buffer.size());
        m_buffer.clear();
        return bytes;
    }

private:
    msgpack::sbuffer m_buffer;
    msgpack::packer<msgpack::sbuffer> m_packer;
};

} // namespace banyankeel
