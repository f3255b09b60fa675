#include "state/endpoint.h"
#include "state/identifier.h"
#include "state/requestid.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;

BOOST_AUTO_TEST_SUITE(identifiers)

BOOST_AUTO_TEST_CASE(InvalidNameIsRejected)
{
    BOOST_CHECK_EQUAL(ServiceName::verbatim("a b\n").text(), "a b\n");
    BOOST_CHECK_THROW(ServiceName("a b"), IdentifierError);
    BOOST_CHECK_THROW(ServiceName(""), IdentifierError);
    BOOST_CHECK_THROW(ServiceName(std::string(65, 'a')), IdentifierError);
    BOOST_CHECK_EQUAL(ServiceName(std::string(64, 'a')).text().size(), 64U);
}

BOOST_AUTO_TEST_CASE(InvalidEndpointIsRejected)
{
    BOOST_CHECK_THROW(Endpoint::parse("127.0.0.1:0"), ValueError);
    BOOST_CHECK_THROW(Endpoint::parse("127.0.0.1:65536"), ValueError);
    BOOST_CHECK_THROW(Endpoint::parse("host:80"), ValueError);
    BOOST_CHECK_THROW(Endpoint::parse("127.0.0.1"), ValueError);
    BOOST_CHECK_EQUAL(Endpoint::parse("[::1]:80").text(), "[::1]:80");
}

BOOST_AUTO_TEST_CASE(DerivedIdDependsOnOrganisationAndIdempotencyKey)
{
    const RequestId first = RequestId::derive("lufthafen", "order-1");
    BOOST_CHECK(first == RequestId::derive("lufthafen", "order-1"));
    BOOST_CHECK(first != RequestId::derive("bergwind", "order-1"));
    BOOST_CHECK(RequestId::derive("ab", "c") != RequestId::derive("a", "bc"));
    BOOST_CHECK(RequestId::parse(first.text()) == first);
    BOOST_CHECK_THROW(RequestId::parse("12"), ValueError);
}

BOOST_AUTO_TEST_SUITE_END()
