#include "transport/peerhello.h"

#include "protocol/hellomessages.h"
#include "protocol/statecodec.h"
#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>

namespace banyankeel
{

namespace
{
constexpr std::uint32_t ProtocolVersion = 1;
constexpr std::size_t NonceBytes = 32;

std::string randomNonce()
{
    std::array<unsigned char, NonceBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw Error("hello: the system gave no random bytes");
    }
    return {bytes.begin(), bytes.end()};
}

std::string encodedPeer(const Peer &peer)
{
    WireWriter writer;
    writePeer(writer, peer);
    return writer.take();
}

Peer decodedPeer(std::string_view description)
{
    WireReader reader(description, "hello");
    Peer peer = readPeer(reader);
    reader.finish();
    return peer;
}

std::string hmacSha256(std::string_view secret, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    const auto *bytes = reinterpret_cast<const unsigned char *>(text.data());
    if (HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes, text.size(), digest.data(), &size) == nullptr) {
        throw Error("hello: HMAC-SHA-256 is not available");
    }
    return {digest.begin(), digest.begin() + size};
}

// The time that this takes tells nothing of where the texts differ.
bool isSameSecret(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

HelloRole otherRole(HelloRole role)
{
    return role == HelloRole::Connector ? HelloRole::Acceptor : HelloRole::Connector;
}
} // namespace

PeerHello::PeerHello(HelloRole role, const Peer &self, std::string secret)
    : m_role(role)
    , m_description(encodedPeer(self))
    , m_secret(std::move(secret))
    , m_nonce(randomNonce())
{
    // The proof, and what encodes the lengths of both.
    constexpr std::size_t RestBytes = 64;
    if (m_description.size() + RestBytes > MaxHelloBytes) {
        throw ValueError("hello: field description: the names of node, region and failure domain take " + std::to_string(m_description.size())
                         + " bytes, at most " + std::to_string(MaxHelloBytes - RestBytes) + " allowed");
    }
}

Envelope PeerHello::challenge() const
{
    return HelloChallenge{ProtocolVersion, m_nonce}.encode();
}

std::optional<Envelope> PeerHello::receive(const Envelope &envelope)
{
    if (!m_otherNonce) {
        return receiveChallenge(envelope);
    }
    receiveHello(envelope);
    return std::nullopt;
}

Envelope PeerHello::receiveChallenge(const Envelope &envelope)
{
    HelloChallenge challenge = HelloChallenge::decode(envelope);
    if (challenge.version != ProtocolVersion) {
        throw ProtocolError("hello challenge: field version: " + std::to_string(challenge.version) + " found, " + std::to_string(ProtocolVersion) + " allowed");
    }
    if (challenge.nonce.size() != NonceBytes) {
        throw ProtocolError("hello challenge: field nonce: another length than " + std::to_string(NonceBytes) + " bytes");
    }
    m_otherNonce = std::move(challenge.nonce);
    return Hello{m_description, proofOf(m_role, m_description)}.encode();
}

void PeerHello::receiveHello(const Envelope &envelope)
{
    const Hello hello = Hello::decode(envelope);
    if (!isSameSecret(hello.proof, proofOf(otherRole(m_role), hello.description))) {
        throw ProtocolError("hello: field proof: made with another secret or for another connection");
    }
    // Read only after the proof, so that nobody without the secret reaches the reader of descriptions.
    m_peer = decodedPeer(hello.description);
}

std::string PeerHello::proofOf(HelloRole role, std::string_view description) const
{
    const bool isConnector = m_role == HelloRole::Connector;
    std::string text(role == HelloRole::Connector ? "banyankeel connector " : "banyankeel acceptor ");
    text.append(isConnector ? m_nonce : *m_otherNonce);
    text.append(isConnector ? *m_otherNonce : m_nonce);
    text.append(description);
    return hmacSha256(m_secret, text);
}

} // namespace banyankeel
