#include "coordination/feed/configurationfetcher.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
constexpr ConfigurationVersion Old{4};
constexpr ConfigurationVersion New{7};
constexpr ConfigurationVersion Newest{9};
const NodeId Near("near");
const NodeId Other("other");
const NodeId Remote("remote");

struct FetcherFixture {
    TimePoint now{100s};
    ConfigurationFetcherSettings settings;
    ConfigurationFetcher fetcher{settings};
};
} // namespace

BOOST_AUTO_TEST_SUITE(fetcher)

BOOST_FIXTURE_TEST_CASE(NobodyIsAskedForAVersionThatThisNodeHas, FetcherFixture)
{
    fetcher.recordVersion(Near, PeerDistance::Region, New);
    BOOST_CHECK(!fetcher.next(New, now));
    BOOST_CHECK(!fetcher.next(Newest, now));
}

BOOST_FIXTURE_TEST_CASE(OneRequestIsOutstandingAtATime, FetcherFixture)
{
    fetcher.recordVersion(Near, PeerDistance::Region, New);
    fetcher.recordVersion(Other, PeerDistance::Region, New);
    BOOST_CHECK(fetcher.next(Old, now) == Near);
    BOOST_CHECK(!fetcher.next(Old, now));
    now += settings.answerTimeout - 1ms;
    BOOST_CHECK(!fetcher.next(Old, now));
    now += 1ms;
    BOOST_CHECK(fetcher.next(Old, now) == Other);
}

// The older one may allow a key that has been withdrawn since.
BOOST_FIXTURE_TEST_CASE(ANodeWithoutAConfigurationAsksForTheNewest, FetcherFixture)
{
    fetcher.recordVersion(Near, PeerDistance::FailureDomain, New);
    fetcher.recordVersion(Other, PeerDistance::Region, Newest);
    BOOST_CHECK(fetcher.next(ConfigurationVersion{}, now) == Other);
}

BOOST_FIXTURE_TEST_CASE(ThePeerOfTheOwnFailureDomainIsAskedFirst, FetcherFixture)
{
    fetcher.recordVersion(Near, PeerDistance::Region, New);
    fetcher.recordVersion(Other, PeerDistance::FailureDomain, New);
    BOOST_CHECK(fetcher.next(Old, now) == Other);
}

BOOST_FIXTURE_TEST_CASE(AnotherRegionIsAskedOnlyAfterADelay, FetcherFixture)
{
    fetcher.recordVersion(Remote, PeerDistance::OtherRegion, New);
    BOOST_CHECK(!fetcher.next(Old, now));
    now += settings.remoteDelay - 1ms;
    BOOST_CHECK(!fetcher.next(Old, now));
    now += 1ms;
    BOOST_CHECK(fetcher.next(Old, now) == Remote);
}

BOOST_FIXTURE_TEST_CASE(TheDelayGrowsWithTheRankUpToALimit, FetcherFixture)
{
    fetcher.recordVersion(Remote, PeerDistance::OtherRegion, New);
    fetcher.setRegionRank(2);
    BOOST_CHECK(!fetcher.next(Old, now));
    now += settings.remoteDelay + settings.remoteDelayPerRank;
    BOOST_CHECK(!fetcher.next(Old, now));
    fetcher.setRegionRank(1'000);
    now += settings.maxRemoteDelay - settings.remoteDelay - settings.remoteDelayPerRank;
    BOOST_CHECK(fetcher.next(Old, now) == Remote);
}

BOOST_FIXTURE_TEST_CASE(APeerOfTheOwnRegionIsAskedWithoutDelayAlthoughAnotherRegionWasFirst, FetcherFixture)
{
    fetcher.recordVersion(Remote, PeerDistance::OtherRegion, New);
    BOOST_CHECK(!fetcher.next(Old, now));
    fetcher.recordVersion(Near, PeerDistance::Region, New);
    BOOST_CHECK(fetcher.next(Old, now) == Near);
}

BOOST_FIXTURE_TEST_CASE(ALostPeerIsReplacedAtOnce, FetcherFixture)
{
    fetcher.recordVersion(Near, PeerDistance::Region, New);
    fetcher.recordVersion(Other, PeerDistance::Region, New);
    BOOST_CHECK(fetcher.next(Old, now) == Near);
    fetcher.removePeer(Near);
    BOOST_CHECK(fetcher.next(Old, now) == Other);
}

BOOST_FIXTURE_TEST_CASE(AnEvenNewerVersionIsAskedForWhenADocumentHasArrived, FetcherFixture)
{
    fetcher.recordVersion(Near, PeerDistance::Region, New);
    fetcher.recordVersion(Other, PeerDistance::Region, Newest);
    BOOST_CHECK(fetcher.next(Old, now) == Near);
    fetcher.recordDocument(Near);
    BOOST_CHECK(fetcher.next(New, now) == Other);
}

BOOST_FIXTURE_TEST_CASE(APeerWhoseDocumentWasNotUsableIsNotAskedAgainAtOnce, FetcherFixture)
{
    fetcher.recordVersion(Near, PeerDistance::Region, New);
    BOOST_CHECK(fetcher.next(Old, now) == Near);
    fetcher.recordDocument(Near);
    BOOST_CHECK(!fetcher.next(Old, now));
    now += settings.answerTimeout;
    BOOST_CHECK(fetcher.next(Old, now) == Near);
}

BOOST_AUTO_TEST_SUITE_END()
