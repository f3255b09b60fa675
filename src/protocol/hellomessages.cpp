#include "protocol/hellomessages.h"

#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <limits>

namespace banyankeel
{

namespace
{
void requireType(const Envelope &envelope, MessageType type, const char *message)
{
    if (envelope.type != type) {
        throw ProtocolError(std::string(message) + ": unexpected message type");
    }
}
} // namespace

Envelope HelloChallenge::encode() const
{
    WireWriter writer;
    writer.compactNumber(version);
    writer.bytes(nonce);
    return {MessageType::HelloChallenge, writer.take()};
}

HelloChallenge HelloChallenge::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::HelloChallenge, "hello challenge");
    WireReader reader(envelope.payload, "hello challenge");
    const auto version = static_cast<std::uint32_t>(reader.number("version", std::numeric_limits<std::uint32_t>::max()));
    std::string nonce = reader.bytes("nonce");
    reader.finish();
    return {version, std::move(nonce)};
}

Envelope Hello::encode() const
{
    WireWriter writer;
    writer.bytes(description);
    writer.bytes(proof);
    return {MessageType::Hello, writer.take()};
}

Hello Hello::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::Hello, "hello");
    WireReader reader(envelope.payload, "hello");
    std::string description = reader.bytes("description");
    std::string proof = reader.bytes("proof");
    reader.finish();
    return {std::move(description), std::move(proof)};
}

} // namespace banyankeel
