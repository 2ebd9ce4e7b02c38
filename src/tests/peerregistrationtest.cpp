#define BOOST_TEST_MODULE PeerRegistration
#include "node/peerregistration.h"
#include "tests/fakeconfigstore.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

using namespace rhubarblane;

namespace
{

struct PeerRegistrationFixture {
    /** Runs the steps that are due until `end` and expires leases as time advances. */
    void runUntil(std::int64_t end)
    {
        while (now < Timestamp(end)) {
            store.now = now;
            if (!pauseLeases) {
                store.table.expireLeases(now);
            }
            const Milliseconds wait = registration.step(now);
            now = now + std::max(wait, Milliseconds(1));
            longestWait = std::max(longestWait, wait);
        }
    }

    bool isStored(const std::string &name = "agent-1")
    {
        const std::vector<StoredValue> values = store.table.range("rhubarblane/", "rhubarblane0").values;
        return std::any_of(values.begin(), values.end(), [&name](const StoredValue &value) {
            return value.key == "rhubarblane/peers/" + name;
        });
    }

    /** Writes the entry of another process under a new lease, which it never renews. */
    void registerOther()
    {
        const LeaseId lease = store.table.grantLease(now, Milliseconds(10000));
        const Peer other {"agent-2", PeerRole::Agent, "a", {0x0a000002, 7720}, 900};
        store.table.commit({{}, {{"rhubarblane/peers/agent-2", toWire(other).SerializeAsString(), lease}}});
    }

    Timestamp now {1000};
    bool pauseLeases = false;
    Milliseconds longestWait;
    FakeConfigStore store;
    std::vector<Peer> named;
    std::vector<std::string> events;
    PeerRegistration registration {store,
                                   Peer {"agent-1", PeerRole::Agent, "a", {0x0a000001, 7720}, 1000},
                                   [this](const std::vector<Peer> &peers, LeaseHistory) { named = peers; },
                                   [this](const std::string &event, const std::string &) { events.push_back(event); }};
};

/** A balancer that is started again and again beside the same store. */
struct BalancerRegistrationFixture {
    /** Starts the process; the one before ends without notice. */
    void start()
    {
        ++incarnation;
        first.reset();
        registration.emplace(
            store,
            Peer {"balancer-1", PeerRole::Balancer, "a", {0x0a000001, 7720}, incarnation},
            [this](const std::vector<Peer> &, LeaseHistory leases) { first = first.value_or(leases); },
            [](const std::string &, const std::string &) {});
    }

    void run(std::int64_t milliseconds)
    {
        const Timestamp end = now + Milliseconds(milliseconds);
        while (now < end) {
            store.now = now;
            store.table.expireLeases(now);
            now = now + std::max(registration->step(now), Milliseconds(1));
        }
    }

    void startAndRun(std::int64_t milliseconds)
    {
        start();
        run(milliseconds);
    }

    bool isKept() const
    {
        return first == LeaseHistory::Kept;
    }

    Timestamp now {1000};
    std::uint64_t incarnation = 1000;
    FakeConfigStore store;
    std::optional<PeerRegistration> registration;
    /** What the last start learned of the leases with its first list. */
    std::optional<LeaseHistory> first;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerRegistrationTest, PeerRegistrationFixture)

// Guards against a process that its peers cannot discover because it writes no entry, and against one that stops
// reading at an entry it cannot parse.
BOOST_AUTO_TEST_CASE(registrationAtStartWritesEntryAndReadsOthers)
{
    const Peer other {"balancer-1", PeerRole::Balancer, "b", {0x0a000002, 7720}, 900};
    store.table.commit({{}, {{"rhubarblane/peers/balancer-1", toWire(other).SerializeAsString(), LeaseId()}}});
    store.table.commit({{}, {{"rhubarblane/peers/broken", "\xff\xff", LeaseId()}}});
    runUntil(1010);
    BOOST_TEST(isStored());
    BOOST_TEST(named.size() == 2u);
    BOOST_TEST((std::find(events.begin(), events.end(), "peerEntryUnreadable") != events.end()));
}

// Guards against an odd entry of another writer that is used, or that hides the other entries.
BOOST_AUTO_TEST_CASE(registrationWithOddEntriesReadsTheOthersAndFollowsLaterOnes)
{
    const Peer other {"balancer-1", PeerRole::Balancer, "b", {0x0a000002, 7720}, 900};
    wire::relay::Peer odd = toWire(other);
    odd.set_name("odd-port");
    odd.set_port(65536 + 7720);
    store.table.commit({{}, {{"rhubarblane/peers/odd-port", odd.SerializeAsString(), LeaseId()}}});
    odd = toWire(other);
    odd.set_name("odd-start");
    odd.set_incarnation(~0ULL);
    store.table.commit({{}, {{"rhubarblane/peers/odd-start", odd.SerializeAsString(), LeaseId()}}});
    store.table.commit({{}, {{"rhubarblane/peers/other-name", toWire(other).SerializeAsString(), LeaseId()}}});
    store.table.commit({{}, {{"rhubarblane/peers/", std::string(1 << 20, '['), LeaseId()}}});
    runUntil(1010);
    BOOST_TEST(isStored());
    BOOST_TEST(named.size() == 1u);
    store.table.commit({{}, {{"rhubarblane/peers/balancer-1", toWire(other).SerializeAsString(), LeaseId()}}});
    runUntil(7000);
    BOOST_TEST(named.size() == 2u);
    BOOST_TEST(std::count(events.begin(), events.end(), "peerEntryUnreadable") == 8);
}

// Guards against a lease that expires while the process is alive.
BOOST_AUTO_TEST_CASE(registrationRenewsLease)
{
    runUntil(60000);
    BOOST_TEST(isStored());
    BOOST_TEST(store.commits == 1);
}

// Guards against entries that stay missing for more than 2 s after the store is available again.
BOOST_AUTO_TEST_CASE(registrationAfterOutageWithLapsedLeaseWritesEntryWithinTwoSeconds)
{
    runUntil(5000);
    store.available = false;
    runUntil(30000);
    store.table.expireAllLeases();
    BOOST_TEST(!isStored());
    store.available = true;
    runUntil(now.milliseconds() + 2000);
    BOOST_TEST(isStored());
}

// Guards against a lease that expires in an outage too short for any call to fail. The entry must still be restored
// within 2 s, so the process must check its lease that often.
BOOST_AUTO_TEST_CASE(registrationWithAvailableStoreLooksAtItsLeaseWithinTwoSeconds)
{
    runUntil(60000);
    BOOST_TEST(longestWait.count() <= 2000);
}

// Guards against an entry that is missing in the store although renewals of its lease still succeed.
BOOST_AUTO_TEST_CASE(registrationWithEntryTakenAwayWritesItAgain)
{
    runUntil(5000);
    store.table.commit({{}, {{"rhubarblane/peers/agent-1", std::nullopt, LeaseId()}}});
    runUntil(11000);
    BOOST_TEST(isStored());
}

// Guards against a process that treats a write as done although its response was lost.
BOOST_AUTO_TEST_CASE(registrationWithLostAnswerWritesUntilItIsAcknowledged)
{
    store.loseRequests = 2;
    runUntil(4000);
    BOOST_TEST(isStored());
    BOOST_TEST(registration.isRegistered());
}

// Guards against a process that takes the lease of another one for its own after a restore of the store, which gives
// out the ids of leases again: it would prolong the other's entry, and its own entry would end with the other's lease.
BOOST_AUTO_TEST_CASE(registrationAfterRestoreOfStoreWritesEntryUnderNewLease)
{
    const StoreTable backup = store.table;
    runUntil(3000);
    store.restore(backup);
    registerOther();
    runUntil(5000);
    BOOST_TEST(isStored());
    BOOST_TEST(named.size() == 2u);
    // The other process has ended without a notice; a single renewal by this process may have prolonged its lease.
    runUntil(20000);
    BOOST_TEST(isStored());
    BOOST_TEST(!isStored("agent-2"));
}

// Guards against the same if the store is restored between the grant of the lease and the write of the entry.
BOOST_AUTO_TEST_CASE(registrationInRestoreOfStoreWritesEntryUnderNewLease)
{
    store.beforeCommit = [this, backup = store.table] {
        store.restore(backup);
        registerOther();
    };
    runUntil(20000);
    BOOST_TEST(isStored());
    BOOST_TEST(!isStored("agent-2"));
}

// Guards against a process that ends another one's lease when it stops right after a restore of the store.
BOOST_AUTO_TEST_CASE(registrationWithdrawnAfterRestoreOfStoreLeavesEntriesOfOthers)
{
    const StoreTable backup = store.table;
    runUntil(3000);
    store.restore(backup);
    registerOther();
    registration.withdraw();
    BOOST_TEST(isStored("agent-2"));
}

// Guards against balancers that wait for reports of a process that has ended.
BOOST_AUTO_TEST_CASE(registrationWithdrawnLeavesNoEntry)
{
    runUntil(2000);
    registration.withdraw();
    BOOST_TEST(!isStored());
}

BOOST_AUTO_TEST_SUITE_END()

// The list of a balancer that has just started must not count as complete if entries may have expired (review/10).
BOOST_FIXTURE_TEST_SUITE(BalancerRegistrationTest, BalancerRegistrationFixture)

// Guards against slow resets of lost flows after a power failure: an entry from before it proves that no lease expired.
BOOST_AUTO_TEST_CASE(balancerKilledBesideRunningStoreKnowsThatLeasesWereKept)
{
    startAndRun(4000);
    BOOST_TEST(!isKept());
    startAndRun(100);
    BOOST_TEST(isKept());
    // The entry that replaced the settled one is settled as well.
    startAndRun(100);
    BOOST_TEST(isKept());
}

// Guards against a list that counts as complete after an outage that was over before the process started.
BOOST_AUTO_TEST_CASE(balancerStartedAfterLeasesExpiredDoesNotTakeThemForKept)
{
    startAndRun(4000);
    store.table.expireAllLeases();
    startAndRun(100);
    BOOST_TEST(!isKept());
}

// Guards against the entry of a start between the outage and this one, which proves nothing of the time before.
BOOST_AUTO_TEST_CASE(balancerRestartedSoonAfterLeasesExpiredDoesNotTakeThemForKept)
{
    startAndRun(4000);
    store.table.expireAllLeases();
    for (const std::int64_t uptime : {10, 300, 1000, 2000}) {
        startAndRun(uptime);
        start();
        run(100);
        BOOST_TEST(!isKept());
        store.table.expireAllLeases();
    }
}

// Guards against the same for a process that went on through the outage and wrote its entry again.
BOOST_AUTO_TEST_CASE(balancerThatWroteItsEntryAgainIsNotSettledAtOnce)
{
    startAndRun(20000);
    store.table.expireAllLeases();
    run(2000);
    startAndRun(10);
    BOOST_TEST(!isKept());
    run(4000);
    startAndRun(10);
    BOOST_TEST(isKept());
}

// Guards against a settled entry in the backup of a restored store, which lacks the entries written since: callers of
// living flows would be reset at a balancer that does not know the flows' agents.
BOOST_AUTO_TEST_CASE(balancerStartedAfterRestoreOfStoreDoesNotTakeEntriesForComplete)
{
    startAndRun(4000);
    const StoreTable backup = store.table;
    for (const std::int64_t uptime : {10, 4000}) {
        startAndRun(uptime);
        store.restore(backup);
        startAndRun(10);
        BOOST_TEST(first.has_value());
        BOOST_TEST(!isKept());
        start();
        run(10);
        BOOST_TEST(!isKept());
    }
    // The entry that this start wrote has stood for as long as the others need to write theirs again.
    run(4000);
    startAndRun(10);
    BOOST_TEST(isKept());
}

// Guards against the same through the settled entry of another balancer in the backup, and against a balancer that
// settles its entry in the moment of the restore, or never again.
BOOST_AUTO_TEST_CASE(balancerThatGoesOnThroughRestoreOfStoreSettlesItsEntryAnew)
{
    startAndRun(100);
    store.beforeCommit = [this, backup = store.table] { store.restore(backup); };
    run(4000);
    BOOST_TEST(store.era.value() == 1u);
    wire::relay::Peer other = toWire({"balancer-10", PeerRole::Balancer, "a", {0x0a000002, 7720}, 900});
    other.set_settled(true);
    other.set_settled_era(1);
    store.table.commit({{}, {{"rhubarblane/peers/balancer-10", other.SerializeAsString(), LeaseId()}}});
    const StoreTable backup = store.table;
    store.restore(backup);
    run(2000);
    startAndRun(10);
    BOOST_TEST(!isKept());
    run(4000);
    startAndRun(10);
    BOOST_TEST(isKept());
}

// Guards against processes that could not register in an outage in which leases did not expire.
BOOST_AUTO_TEST_CASE(balancerWithFailedCallDoesNotTakeLeasesForKept)
{
    startAndRun(4000);
    start();
    store.available = false;
    run(10);
    store.available = true;
    run(900);
    BOOST_TEST(first.has_value());
    BOOST_TEST(!isKept());
}

// Guards against slow resets after planned restarts, which withdraw the own entry: those of other balancers count.
BOOST_AUTO_TEST_CASE(balancerRestartedBesideAnotherOneKnowsThatLeasesWereKept)
{
    startAndRun(10);
    wire::relay::Peer other = toWire({"balancer-10", PeerRole::Balancer, "a", {0x0a000002, 7720}, 900});
    other.set_settled(true);
    store.table.commit({{}, {{"rhubarblane/peers/balancer-10", other.SerializeAsString(), LeaseId()}}});
    registration->withdraw();
    startAndRun(10);
    BOOST_TEST(isKept());
}

// Guards against a settled entry that expires between the read and the write that replaces it.
BOOST_AUTO_TEST_CASE(balancerWhoseEarlierEntryExpiresDuringItsStartDoesNotTakeLeasesForKept)
{
    startAndRun(4000);
    start();
    store.beforeCommit = [this] {
        store.table.commit({{}, {{"rhubarblane/peers/balancer-1", std::nullopt, LeaseId()}}});
    };
    run(10);
    BOOST_TEST(first.has_value());
    BOOST_TEST(!isKept());
    BOOST_TEST(registration->isRegistered());
}

// Guards against a process that writes its entry at each step after the answer to a write was lost.
BOOST_AUTO_TEST_CASE(balancerWithLostAnswersSettlesItsEntryWithFewWrites)
{
    startAndRun(10);
    store.loseAnswers = 1;
    run(20000);
    BOOST_TEST(store.commits <= 5);
    startAndRun(10);
    BOOST_TEST(isKept());
}

BOOST_AUTO_TEST_SUITE_END()
