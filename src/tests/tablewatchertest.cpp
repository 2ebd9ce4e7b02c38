#define BOOST_TEST_MODULE TableWatcher
#include "node/tablewatcher.h"
#include "tests/fakeconfigstore.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace rhubarblane;

namespace
{

struct TableWatcherFixture {
    static Outcome<ServiceTable> decode(const std::string &value)
    {
        if (value.find_first_not_of("0123456789") != std::string::npos) {
            return Error {ErrorCode::InvalidArgument, "version", "is no number"};
        }
        ServiceTable table;
        table.version = TableVersion(std::stoull(value));
        return table;
    }

    void write(const std::string &value)
    {
        store.table.commit({{}, {{"op/table", value, LeaseId()}}});
    }

    bool logged(const std::string &event) const
    {
        return std::find(events.begin(), events.end(), event) != events.end();
    }

    void setEvacuation(const std::string &zone, const std::optional<std::string> &value)
    {
        store.table.commit({{}, {{"op/evacuate/" + zone, value, LeaseId()}}});
    }

    /** Returns the zones of the last published state, and how many states were published, for example "a,b 2". */
    std::string lastEvacuations() const
    {
        return evacuations.empty() ? "none"
                                   : joinNames(evacuations.back().zones) + " " + std::to_string(evacuations.size());
    }

    FakeConfigStore store;
    std::vector<std::uint64_t> versions;
    std::vector<std::string> events;
    std::vector<EvacuatedZones> evacuations;
    TableWatcher watcher {store,
                          "op/table",
                          decode,
                          [this](const ServiceTable &table) { versions.push_back(table.version.value()); },
                          [this](const std::string &event, const std::string &) { events.push_back(event); }};
    /** A watcher of a deployment with evacuations. */
    TableWatcher evacuationWatcher {
        store,
        "op/table",
        decode,
        [this](const ServiceTable &table) { versions.push_back(table.version.value()); },
        [this](const std::string &event, const std::string &) { events.push_back(event); },
        {"op/evacuate/",
         [](const std::string &value) { return value == "{}" ? std::nullopt : std::optional<Error>(Error()); }},
        [this](const EvacuatedZones &state) { evacuations.push_back(state); }};
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

// Guards against evacuations that cost calls of their own, and against missed ones.
BOOST_AUTO_TEST_CASE(watcherOfTableAndEvacuationsFollowsBothWithOneWatch)
{
    write("7");
    setEvacuation("a", "{}");
    evacuationWatcher.step();
    BOOST_TEST(store.ranges == 1);
    BOOST_TEST(lastEvacuations() == "a 1");
    BOOST_TEST((evacuations.back().asOf == StorePosition {store.era, store.table.revision()}));
    setEvacuation("b", "{}");
    write("9");
    setEvacuation("a", std::nullopt);
    evacuationWatcher.step();
    BOOST_TEST(store.ranges == 1);
    BOOST_TEST(lastEvacuations() == "b 2");
    BOOST_TEST((versions == std::vector<std::uint64_t> {7, 9}));
    evacuationWatcher.step();
    BOOST_TEST(lastEvacuations() == "b 2");
}

// Guards against an evacuation that lasts forever since its end was compacted, or while the store was unreachable.
BOOST_AUTO_TEST_CASE(watcherWithMissedRemovalReadsEvacuationsAnew)
{
    setEvacuation("a", "{}");
    evacuationWatcher.step();
    setEvacuation("a", std::nullopt);
    store.table.compact();
    evacuationWatcher.step();
    evacuationWatcher.step();
    BOOST_TEST(lastEvacuations() == " 2");
    setEvacuation("b", "{}");
    evacuationWatcher.step();
    store.available = false;
    evacuationWatcher.step();
    setEvacuation("b", std::nullopt);
    store.available = true;
    evacuationWatcher.step();
    BOOST_TEST(lastEvacuations() == " 4");
}

// Guards against an evacuation that stays unknown while the watch waits on a silent connection, and against a check
// that publishes a state without the changes that only the watch has seen.
BOOST_AUTO_TEST_CASE(watcherWithSilentWatchFindsEvacuationByCheck)
{
    evacuationWatcher.step();
    setEvacuation("a", "{}");
    evacuationWatcher.step();
    BOOST_TEST(evacuationWatcher.check());
    BOOST_TEST(lastEvacuations() == "a 3");
    setEvacuation("b", "{}");
    BOOST_TEST(evacuationWatcher.check());
    BOOST_TEST(lastEvacuations() == "a,b 4");
}

// Guards against a table or an evacuation of a restored store that stays unknown because the watch, or the check,
// continues from its revision, and against an evacuation of the store before that stays in force.
BOOST_AUTO_TEST_CASE(watcherAfterRestoreOfStoreReadsAllAnew)
{
    write("7");
    const StoreTable backup = store.table;
    for (const std::uint64_t era : {1, 2}) {
        setEvacuation("a", "{}");
        evacuationWatcher.step();
        BOOST_TEST(evacuationWatcher.check());
        store.restore(backup);
        setEvacuation("b", "{}");
        write(std::to_string(7 + era));
        BOOST_TEST(evacuationWatcher.check());
        BOOST_TEST(versions.back() == 7 + era);
        BOOST_TEST(joinNames(evacuations.back().zones) == "b");
        BOOST_TEST(evacuations.back().asOf.era.value() == era);
        const std::size_t published = evacuations.size();
        evacuationWatcher.step();
        evacuationWatcher.step();
        BOOST_TEST(joinNames(evacuations.back().zones) == "b");
        BOOST_TEST(evacuations.size() > published);
    }
    BOOST_TEST(!logged("storeLost"));
}

// Guards against full reads without a pause while the answers of a faulty store come from different eras.
BOOST_AUTO_TEST_CASE(watcherOfStoreWithChangingEraPausesBetweenReads)
{
    const auto watchInNextEra = [this] {
        store.onWatch = [this] { store.era = StoreEra(store.era.value() + 1); };
        return evacuationWatcher.step();
    };
    for (const bool first : {true, false, false}) {
        BOOST_TEST(evacuationWatcher.step().count() == 0);
        BOOST_TEST((watchInNextEra().count() == 0) == first);
    }
    evacuationWatcher.step();
    evacuationWatcher.step();
    BOOST_TEST(watchInNextEra().count() == 0);
}

// Guards against input errors of operators that evacuate a zone, stop the watch or fill the log.
BOOST_AUTO_TEST_CASE(watcherWithInvalidEvacuationsLogsEachOnceAndEvacuatesOtherZones)
{
    for (int i = 0; i < 3; ++i) {
        setEvacuation("a", "7");
        setEvacuation("", "{}");
        setEvacuation("b/c", "{}");
        setEvacuation(std::string(65, 'x'), "{}");
        setEvacuation("d", "{}");
        evacuationWatcher.step();
        BOOST_TEST(evacuationWatcher.check());
    }
    BOOST_TEST(joinNames(evacuations.back().zones) == "d");
    BOOST_TEST(std::count(events.begin(), events.end(), "evacuationInvalid") == 4);
    setEvacuation("d", "broken");
    evacuationWatcher.step();
    BOOST_TEST(evacuations.back().zones.empty());
}

BOOST_AUTO_TEST_SUITE_END()
