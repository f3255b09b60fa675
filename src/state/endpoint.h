#pragma once

// A network endpoint: an IP address and a port.
//
//   Endpoint endpoint = Endpoint::parse("127.0.0.1:7001");

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace banyankeel
{

/// An IP address in text form and a non-zero port. Immutable.
class Endpoint
{
public:
    /// @throws ValueError if @p address is not an IPv4 or IPv6 address or @p port is zero.
    Endpoint(std::string address, std::uint16_t port);

    /// Parses "address:port"; an IPv6 address is written in brackets.
    /// @throws ValueError if @p text has another form.
    static Endpoint parse(std::string_view text);

    [[nodiscard]] const std::string &address() const
    {
        return m_address;
    }
    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }
    [[nodiscard]] std::string text() const;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;

private:
    std::string m_address;
    std::uint16_t m_port;
};

} // namespace banyankeel

template<>
struct std::hash<banyankeel::Endpoint> {
    std::size_t operator()(const banyankeel::Endpoint &it) const noexcept
    {
        return std::hash<std::string>{}(it.address()) * 31 + it.port();
    }
};
