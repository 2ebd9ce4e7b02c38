#define BOOST_TEST_MODULE TableWatcher
#include "node/tablewatcher.h"
#include "tests/fakeconfigstore.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace rhubarblane;

namespace
{

struct TableWatcherFixture {
    void write(const std::string &value)
    {
        store.table.commit({{}, {{"op/table", value, LeaseId()}}});
    }

    bool logged(const std::string &event) const
    {
        return std::find(events.begin(), events.end(), event) != events.end();
    }

    FakeConfigStore store;
    std::vector<std::uint64_t> versions;
    std::vector<std::string> events;
    TableWatcher watcher {store,
                          "op/table",
                          [](const std::string &value) -> Outcome<ServiceTable> {
                              if (value.find_first_not_of("0123456789") != std::string::npos) {
                                  return Error {ErrorCode::InvalidArgument, "version", "is no number"};
                              }
                              ServiceTable table;
                              table.version = TableVersion(std::stoull(value));
                              return table;
                          },
                          [this](const ServiceTable &table) { versions.push_back(table.version.value()); },
                          [this](const std::string &event, const std::string &) { events.push_back(event); }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TableWatcherTest, TableWatcherFixture)

// Guards against a start without the current table, and against missed changes.
BOOST_AUTO_TEST_CASE(watcherReadsTableAndFollowsChanges)
{
    write("7");
    watcher.step();
    write("9");
    watcher.step();
    watcher.step();
    BOOST_TEST((versions == std::vector<std::uint64_t> {7, 9}));
}

// Guards against a change that is lost when the store compacts its history between two watches.
BOOST_AUTO_TEST_CASE(watcherWithDroppedHistoryReadsTableAnew)
{
    write("7");
    watcher.step();
    write("9");
    store.table.compact();
    watcher.step();
    watcher.step();
    BOOST_TEST(logged("historyDropped"));
    BOOST_TEST(versions.back() == 9u);
}

// Guards against missing a change that was made while the store was unreachable.
BOOST_AUTO_TEST_CASE(watcherAfterOutageReadsTableAnew)
{
    write("7");
    watcher.step();
    store.available = false;
    BOOST_TEST(watcher.step().count() > 0);
    write("9");
    store.available = true;
    watcher.step();
    BOOST_TEST(versions.back() == 9u);
    BOOST_TEST(logged("storeLost"));
    BOOST_TEST(logged("storeRegained"));
}

// Guards against an unparsable table that replaces a valid one or stops the watch.
BOOST_AUTO_TEST_CASE(watcherWithUnreadableTableLogsAndGoesOn)
{
    write("7");
    watcher.step();
    write("broken");
    watcher.step();
    write("9");
    watcher.step();
    BOOST_TEST((versions == std::vector<std::uint64_t> {7, 9}));
    BOOST_TEST(logged("tableUnreadable"));
}

// Guards against a change that stays unknown while the watch waits on a silent connection.
BOOST_AUTO_TEST_CASE(watcherWithSilentWatchFindsChangeByCheck)
{
    write("7");
    watcher.step();
    BOOST_TEST(watcher.check());
    write("9");
    BOOST_TEST(watcher.check());
    BOOST_TEST(versions.back() == 9u);
    write("11");
    store.table.compact();
    BOOST_TEST(watcher.check());
    BOOST_TEST(versions.back() == 11u);
    store.available = false;
    BOOST_TEST(!watcher.check());
    BOOST_TEST(logged("tableCheckFailed"));
}

// Guards against keys that share the watched key as a prefix.
BOOST_AUTO_TEST_CASE(watcherIgnoresOtherKeysWithSamePrefix)
{
    write("7");
    store.table.commit({{}, {{"op/table2", "99", LeaseId()}}});
    watcher.step();
    store.table.commit({{}, {{"op/table2", "100", LeaseId()}}});
    watcher.step();
    BOOST_TEST((versions == std::vector<std::uint64_t> {7}));
}

BOOST_AUTO_TEST_SUITE_END()
