#include "protocol/statecodec.h"
#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;

BOOST_AUTO_TEST_SUITE(statecodec)

BOOST_AUTO_TEST_CASE(EveryKindOfObjectReadsBack)
{
    const ConfigurationChange change{
        .put =
            {
                Service{.name = ServiceName("einsatz"), .calls = {ServiceName("archiv")}, .maxExecutions = 2},
                Route{
                    .name = RouteName("issue"),
                    .service = ServiceName("einsatz"),
                    .pathPrefix = "/issue",
                    .priority = PriorityName("urgent"),
                    .isIdempotent = false,
                    .organisations = {OrganisationId("lufthafen")},
                },
                Organisation{.name = OrganisationId("lufthafen"), .limit = LimitName("large"), .weight = 4},
                Key{.name = KeyId("k1"), .organisation = OrganisationId("lufthafen"), .salt = "0123456789abcdef", .hash = std::string(32, '\1')},
                Priority{.name = PriorityName("urgent"), .level = PriorityLevel{0}},
                Limit{.name = LimitName("large"), .ratePerSecond = 200.5, .burst = 50},
                FleetRules{},
            },
        .removed = {{ObjectKind::Key, "k0"}},
    };
    WireWriter writer;
    writeChange(writer, change);
    const std::string payload = writer.take();
    WireReader reader(payload, "change");
    BOOST_CHECK(readChange(reader) == change);
    BOOST_CHECK_NO_THROW(reader.finish());
}

BOOST_AUTO_TEST_CASE(LongCountsReadBackAndCorruptOnesAreRejected)
{
    WireWriter writer;
    writer.count(70'000);
    const std::string payload = writer.take();
    WireReader reader(payload, "count");
    BOOST_CHECK_EQUAL(reader.count("items", 100'000), 70'000U);
    WireReader bounded(payload, "count");
    BOOST_CHECK_THROW(bounded.count("items", 10), ProtocolError);
    WireReader truncated(std::string_view(payload).substr(0, 3), "count");
    BOOST_CHECK_THROW(truncated.count("items", 100'000), ProtocolError);
}

BOOST_AUTO_TEST_SUITE_END()
