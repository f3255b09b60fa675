#pragma once

// Round-trip check for messages between nodes.
//
//   checkReadsBack(LeaseHeartbeat{...});

#include "protocol/envelope.h"
#include "state/errors.h"

#include <boost/test/unit_test.hpp>

#include <cstddef>

namespace banyankeel::testing
{

/// Checks that @p message is unchanged after encoding and decoding, and that every truncation, an extra byte and a different type are rejected.
template<typename Message>
void checkReadsBack(const Message &message)
{
    const Envelope whole = message.encode();
    BOOST_CHECK(Message::decode(whole) == message);
    for (std::size_t n = 0; n < whole.payload.size(); ++n) {
        BOOST_CHECK_THROW(Message::decode({whole.type, whole.payload.substr(0, n)}), Error);
    }
    BOOST_CHECK_THROW(Message::decode({whole.type, whole.payload + "x"}), ProtocolError);
    BOOST_CHECK_THROW(Message::decode({MessageType::Hello, whole.payload}), ProtocolError);
}

} // namespace banyankeel::testing
