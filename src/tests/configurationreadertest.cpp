#define BOOST_TEST_MODULE ConfigurationReader
#include "control/configurationreader.h"
#include "control/configurationwriter.h"
#include "tests/fakeconfigstore.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct ReaderFixture {
    FakeConfigStore store;
    bool candidate = true;
    ConfigurationCore core1 {{}};
    ConfigurationCore core2 {{}};
    ConfigurationReader reader1 = reader("one", core1);
    ConfigurationReader reader2 = reader("two", core2);
    int drains = 0;

    ConfigurationReader reader(const std::string &identity, ConfigurationCore &core)
    {
        ReaderSettings settings;
        settings.identity = identity;
        return {settings, store, core, [this] { return candidate; }, std::mt19937_64(3)};
    }

    void advance(Milliseconds span)
    {
        store.now = store.now + span;
        store.table.expireLeases(store.now);
    }

    /** Stores an operator's write through another balancer and returns its revision. */
    Revision write()
    {
        const std::string key = configurationKey(ResourceKind::Drain, "t" + std::to_string(++drains));
        return valueOf(store.table.commit(
            {{}, {{configurationVersionKey, "{}", {}}, {key, R"({"generation":1,"spec":{}})", {}}}}));
    }

    Milliseconds step(ConfigurationReader &reader) const
    {
        return reader.step(store.now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationReaderTest, ReaderFixture)

// Guards against two simultaneous readers, and against having no reader after the lease holder failed.
BOOST_AUTO_TEST_CASE(configurationReaderIsUniqueAndIsReplacedAfterItsLease)
{
    const Revision first = write();
    step(reader1);
    step(reader1);
    step(reader2);
    BOOST_TEST(reader1.isReader());
    BOOST_TEST(!reader2.isReader());
    BOOST_TEST((core1.current()->snapshot.revision == first));
    advance(Milliseconds(5000));
    step(reader2);
    BOOST_TEST(reader2.isReader());
}

// Guards against a reader that resumes after its lease expired and applies an old configuration or remains the reader.
BOOST_AUTO_TEST_CASE(configurationReaderPausedBeyondItsLeaseIsReplacedSafely)
{
    write();
    step(reader1);
    step(reader1);
    // The reader is paused after the store responded and before it applies the response.
    const ConfigurationSnapshot old = core1.current()->snapshot;
    advance(Milliseconds(60000));
    const Revision second = write();
    step(reader2);
    step(reader2);
    BOOST_TEST((core2.current()->snapshot.revision == second));
    BOOST_TEST(!core2.applySnapshot(old));
    step(reader1);
    BOOST_TEST(!reader1.isReader());
    step(reader1);
    BOOST_TEST(!reader1.isReader());
    BOOST_TEST(reader2.isReader());
}

// Guards against a reader that misses changes between two watches or after a compaction of the store.
BOOST_AUTO_TEST_CASE(configurationReaderResumesAfterCompaction)
{
    write();
    step(reader1);
    step(reader1);
    const int ranges = store.ranges;
    const Revision second = write();
    step(reader1);
    BOOST_TEST((core1.current()->snapshot.revision == second));
    BOOST_TEST(store.ranges == ranges);
    const Revision third = write();
    store.table.compact();
    step(reader1);
    step(reader1);
    BOOST_TEST((core1.current()->snapshot.revision == third));
    BOOST_TEST(core1.current()->configuration.drains.size() == 3U);
    BOOST_TEST(store.ranges == ranges + 1);
}

// Guards against applying a change to the wrong base when a write through this balancer advanced the configuration
// during the watch.
BOOST_AUTO_TEST_CASE(configurationReaderBehindALocalWriteKeepsAllObjects)
{
    write();
    step(reader1);
    step(reader1);
    store.onWatch = [this] {
        write();
        core1.applySnapshot(snapshotOf(valueOf(store.range(configurationPrefix))));
    };
    step(reader1);
    const Revision last = write();
    step(reader1);
    BOOST_TEST((core1.current()->snapshot.revision == last));
    BOOST_TEST(core1.current()->configuration.drains.size() == 3U);
}

// Guards against an entry of another writer that ends the process or hides the changes after it.
BOOST_AUTO_TEST_CASE(configurationReaderWithOddEntriesKeepsTheOthersAndFollowsLaterChanges)
{
    const std::string deep = std::string(10000, '[') + std::string(10000, ']');
    const std::vector<std::string> oddValues {
        R"({"generation":1,"spec":{"deadlineMs":"\ud800\u0041"}})",
        R"({"generation":1,"spec":{"deadlineMs":1e999}})",
        R"({"generation":1,"spec":{"deadlineMs":)" + std::string(400, '9') + "}}",
        R"({"generation":-1,"spec":{}})",
        R"({"generation":1,"spec":)" + deep + "}",
        deep,
        "\xff\xfe",
        "",
        R"({"generation":1,"spec":{"deadlineMs":")" + std::string(1 << 20, 'x') + "\"}}",
    };
    write();
    const auto storeOddEntries = [&](const std::string &group) {
        for (std::size_t i = 0; i < oddValues.size(); ++i) {
            const std::string key = configurationKey(ResourceKind::Drain, group + std::to_string(i));
            store.table.commit({{}, {{configurationVersionKey, "{}", {}}, {key, oddValues[i], {}}}});
        }
    };
    storeOddEntries("first-read-");
    step(reader1);
    step(reader1);
    BOOST_REQUIRE(reader1.isReader());
    BOOST_TEST(core1.current()->configuration.drains.size() == 1U);
    storeOddEntries("change-");
    step(reader1);
    const Revision last = write();
    step(reader1);
    BOOST_TEST((core1.current()->snapshot.revision == last));
    BOOST_TEST(core1.current()->configuration.drains.size() == 2U);
}

// Guards against a change without the version key that is never applied, or that stops the reader.
BOOST_AUTO_TEST_CASE(configurationReaderAfterChangeWithoutVersionKeyAppliesTheNextWrite)
{
    write();
    step(reader1);
    step(reader1);
    const std::string foreign = configurationKey(ResourceKind::Drain, "foreign");
    store.table.commit({{}, {{foreign, R"({"generation":1,"spec":{}})", {}}}});
    step(reader1);
    step(reader1);
    const Revision last = write();
    step(reader1);
    BOOST_TEST((core1.current()->snapshot.revision == last));
}

// Guards against retries without a delay while the store is unavailable, and against a reader that does not recover.
BOOST_AUTO_TEST_CASE(configurationReaderWithUnavailableStoreBacksOffAndRecovers)
{
    write();
    step(reader1);
    step(reader1);
    store.available = false;
    Milliseconds first;
    Milliseconds last;
    for (int i = 0; i < 10; ++i) {
        last = step(reader1);
        first = i == 0 ? last : first;
        BOOST_TEST((last >= Milliseconds(50) && last <= Milliseconds(5000)));
    }
    BOOST_TEST((last > first * 4));
    advance(Milliseconds(60000));
    store.available = true;
    const Revision later = write();
    for (int i = 0; i < 4; ++i) {
        step(reader1);
    }
    BOOST_TEST(reader1.isReader());
    BOOST_TEST((core1.current()->snapshot.revision == later));
}

// Guards against a lease that blocks all candidates because its holder lost the response that made it the reader.
BOOST_AUTO_TEST_CASE(configurationReaderWithLostElectionResponseRecognizesItsKey)
{
    write();
    advance(Milliseconds(10000));
    store.loseAnswers = 1;
    step(reader1);
    BOOST_TEST(!reader1.isReader());
    step(reader1);
    BOOST_TEST(reader1.isReader());
}

// Guards against store calls by balancers that are not candidates.
BOOST_AUTO_TEST_CASE(configurationReaderThatIsNoCandidateMakesNoCalls)
{
    candidate = false;
    step(reader1);
    BOOST_TEST(store.ranges + store.commits == 0);
}

BOOST_AUTO_TEST_SUITE_END()
