#include "coordination/configuration/keysecret.h"

#include "state/errors.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <cstring>

namespace banyankeel
{

namespace
{
constexpr std::size_t SaltBytes = 16;
constexpr std::size_t SecretBytes = 32;
constexpr std::size_t HashBytes = 32;

// Limits the hashing that an unauthenticated caller can cause.
constexpr std::size_t MaxPresentedBytes = 512;

std::string randomBytes(std::size_t size, const RandomSource &random)
{
    std::string bytes(size, '\0');
    for (std::size_t n = 0; n < size; n += sizeof(std::uint64_t)) {
        const std::uint64_t word = random();
        std::memcpy(bytes.data() + n, &word, sizeof(word));
    }
    return bytes;
}

std::string hexadecimal(std::string_view bytes)
{
    std::string text;
    for (const char byte : bytes) {
        text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    }
    return text;
}
} // namespace

std::optional<PresentedKey> PresentedKey::split(std::string_view text)
{
    const std::size_t dot = text.rfind('.');
    if (text.size() > MaxPresentedBytes || dot == std::string_view::npos || dot == 0 || dot + 1 == text.size()) {
        return std::nullopt;
    }
    return PresentedKey{text.substr(0, dot), text.substr(dot + 1)};
}

KeySecret::KeySecret(Key key, std::string text)
    : m_key(std::move(key))
    , m_text(std::move(text))
{
}

// The secret has 256 random bits, so a fast hash suffices: unlike a password it cannot be found by brute force.
KeySecret KeySecret::generate(const KeyId &name, const OrganisationId &organisation, const RandomSource &random)
{
    const std::string secret = hexadecimal(randomBytes(SecretBytes, random));
    std::string salt = randomBytes(SaltBytes, random);
    std::string hash = hashOf(salt, secret);
    return {Key{name, organisation, std::move(salt), std::move(hash)}, name.text() + "." + secret};
}

std::string KeySecret::hashOf(std::string_view salt, std::string_view secret)
{
    std::string input;
    input.reserve(salt.size() + secret.size());
    input.append(salt);
    input.append(secret);
    std::string hash(HashBytes, '\0');
    unsigned int size = 0;
    if (EVP_Digest(input.data(), input.size(), reinterpret_cast<unsigned char *>(hash.data()), &size, EVP_sha256(), nullptr) != 1 || size != HashBytes) {
        throw Error("key: field hash: SHA-256 is not available in the crypto library");
    }
    return hash;
}

bool KeySecret::matches(const Key &key, std::string_view secret)
{
    const std::string hash = hashOf(key.salt, secret);
    return key.hash.size() == hash.size() && CRYPTO_memcmp(key.hash.data(), hash.data(), hash.size()) == 0;
}

} // namespace banyankeel
