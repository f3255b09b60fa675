#pragma once

// A message between nodes in the form sent by the transport: its type and its encoded fields.

#include <compare>
#include <cstdint>
#include <string>

namespace banyankeel
{

/// Types of all messages between nodes. The values are sent on the wire; each subsystem has its own range.
enum class MessageType : std::uint8_t {
    // Transport.
    HelloChallenge = 1,
    Hello = 2,
    Goodbye = 3,
    // Calls.
    CallRequest = 10,
    CallAnswer = 11,
    CallCancel = 12,
    CallBodyPart = 13,
    CallBodyCredit = 14,
    // Configuration.
    ConfigurationDigest = 30,
    ConfigurationPull = 31,
    ConfigurationDelta = 32,
    ConfigurationSnapshot = 33,
    // Membership.
    ViewExchange = 40,
    ViewAnswer = 41,
    Probe = 42,
    ProbeAnswer = 43,
    TargetAnnouncement = 44,
    DirectoryQuery = 45,
    DirectoryAnswer = 46,
    // Leases.
    HolderTable = 50,
    HolderTablePull = 51,
    LeaseHeartbeat = 52,
    LeasePromise = 53,
    // Quota.
    QuotaRequest = 60,
    QuotaGrant = 61,
    QuotaReturn = 62,
    QuotaShareMove = 63,
    QuotaShareMoved = 64,
    // Claims.
    ClaimSubmission = 70,
    ClaimAnswer = 71,
    ClaimOutcome = 72,
    // Quarantine.
    CrashReport = 80,
    // Operators.
    OperatorQuery = 90,
    OperatorAnswer = 91,
    // Meshes, whose call graph is published to the platform's store.
    NodeReport = 100,
    ConfigurationRequest = 101,
    ConfigurationDocument = 102,
    ReportBatch = 103,
};

/// A message between nodes. Immutable after construction.
struct Envelope {
    MessageType type;
    std::string payload;

    friend auto operator<=>(const Envelope &, const Envelope &) = default;
};

} // namespace banyankeel
