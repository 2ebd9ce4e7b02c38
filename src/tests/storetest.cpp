#define BOOST_TEST_MODULE Store
#include "standins/storetable.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct StoreTableFixture {
    StoreTable table;

    Outcome<Revision> put(const std::string &key, const std::string &value, Revision expected, LeaseId lease = {})
    {
        return table.commit({{{key, expected}}, {{key, value, lease}}});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreTableTest, StoreTableFixture)

// Guards against a transaction that applies some of its writes although a compare failed.
BOOST_AUTO_TEST_CASE(storeTableWithOneFailedCompareWritesNothing)
{
    const Outcome<Revision> first = put("a", "1", Revision());
    BOOST_REQUIRE(isOk(first));
    const StoreTransaction both {{{"a", valueOf(first)}, {"b", Revision(77)}}, {{"a", "2", {}}, {"b", "2", {}}}};
    BOOST_TEST((errorOf(table.commit(both)).code == ErrorCode::Conflict));
    BOOST_TEST(table.range("a", "z").values.size() == 1U);
    BOOST_TEST(table.range("a", "").values.front().value == "1");
}

// Guards against keys that remain after their lease has expired.
BOOST_AUTO_TEST_CASE(storeTableWithExpiredLeaseDeletesItsKeysAndRecordsTheChange)
{
    const LeaseId lease = table.grantLease(Timestamp(0), Milliseconds(100));
    BOOST_REQUIRE(isOk(put("leader", "b1", Revision(), lease)));
    BOOST_TEST(table.keepLeaseAlive(Timestamp(90), lease));
    table.expireLeases(Timestamp(189));
    BOOST_TEST(table.range("leader", "").values.size() == 1U);
    table.expireLeases(Timestamp(190));
    BOOST_TEST(table.range("leader", "").values.empty());
    BOOST_TEST(!table.keepLeaseAlive(Timestamp(190), lease));
    const auto changes = valueOf(table.changes("leader", "", Revision(1)));
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(!changes.back().value.has_value());
}

// Guards against a watch that skips compacted changes without an error.
BOOST_AUTO_TEST_CASE(storeTableAfterCompactionRefusesOldRevisions)
{
    BOOST_REQUIRE(isOk(put("a", "1", Revision())));
    table.compact();
    BOOST_TEST((errorOf(table.changes("a", "", Revision(1))).code == ErrorCode::NotFound));
    BOOST_TEST(valueOf(table.changes("a", "", Revision(table.revision().value() + 1))).empty());
}

BOOST_AUTO_TEST_SUITE_END()
