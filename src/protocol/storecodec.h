#pragma once

// Encodes store requests and replies as bodies of HTTP messages.
//
//   std::string body = encodeStoreRequest(ReadRows{...});
//   StoreReply reply = decodeStoreReply(response.body);

#include "protocol/storemessages.h"

#include <string>
#include <string_view>

namespace banyankeel
{

std::string encodeStoreRequest(const StoreRequest &request);
/// @throws ProtocolError on malformed bytes, as does decodeStoreReply().
StoreRequest decodeStoreRequest(std::string_view bytes);

std::string encodeStoreReply(const StoreReply &reply);
StoreReply decodeStoreReply(std::string_view bytes);

} // namespace banyankeel
