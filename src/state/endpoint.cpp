#include "state/endpoint.h"

#include "state/errors.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace banyankeel
{

namespace
{
bool isIpAddress(const std::string &address)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, address.c_str(), buffer.data()) == 1 || inet_pton(AF_INET6, address.c_str(), buffer.data()) == 1;
}

std::uint16_t parsePort(std::string_view text, std::string_view fullText)
{
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (ec != std::errc() || end != text.data() + text.size()) {
        throw ValueError("endpoint '" + std::string(fullText) + "': the port must be 1 to 65535");
    }
    return port;
}
} // namespace

Endpoint::Endpoint(std::string address, std::uint16_t port)
    : m_address(std::move(address))
    , m_port(port)
{
    if (!isIpAddress(m_address)) {
        throw ValueError("endpoint '" + m_address + "': an IPv4 or IPv6 address is expected");
    }
    if (m_port == 0) {
        throw ValueError("endpoint '" + m_address + "': the port must be 1 to 65535");
    }
}

Endpoint Endpoint::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        throw ValueError("endpoint '" + std::string(text) + "': address:port is expected");
    }
    std::string_view address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    }
    return {std::string(address), parsePort(text.substr(colon + 1), text)};
}

std::string Endpoint::text() const
{
    const bool isIpv6 = m_address.find(':') != std::string::npos;
    const std::string host = isIpv6 ? '[' + m_address + ']' : m_address;
    return host + ':' + std::to_string(m_port);
}

} // namespace banyankeel
