#pragma once

// Encodes the state types that several messages have in common.

#include "state/configurationobjects.h"
#include "state/configurationset.h"
#include "state/peer.h"
#include "state/shard.h"
#include "state/targetrecord.h"

namespace banyankeel
{

class WireReader;
class WireWriter;

void writePeer(WireWriter &writer, const Peer &peer);
/// @throws ProtocolError, IdentifierError, ValueError on malformed values, as do the other readers here.
Peer readPeer(WireReader &reader);

void writeTargetRecord(WireWriter &writer, const TargetRecord &record);
TargetRecord readTargetRecord(WireReader &reader);

void writeHolder(WireWriter &writer, const ShardHolder &holder);
ShardHolder readHolder(WireReader &reader);

void writeObject(WireWriter &writer, const ConfigurationObject &object);
ConfigurationObject readObject(WireReader &reader);

void writeObjectName(WireWriter &writer, const ObjectName &name);
ObjectName readObjectName(WireReader &reader);

void writeChange(WireWriter &writer, const ConfigurationChange &change);
ConfigurationChange readChange(WireReader &reader);

} // namespace banyankeel
