#include "state/identifier.h"

#include <algorithm>
#include <cctype>

namespace banyankeel::internal
{

namespace
{
constexpr std::size_t MaxIdentifierLength = 64;

bool isIdentifierCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
}
} // namespace

void checkIdentifier(std::string_view kind, std::string_view text)
{
    if (text.empty()) {
        throw IdentifierError(std::string(kind) + ": the name is empty");
    }
    if (text.size() > MaxIdentifierLength) {
        throw IdentifierError(std::string(kind) + ": the name has " + std::to_string(text.size()) + " characters, at most 64 are allowed");
    }
    if (!std::all_of(text.begin(), text.end(), isIdentifierCharacter)) {
        throw IdentifierError(std::string(kind) + " '" + std::string(text) + "': only letters, digits, '-', '_' and '.' are allowed");
    }
}

} // namespace banyankeel::internal
