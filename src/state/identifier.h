#pragma once

// Strongly typed object names. Each kind has its own type, so that an organisation's name can't be passed as a key's.
//
//   OrganisationId organisation("lufthafen");                            // checked
//   ServiceName service = ServiceName::verbatim("Zertifikate und mehr");   // as it is

#include "state/errors.h"

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace banyankeel
{

namespace internal
{
/// Throws IdentifierError unless @p text consists of 1 to 64 letters, digits, '-', '_' and '.'.
void checkIdentifier(std::string_view kind, std::string_view text);
} // namespace internal

/// The name of an object of one kind. Immutable; copying it copies the string.
template<typename Tag>
class Identifier
{
public:
    /// @throws IdentifierError if @p text is empty, longer than 64 characters or contains characters other than letters, digits, '-', '_' and '.'.
    explicit Identifier(std::string text)
        : m_text(std::move(text))
    {
        internal::checkIdentifier(Tag::Kind, m_text);
    }

    /// Takes over a name that another system has chosen, or that has been checked where it was chosen: any text, which may need escaping where it is shown.
    static Identifier verbatim(std::string text)
    {
        return Identifier(std::move(text), Unchecked());
    }

    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }

    friend auto operator<=>(const Identifier &, const Identifier &) = default;

private:
    struct Unchecked {
    };

    Identifier(std::string text, Unchecked /*unused*/)
        : m_text(std::move(text))
    {
    }

    std::string m_text;
};

struct OrganisationTag {
    static constexpr std::string_view Kind = "organisation";
};
struct ServiceTag {
    static constexpr std::string_view Kind = "service";
};
struct RouteTag {
    static constexpr std::string_view Kind = "route";
};
struct KeyTag {
    static constexpr std::string_view Kind = "key";
};
struct PriorityTag {
    static constexpr std::string_view Kind = "priority";
};
struct LimitTag {
    static constexpr std::string_view Kind = "limit";
};
struct NodeTag {
    static constexpr std::string_view Kind = "node";
};
struct RegionTag {
    static constexpr std::string_view Kind = "region";
};
struct FailureDomainTag {
    static constexpr std::string_view Kind = "failure domain";
};
struct OperationTag {
    static constexpr std::string_view Kind = "operation";
};

using OrganisationId = Identifier<OrganisationTag>;
using ServiceName = Identifier<ServiceTag>;
using RouteName = Identifier<RouteTag>;
using KeyId = Identifier<KeyTag>;
using PriorityName = Identifier<PriorityTag>;
using LimitName = Identifier<LimitTag>;
/// A node and its local target have the same name.
using NodeId = Identifier<NodeTag>;
using RegionName = Identifier<RegionTag>;
using FailureDomainName = Identifier<FailureDomainTag>;
/// Identifies one publish operation of an operator, so that its outcome can be looked up if the response is lost.
using OperationId = Identifier<OperationTag>;

} // namespace banyankeel

template<typename Tag>
struct std::hash<banyankeel::Identifier<Tag>> {
    std::size_t operator()(const banyankeel::Identifier<Tag> &it) const noexcept
    {
        return std::hash<std::string>{}(it.text());
    }
};
