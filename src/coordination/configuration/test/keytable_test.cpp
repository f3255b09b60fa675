#include "coordination/configuration/keysecret.h"
#include "coordination/configuration/keytable.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;

namespace
{
const KeyId CrewDesk("crew.desk");
const OrganisationId Lufthafen("lufthafen");

KeySecret crewDeskKey()
{
    return KeySecret::generate(CrewDesk, Lufthafen, seededRandom(1));
}

ConfigurationSet setWith(const Key &key)
{
    return ConfigurationSet().with({.put = {key}, .removed = {}}, 1);
}

Reason reasonOf(const KeyLookup &lookup)
{
    const Reason *reason = std::get_if<Reason>(&lookup);
    return reason == nullptr ? Reason::None : *reason;
}
} // namespace

BOOST_AUTO_TEST_SUITE(keytable)

BOOST_AUTO_TEST_CASE(KeyMapsToItsOrganisation)
{
    const KeySecret secret = crewDeskKey();
    const KeyTable table(setWith(secret.key()));
    const KeyLookup lookup = table.lookUp(secret.text());
    BOOST_REQUIRE(std::holds_alternative<KeyOwner>(lookup));
    BOOST_CHECK(std::get<KeyOwner>(lookup) == (KeyOwner{CrewDesk, Lufthafen}));
    BOOST_CHECK(!table.refusalReason(std::get<KeyOwner>(lookup)));
}

BOOST_AUTO_TEST_CASE(WrongOrMalformedSecretIsUnknown)
{
    const KeySecret secret = crewDeskKey();
    const KeyTable table(setWith(secret.key()));
    std::string changed = secret.text();
    changed.back() = changed.back() == '0' ? '1' : '0';
    const std::string tooLong = secret.text() + std::string(1000, '0');
    for (const std::string &text :
         {changed, tooLong, secret.text() + "0", std::string("crew.desk"), std::string("crew.desk."), std::string(".x"), std::string()}) {
        BOOST_CHECK(reasonOf(table.lookUp(text)) == Reason::UnknownKey);
    }
}

BOOST_AUTO_TEST_CASE(SecretIsNotStored)
{
    const KeySecret secret = crewDeskKey();
    const std::string plain = secret.text().substr(CrewDesk.text().size() + 1);
    BOOST_CHECK_EQUAL(secret.key().hash.size(), 32U);
    BOOST_CHECK_EQUAL(secret.key().salt.size(), 16U);
    BOOST_CHECK(secret.key().hash.find(plain) == std::string::npos);
    BOOST_CHECK(KeySecret::hashOf(std::string(16, 'x'), plain) != secret.key().hash);
}

BOOST_AUTO_TEST_CASE(WithdrawnKeyIsRefusedForNewRequestsAndWorkInProgress)
{
    const KeySecret secret = crewDeskKey();
    const KeyTable before(setWith(secret.key()));
    const KeyOwner owner = std::get<KeyOwner>(before.lookUp(secret.text()));
    const KeyTable after(setWith(secret.key()).with({.put = {}, .removed = {{ObjectKind::Key, CrewDesk.text()}}}, 2), &before);
    BOOST_CHECK(reasonOf(after.lookUp(secret.text())) == Reason::WithdrawnKey);
    BOOST_CHECK(after.refusalReason(owner) == Reason::WithdrawnKey);
    BOOST_CHECK(after.newlyWithdrawn() == std::vector<KeyId>{CrewDesk});

    const KeyTable later(ConfigurationSet().with({}, 3), &after);
    BOOST_CHECK(later.newlyWithdrawn().empty());
    BOOST_CHECK(reasonOf(later.lookUp(secret.text())) == Reason::WithdrawnKey);
}

BOOST_AUTO_TEST_CASE(KeyGrantedToAnotherOrganisationIsRefusedForTheFirst)
{
    const KeySecret secret = crewDeskKey();
    const KeyTable before(setWith(secret.key()));
    const KeyOwner owner = std::get<KeyOwner>(before.lookUp(secret.text()));
    Key moved = secret.key();
    moved.organisation = OrganisationId("bergwacht");
    const KeyTable after(setWith(moved), &before);
    BOOST_CHECK(after.refusalReason(owner) == Reason::WithdrawnKey);
}

BOOST_AUTO_TEST_SUITE_END()
