#include "coordination/configuration/routetable.h"

#include <algorithm>
#include <optional>

namespace banyankeel
{

namespace
{
// "/a/" and "/a" denote the same prefix.
std::string_view withoutTrailingSlash(std::string_view path)
{
    while (path.size() > 1 && path.back() == '/') {
        path.remove_suffix(1);
    }
    return path;
}

std::optional<unsigned> hexDigitValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return static_cast<unsigned>(digit - '0');
    }
    const auto letter = static_cast<char>(digit | 0x20);
    if (letter >= 'a' && letter <= 'f') {
        return static_cast<unsigned>(letter - 'a') + 10;
    }
    return std::nullopt;
}

// Absent if an escape is malformed or encodes '/' or NUL, which targets interpret differently.
std::optional<std::string> percentDecoded(std::string_view path)
{
    std::string text;
    for (std::size_t n = 0; n < path.size(); ++n) {
        if (path[n] != '%') {
            text += path[n];
            continue;
        }
        const auto high = n + 2 < path.size() ? hexDigitValue(path[n + 1]) : std::nullopt;
        const auto low = n + 2 < path.size() ? hexDigitValue(path[n + 2]) : std::nullopt;
        if (!high || !low) {
            return std::nullopt;
        }
        const auto byte = static_cast<char>(*high * 16 + *low);
        if (byte == '/' || byte == '\0') {
            return std::nullopt;
        }
        text += byte;
        n += 2;
    }
    return text;
}

// Targets normalise dot and empty segments, so a path with them could reach the resources of another route under the rules of this one.
bool hasAmbiguousSegment(std::string_view path)
{
    std::size_t begin = 1;
    while (begin < path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        const std::string_view segment = path.substr(begin, end - begin);
        if (segment.empty() || segment == "." || segment == "..") {
            return true;
        }
        begin = end + 1;
    }
    return false;
}

std::string_view parentOf(std::string_view path)
{
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos || path.size() == 1) {
        return {};
    }
    return slash == 0 ? path.substr(0, 1) : path.substr(0, slash);
}

// Sets share unchanged objects, so comparing addresses suffices.
bool sharesObjects(const ConfigurationSet &left, const ConfigurationSet &right, ObjectKind kind)
{
    const auto next = static_cast<ObjectKind>(static_cast<std::uint8_t>(kind) + 1);
    const auto end = left.objects().lower_bound({next, ""});
    const auto otherEnd = right.objects().lower_bound({next, ""});
    auto other = right.objects().lower_bound({kind, ""});
    for (auto it = left.objects().lower_bound({kind, ""}); it != end; ++it, ++other) {
        if (other == otherEnd || it->second != other->second) {
            return false;
        }
    }
    return other == otherEnd;
}
} // namespace

bool RouteEntry::isOpenTo(const OrganisationId &organisation) const
{
    return organisations.empty() || std::binary_search(organisations.begin(), organisations.end(), organisation);
}

RouteTable::RouteTable(const ConfigurationSet &set)
    : m_set(set)
{
    for (const Route *route : set.all<Route>()) {
        add(set, *route);
    }
}

std::shared_ptr<const RouteTable> RouteTable::reuseOrBuild(const ConfigurationSet &set, std::shared_ptr<const RouteTable> previous)
{
    const auto isSame = [&](ObjectKind kind) { return sharesObjects(previous->m_set, set, kind); };
    if (previous && isSame(ObjectKind::Route) && isSame(ObjectKind::Service) && isSame(ObjectKind::Priority)) {
        return previous;
    }
    return std::make_shared<const RouteTable>(set);
}

void RouteTable::add(const ConfigurationSet &set, const Route &route)
{
    const Service *service = set.find<Service>(ObjectKind::Service, route.service.text());
    const Priority *priority = set.find<Priority>(ObjectKind::Priority, route.priority.text());
    if (service == nullptr || priority == nullptr) {
        return;
    }
    RouteEntry entry{.route = route, .priority = priority->level, .service = *service, .organisations = route.organisations};
    std::sort(entry.organisations.begin(), entry.organisations.end());
    m_entries.emplace(std::string(withoutTrailingSlash(route.pathPrefix)), std::move(entry));
}

const RouteEntry *RouteTable::find(std::string_view requestTarget) const
{
    const auto text = percentDecoded(requestTarget.substr(0, requestTarget.find_first_of("?#")));
    if (!text || hasAmbiguousSegment(*text)) {
        return nullptr;
    }
    std::string_view path = withoutTrailingSlash(*text);
    while (!path.empty()) {
        if (const RouteEntry *entry = findExact(path)) {
            return entry;
        }
        path = withoutTrailingSlash(parentOf(path));
    }
    return nullptr;
}

const RouteEntry *RouteTable::findExact(std::string_view prefix) const
{
    const auto it = m_entries.find(prefix);
    return it == m_entries.end() ? nullptr : &it->second;
}

} // namespace banyankeel
