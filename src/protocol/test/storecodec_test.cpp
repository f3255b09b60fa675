#include "protocol/storecodec.h"
#include "state/errors.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;

namespace
{
const std::string BinaryBytes("\x00\xff\x80", 3);

std::vector<StoreRequest> sampleRequests()
{
    const RowKey key{"leases", BinaryBytes};
    return {
        ReadRows{{key, {"claims", ""}}},
        ListRows{.table = "roster", .prefix = "a/", .after = "a/b", .limit = 100},
        WriteRows{{{key, RowAction::Put, std::nullopt, BinaryBytes}, {key, RowAction::Remove, 0, ""}, {key, RowAction::Check, 300, ""}}},
        PutObject{"configuration/7", BinaryBytes},
        GetObject{"configuration/7"},
    };
}

std::vector<StoreReply> sampleReplies()
{
    const RowKey key{"leases", BinaryBytes};
    return {
        RowsRead{{{key, BinaryBytes, 70'000}}},
        RowsWritten{},
        WriteConflict{{key}},
        ObjectPut{},
        ObjectRead{BinaryBytes},
        ObjectRead{std::nullopt},
        StoreFailure{RunState::MayHaveRun, "outage"},
    };
}
} // namespace

BOOST_AUTO_TEST_SUITE(storecodec)

BOOST_AUTO_TEST_CASE(EncodedMessagesReadBack)
{
    for (const StoreRequest &it : sampleRequests()) {
        BOOST_CHECK(decodeStoreRequest(encodeStoreRequest(it)) == it);
    }
    for (const StoreReply &it : sampleReplies()) {
        BOOST_CHECK(decodeStoreReply(encodeStoreReply(it)) == it);
    }
}

BOOST_AUTO_TEST_CASE(EveryTruncationIsRejected)
{
    for (const StoreRequest &it : sampleRequests()) {
        const std::string whole = encodeStoreRequest(it);
        for (std::size_t n = 0; n < whole.size(); ++n) {
            BOOST_CHECK_THROW(decodeStoreRequest(whole.substr(0, n)), ProtocolError);
        }
        BOOST_CHECK_THROW(decodeStoreRequest(whole + "x"), ProtocolError);
    }
    for (const StoreReply &it : sampleReplies()) {
        const std::string whole = encodeStoreReply(it);
        for (std::size_t n = 0; n < whole.size(); ++n) {
            BOOST_CHECK_THROW(decodeStoreReply(whole.substr(0, n)), ProtocolError);
        }
        BOOST_CHECK_THROW(decodeStoreReply(whole + "x"), ProtocolError);
    }
}

BOOST_AUTO_TEST_SUITE_END()
