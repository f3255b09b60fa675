#include "node/securerandom.h"

#include "state/errors.h"

#include <openssl/rand.h>

#include <array>
#include <cstring>

namespace banyankeel
{

std::uint64_t secureRandomNumber()
{
    std::array<unsigned char, sizeof(std::uint64_t)> buf{};
    if (RAND_bytes(buf.data(), static_cast<int>(buf.size())) != 1) {
        throw Error("RAND_bytes() failed to generate random numbers");
    }
    std::uint64_t number = 0;
    std::memcpy(&number, buf.data(), buf.size());
    return number;
}

} // namespace banyankeel
