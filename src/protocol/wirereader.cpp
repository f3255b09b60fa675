#include "protocol/wirereader.h"

#include "state/errors.h"

namespace banyankeel
{

namespace
{
constexpr unsigned char NilByte = 0xc0;

// Messages are encoded without nesting.
constexpr std::size_t MaxDepth = 2;
constexpr std::size_t MaxItems = 1U << 20U;

bool isArrayByte(unsigned char byte)
{
    return (byte & 0xf0U) == 0x90U || byte == 0xdcU || byte == 0xddU;
}
} // namespace

WireReader::WireReader(std::string_view payload, std::string_view message)
    : m_payload(payload)
    , m_message(message)
{
}

msgpack::object WireReader::next(std::string_view field)
{
    if (m_offset >= m_payload.size()) {
        fail(field, "missing");
    }
    try {
        const std::size_t size = m_payload.size();
        const msgpack::unpack_limit limit(MaxItems, MaxItems, size, size, size, MaxDepth);
        msgpack::unpack(m_handle, m_payload.data(), size, m_offset, nullptr, nullptr, limit);
    } catch (const msgpack::unpack_error &) {
        fail(field, "malformed msgpack value");
    }
    return m_handle.get();
}

std::string WireReader::text(std::string_view field)
{
    const msgpack::object value = next(field);
    if (value.type != msgpack::type::STR) {
        fail(field, "not a string");
    }
    return {value.via.str.ptr, value.via.str.size};
}

std::string WireReader::bytes(std::string_view field)
{
    const msgpack::object value = next(field);
    if (value.type != msgpack::type::BIN) {
        fail(field, "not binary data");
    }
    return {value.via.bin.ptr, value.via.bin.size};
}

std::uint64_t WireReader::number(std::string_view field)
{
    const msgpack::object value = next(field);
    if (value.type != msgpack::type::POSITIVE_INTEGER) {
        fail(field, "not a non-negative integer");
    }
    return value.via.u64;
}

std::uint64_t WireReader::number(std::string_view field, std::uint64_t highest)
{
    const std::uint64_t value = number(field);
    if (value > highest) {
        fail(field, "value exceeds the maximum");
    }
    return value;
}

double WireReader::real(std::string_view field)
{
    const msgpack::object value = next(field);
    // The packer encodes a real number without a fractional part as an integer.
    switch (value.type) {
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64:
        return value.via.f64;
    case msgpack::type::POSITIVE_INTEGER:
        return static_cast<double>(value.via.u64);
    case msgpack::type::NEGATIVE_INTEGER:
        return static_cast<double>(value.via.i64);
    default:
        fail(field, "not a real number");
    }
}

bool WireReader::flag(std::string_view field)
{
    const msgpack::object value = next(field);
    if (value.type != msgpack::type::BOOLEAN) {
        fail(field, "not a boolean");
    }
    return value.via.boolean;
}

Duration WireReader::duration(std::string_view field)
{
    const msgpack::object value = next(field);
    if (value.type == msgpack::type::POSITIVE_INTEGER) {
        if (value.via.u64 > static_cast<std::uint64_t>(Duration::max().count())) {
            fail(field, "value exceeds the maximum");
        }
        return Duration(static_cast<std::int64_t>(value.via.u64));
    }
    if (value.type == msgpack::type::NEGATIVE_INTEGER) {
        return Duration(value.via.i64);
    }
    fail(field, "not a duration");
}

std::size_t WireReader::count(std::string_view field, std::size_t highest)
{
    if (m_offset >= m_payload.size()) {
        fail(field, "missing");
    }
    // Consumes only the array header; the caller reads the elements one by one.
    const auto first = static_cast<unsigned char>(m_payload[m_offset]);
    if (!isArrayByte(first)) {
        fail(field, "not an array header");
    }
    std::size_t headerSize = 1;
    std::size_t count = first & 0x0fU;
    if (first == 0xdcU || first == 0xddU) {
        const std::size_t width = first == 0xdcU ? 2 : 4;
        if (m_payload.size() - m_offset <= width) {
            fail(field, "truncated array header");
        }
        count = 0;
        for (std::size_t n = 1; n <= width; ++n) {
            count = (count << 8U) | static_cast<unsigned char>(m_payload[m_offset + n]);
        }
        headerSize += width;
    }
    if (count > highest) {
        fail(field, "value exceeds the maximum");
    }
    m_offset += headerSize;
    return count;
}

bool WireReader::absent()
{
    if (m_offset < m_payload.size() && static_cast<unsigned char>(m_payload[m_offset]) == NilByte) {
        ++m_offset;
        return true;
    }
    return false;
}

void WireReader::finish() const
{
    if (m_offset != m_payload.size()) {
        fail("end", "trailing bytes");
    }
}

void WireReader::fail(std::string_view field, std::string_view problem) const
{
    throw ProtocolError(std::string(m_message) + ": field " + std::string(field) + ": " + std::string(problem));
}

} // namespace banyankeel
