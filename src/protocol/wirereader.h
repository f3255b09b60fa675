#pragma once

// Reads the fields of a message in the order in which WireWriter wrote them.
//
//   WireReader reader(payload, "call request");
//   auto service = reader.name<ServiceName>("service");
//   reader.finish();

#include "state/time.h"

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyankeel
{

/// Reads msgpack values from a buffer that must outlive the reader. Not thread-safe.
/// Every read throws ProtocolError, naming the message and the field, if the next value is missing or of a different type.
class WireReader
{
public:
    /// @param message name of the message in error texts.
    WireReader(std::string_view payload, std::string_view message);

    std::string text(std::string_view field);
    /// Reads an Identifier, which was checked, if at all, where it was chosen.
    template<typename Name>
    Name name(std::string_view field)
    {
        return Name::verbatim(text(field));
    }
    std::string bytes(std::string_view field);
    std::uint64_t number(std::string_view field);
    /// Reads a number that must not exceed @p highest.
    std::uint64_t number(std::string_view field, std::uint64_t highest);
    double real(std::string_view field);
    bool flag(std::string_view field);
    Duration duration(std::string_view field);
    /// Reads the number of values that follow. It must not exceed @p highest, so that a corrupt count can't cause a large allocation.
    std::size_t count(std::string_view field, std::size_t highest);
    /// Reads the number of items of a list. The bytes that follow are its only limit, since an item takes at least one, so that whatever the sender has
    /// written can be read. Memory must be taken item by item.
    std::size_t itemCount(std::string_view field)
    {
        return count(field, m_payload.size() - m_offset);
    }
    /// If the next value is nil, consumes it and returns true; otherwise returns false.
    bool absent();

    /// Whether all values have been read.
    [[nodiscard]] bool isAtEnd() const
    {
        return m_offset == m_payload.size();
    }
    /// @throws ProtocolError if bytes remain.
    void finish() const;

private:
    msgpack::object next(std::string_view field);
    [[noreturn]] void fail(std::string_view field, std::string_view problem) const;

    std::string_view m_payload;
    std::string_view m_message;
    std::size_t m_offset = 0;
    msgpack::object_handle m_handle;
};

} // namespace banyankeel
