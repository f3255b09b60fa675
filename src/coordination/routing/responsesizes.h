#pragma once

// The size of the response that a request of a kind will probably get, learned from earlier ones.
//
//   ResponseSizes sizes;
//   sizes.record(kind, response.body.size());
//   request.bytes = body.size() + sizes.expected(kind);
//
// Answers a link between regions that large responses fill: their bytes count where a target across it is weighed against a near one.

#include "state/requestkind.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace banyankeel
{

/// Moving averages by kind of request. Not thread-safe. Keeps at most MaxKinds kinds; further ones are expected to have no body.
class ResponseSizes
{
public:
    static constexpr std::size_t MaxKinds = 4'096;

    /// @param bytes of the whole body of a response.
    void record(RequestKind kind, std::uint64_t bytes);
    /// In bytes; 0 for a kind without a response so far.
    [[nodiscard]] std::size_t expected(RequestKind kind) const;

private:
    std::unordered_map<RequestKind, double> m_means;
};

} // namespace banyankeel
