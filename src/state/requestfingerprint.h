#pragma once

// Detects repeats of the same request by the same organisation, regardless of their request ids.
//
//   RequestFingerprint fingerprint = RequestFingerprint::of(organisation, route, method, target, body);

#include "state/identifier.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace banyankeel
{

/// Organisation, route and a hash of the request. Not modified after construction.
struct RequestFingerprint {
    OrganisationId organisation;
    RouteName route;
    /// Hash of method, target and body.
    std::uint64_t requestHash;

    /// Deterministic across processes.
    static RequestFingerprint of(OrganisationId organisation, RouteName route, std::string_view method, std::string_view target, std::string_view body);

    friend auto operator<=>(const RequestFingerprint &, const RequestFingerprint &) = default;
};

} // namespace banyankeel

template<>
struct std::hash<banyankeel::RequestFingerprint> {
    std::size_t operator()(const banyankeel::RequestFingerprint &it) const noexcept
    {
        const std::size_t names = std::hash<banyankeel::OrganisationId>{}(it.organisation) * 31 + std::hash<banyankeel::RouteName>{}(it.route);
        return names ^ static_cast<std::size_t>(it.requestHash);
    }
};
