#define BOOST_TEST_MODULE GroupView
#include "agent/groupview.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>

using namespace rhubarblane;

namespace
{

/** Members of one group on a network with 2 ms latency and links that can be blocked. */
struct GroupFixture {
    struct Member {
        GroupView view;
        Milliseconds clockOffset;
        bool paused = false;
        bool atMostOnce = true;
    };
    struct Datagram {
        std::int64_t due;
        std::size_t from;
        std::size_t to;
        wire::Envelope message;
    };

    std::int64_t now = 1000;
    std::vector<Member> members;
    std::deque<Datagram> network;
    std::set<std::pair<std::size_t, std::size_t>> blockedLinks;

    static PeerAddress addressOf(std::size_t index)
    {
        return PeerAddress {static_cast<std::uint32_t>(index + 1), 7000};
    }

    std::size_t add(std::uint64_t target, std::uint64_t incarnation = 1)
    {
        wire::TargetEntry entry;
        entry.set_target(target);
        entry.set_incarnation(incarnation);
        entry.set_sequence(1);
        entry.set_state(wire::JOINING);
        *entry.mutable_address() = toWire(addressOf(members.size()));
        members.push_back({GroupView(entry), Milliseconds(1000 * static_cast<std::int64_t>(members.size()))});
        return members.size() - 1;
    }

    Timestamp time(std::size_t index) const
    {
        return Timestamp(now) + members[index].clockOffset;
    }

    /** Merges the entries of all members into one member's view, as sent by a balancer, and starts it. */
    void start(std::size_t index)
    {
        for (std::size_t other = 0; other < members.size(); ++other) {
            members[index].view.mergeFromBalancer(time(index), members[other].view.self());
        }
        members[index].view.start(time(index), ServiceId(7), true);
    }

    void startGroup(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            add(i + 1);
        }
        for (std::size_t i = 0; i < size; ++i) {
            start(i);
        }
        run(1500);
    }

    GroupView &view(std::size_t index)
    {
        return members[index].view;
    }

    bool hasMajority(std::size_t index)
    {
        return view(index).hasMajority(time(index));
    }

    wire::MemberState stateOf(std::size_t observer, std::uint64_t target)
    {
        const wire::TargetEntry *entry = view(observer).roster().find(TargetId(target));
        return entry == nullptr ? wire::GONE : entry->state();
    }

    void blockLinks(std::size_t a, std::size_t b)
    {
        blockedLinks.insert({a, b});
        blockedLinks.insert({b, a});
    }

    void collect(std::size_t index)
    {
        for (SendMessage &message : view(index).takeMessages(time(index))) {
            const std::size_t to = message.to.address - 1;
            if (to < members.size()) {
                network.push_back({now + 2, index, to, std::move(message.message)});
            }
        }
    }

    void step()
    {
        ++now;
        while (!network.empty() && network.front().due <= now) {
            const Datagram datagram = std::move(network.front());
            network.pop_front();
            if (blockedLinks.count({datagram.from, datagram.to}) != 0 || members[datagram.to].paused) {
                continue;
            }
            view(datagram.to).handle(time(datagram.to), addressOf(datagram.from), datagram.message.heartbeat());
            collect(datagram.to);
        }
        for (std::size_t i = 0; i < members.size(); ++i) {
            if (!members[i].paused && now % 20 == 0) {
                view(i).setRegistered(time(i));
                view(i).tick(time(i), wire::Load());
                collect(i);
            }
        }
    }

    void run(std::int64_t milliseconds)
    {
        for (std::int64_t i = 0; i < milliseconds; ++i) {
            step();
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GroupViewTest, GroupFixture)

// Guards against members that do not converge to one roster, or that found separate groups.
BOOST_AUTO_TEST_CASE(membersStartedTogetherServeWithOneRoster)
{
    startGroup(5);
    for (std::size_t i = 0; i < 5; ++i) {
        BOOST_TEST(view(i).self().state() == wire::SERVING);
        BOOST_TEST(view(i).roster().digest() == view(0).roster().digest());
        BOOST_TEST(hasMajority(i));
        BOOST_TEST(view(i).unregisteredMembers().empty());
    }
}

// Guards against a minority that continues to decide, or that declares the majority gone.
BOOST_AUTO_TEST_CASE(minorityOfSplitGroupLosesMajorityAndDeclaresNobodyGone)
{
    startGroup(5);
    for (const std::size_t a : {0, 1}) {
        for (const std::size_t b : {2, 3, 4}) {
            blockLinks(a, b);
        }
    }
    run(2100);
    BOOST_TEST(!hasMajority(0));
    BOOST_TEST(hasMajority(2));
    BOOST_TEST(stateOf(2, 1) == wire::SERVING);
    run(8000);
    BOOST_TEST(stateOf(2, 1) == wire::GONE);
    BOOST_TEST(stateOf(2, 2) == wire::GONE);
    BOOST_TEST(stateOf(0, 3) == wire::SERVING);
    BOOST_TEST(!hasMajority(1));
    BOOST_TEST(hasMajority(4));
}

// Guards against a member not being readmitted, or returning with its old entry, after a network partition has healed.
BOOST_AUTO_TEST_CASE(memberDeclaredGoneReturnsWithHigherSequenceAfterSplit)
{
    startGroup(3);
    const std::uint64_t before = view(0).self().sequence();
    blockLinks(0, 1);
    blockLinks(0, 2);
    run(6000);
    BOOST_TEST(stateOf(1, 1) == wire::GONE);
    blockedLinks.clear();
    run(4000);
    BOOST_TEST(view(0).self().sequence() > before);
    BOOST_TEST(view(0).rejoins() == 1u);
    BOOST_TEST(view(0).self().state() == wire::JOINING);
    run(14000);
    BOOST_TEST(view(0).self().state() == wire::SERVING);
    BOOST_TEST(hasMajority(0));
}

// Guards against a process using a lease from before a pause, or declaring all other members gone after it.
BOOST_AUTO_TEST_CASE(pausedMemberHasNoMajorityUntilPeersAnswerAgain)
{
    startGroup(3);
    members[0].paused = true;
    run(2500);
    BOOST_TEST(!hasMajority(0));
    members[0].paused = false;
    view(0).handlePause(time(0));
    run(100);
    BOOST_TEST(hasMajority(0));
}

// Guards against a process treating the time of its own pause as silence of its peers.
BOOST_AUTO_TEST_CASE(memberAfterLongPauseSuspectsNobody)
{
    startGroup(3);
    members[0].paused = true;
    run(5000);
    members[0].paused = false;
    view(0).handlePause(time(0));
    view(0).tick(time(0), wire::Load());
    BOOST_TEST(!view(0).hasUnresolvedSuspicion());
    run(200);
    BOOST_TEST(stateOf(0, 2) == wire::SERVING);
    BOOST_TEST(view(0).rejoins() == 1u);
}

// Guards against use of a lease of unknown age after the clock went back.
BOOST_AUTO_TEST_CASE(clockJumpDropsLeasesUntilPeersAnswerAgain)
{
    startGroup(3);
    BOOST_TEST(hasMajority(0));
    view(0).handleClockJump(time(0));
    BOOST_TEST(!hasMajority(0));
    run(1100);
    BOOST_TEST(hasMajority(0));
}

// Guards against a late heartbeat of an earlier incarnation replacing the entry of a restarted target.
BOOST_AUTO_TEST_CASE(heartbeatOfOlderIncarnationIsRefused)
{
    startGroup(3);
    wire::TargetEntry restarted = view(2).self();
    restarted.set_incarnation(2);
    restarted.set_state(wire::JOINING);
    view(0).mergeFromBalancer(time(0), restarted);
    wire::Heartbeat late;
    late.set_service(7);
    late.set_target(3);
    late.set_incarnation(1);
    *late.add_entries() = view(2).self();
    BOOST_TEST(!view(0).handle(time(0), addressOf(2), late));
    BOOST_TEST(view(0).roster().find(TargetId(3))->incarnation() == 2u);
    BOOST_TEST(view(0).isInQuarantine(time(0), FlowHash(1)) == view(0).roster().wouldBeHome(FlowHash(1), TargetId(3)));
}

// Guards against a process that continues to decide after a newer process with its name has started.
BOOST_AUTO_TEST_CASE(memberThatSeesNewerIncarnationOfItselfStopsDeciding)
{
    startGroup(3);
    wire::Heartbeat newer;
    newer.set_target(1);
    newer.set_incarnation(2);
    view(0).handle(time(0), addressOf(0), newer);
    BOOST_TEST(view(0).isSuperseded());
    BOOST_TEST(!hasMajority(0));
}

// Guards against a minority that obtains a majority by admitting new members.
BOOST_AUTO_TEST_CASE(joinerThatReachesMinorityOnlyIsNotAdmitted)
{
    startGroup(3);
    blockLinks(0, 1);
    blockLinks(0, 2);
    run(2500);
    for (const std::size_t joiner : {add(10), add(11), add(12)}) {
        blockLinks(joiner, 1);
        blockLinks(joiner, 2);
        start(joiner);
    }
    run(12000);
    BOOST_TEST(view(3).self().state() == wire::JOINING);
    BOOST_TEST(!hasMajority(0));
    blockedLinks.clear();
    run(16000);
    BOOST_TEST(view(3).self().state() == wire::SERVING);
    BOOST_TEST(view(5).self().state() == wire::SERVING);
}

// Guards against two halves of a group that each have a majority of their own roster, after two members were declared
// gone at the same time.
BOOST_AUTO_TEST_CASE(concurrentDeclarationsNeedMajorityOfEarlierRosterToo)
{
    startGroup(5);
    blockLinks(0, 3);
    blockLinks(1, 4);
    while (stateOf(3, 1) != wire::GONE) {
        step();
    }
    for (const std::size_t a : {0, 1, 2}) {
        for (const std::size_t b : {3, 4}) {
            blockLinks(a, b);
        }
    }
    run(2500);
    BOOST_TEST(stateOf(3, 1) == wire::GONE);
    BOOST_TEST(stateOf(3, 2) == wire::GONE);
    BOOST_TEST(hasMajority(0));
    BOOST_TEST(!hasMajority(3));
    BOOST_TEST(!hasMajority(4));
}

// Guards against two members that have declared each other gone and still both have a majority after the lease, so that
// both would decide the same flows.
BOOST_AUTO_TEST_CASE(randomLinkFailuresNeverLeaveTwoMembersThatDecideWithoutEachOther)
{
    std::mt19937_64 random(20240917);
    std::size_t gone = 0;
    for (int trial = 0; trial < 12; ++trial) {
        members.clear();
        network.clear();
        blockedLinks.clear();
        startGroup(5);
        std::int64_t violated = 0;
        for (int round = 0; round < 12; ++round) {
            blockedLinks.clear();
            for (std::size_t a = 0; a < 5; ++a) {
                for (std::size_t b = 0; b < 5; ++b) {
                    if (a != b && random() % 100 < 35) {
                        blockedLinks.insert({a, b});
                    }
                }
            }
            for (int slice = 0; slice < 30; ++slice) {
                run(200);
                bool conflict = false;
                for (std::size_t a = 0; a < 5; ++a) {
                    for (std::size_t b = 0; b < a; ++b) {
                        const bool apart = stateOf(a, b + 1) == wire::GONE && stateOf(b, a + 1) == wire::GONE;
                        gone += stateOf(a, b + 1) == wire::GONE ? 1 : 0;
                        conflict = conflict || (apart && hasMajority(a) && hasMajority(b));
                    }
                }
                violated = conflict ? violated + 200 : 0;
                BOOST_REQUIRE(violated <= MajorityLease.count());
            }
        }
    }
    BOOST_TEST(gone > 0u);
}

BOOST_AUTO_TEST_SUITE_END()
