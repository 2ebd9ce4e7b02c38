#define BOOST_TEST_MODULE FlowPlacement
#include "relay/flowplacement.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <variant>

using namespace rhubarblane;

namespace
{

struct FlowPlacementFixture {
    KnownTarget target(std::uint32_t host, std::uint32_t requests, double serviceTimeMs, bool sameZone = false) const
    {
        KnownTarget result;
        result.agent.address = {host, 7720};
        result.state = TargetState::Ready;
        result.slots = 4;
        result.busy = requests;
        result.serviceTimeMs = serviceTimeMs;
        result.sameZone = sameZone;
        result.lastContact = now;
        result.loadTime = now;
        return result;
    }

    static std::vector<const KnownTarget *> pointers(const std::vector<KnownTarget> &targets)
    {
        std::vector<const KnownTarget *> result;
        result.reserve(targets.size());
        for (const KnownTarget &target : targets) {
            result.push_back(&target);
        }
        return result;
    }

    /** Returns how often each host gets the first offer. */
    std::map<std::uint32_t, int> firstOffers(const std::vector<KnownTarget> &targets, int flows)
    {
        std::map<std::uint32_t, int> counts;
        for (int i = 0; i < flows; ++i) {
            const std::variant<Offer, Refusal> next = placement.next(now, pointers(targets), {}, wait);
            if (const Offer *offer = std::get_if<Offer>(&next)) {
                ++counts[offer->agent.address];
            }
        }
        return counts;
    }

    std::optional<Refusal> refusal(const std::vector<KnownTarget> &targets, const OfferHistory &history)
    {
        const std::variant<Offer, Refusal> next = placement.next(now, pointers(targets), history, wait);
        const Refusal *refused = std::get_if<Refusal>(&next);
        return refused == nullptr ? std::nullopt : std::optional<Refusal>(*refused);
    }

    Timestamp now {5000};
    Milliseconds wait {100};
    FlowPlacement placement {1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FlowPlacementTest, FlowPlacementFixture)

// Guards against a target that rejects requests immediately, seems the fastest and attracts all flows of a service.
BOOST_AUTO_TEST_CASE(placementWithAllTargetsBusyAvoidsLongQueueOfSeeminglyFastOne)
{
    const std::vector<KnownTarget> targets {target(1, 30, 2.0), target(2, 5, 30.0), target(3, 6, 30.0)};
    const std::map<std::uint32_t, int> counts = firstOffers(targets, 100);
    BOOST_TEST(counts.count(1) == 0u);
}

// Guards against offers to targets that would all reject the request.
BOOST_AUTO_TEST_CASE(placementWithAllQueuesFullMakesNoOffer)
{
    const std::vector<KnownTarget> targets {target(1, 4 + QueueLimit, 10.0), target(2, 40, 10.0)};
    BOOST_TEST((refusal(targets, {}) == Refusal::Overload));
}

// Guards against urgent flows that are refused for the less urgent requests which the targets report, and against
// balancers that all choose the same target.
BOOST_AUTO_TEST_CASE(placementOfMoreUrgentFlowOffersItToDifferentBusyTargets)
{
    const std::vector<KnownTarget> targets {target(1, 4 + QueueLimit, 10.0),
                                            target(2, 40, 10.0),
                                            target(3, 40, 10.0),
                                            target(4, 40, 10.0),
                                            target(5, 40, 10.0),
                                            target(6, 40, 10.0)};
    OfferHistory history;
    while (!history.lastOfferMade) {
        const std::variant<Offer, Refusal> next = placement.next(now, pointers(targets), history, wait, true);
        const Offer *offer = std::get_if<Offer>(&next);
        BOOST_REQUIRE(offer != nullptr);
        BOOST_TEST((offer->acceptedWait == wait));
        BOOST_TEST(std::count(history.tried.begin(), history.tried.end(), offer->agent) == 0);
        history.noteOffer(*offer);
    }
    const std::set<PeerAddress> different(history.tried.begin(), history.tried.end());
    BOOST_TEST(different.size() == history.tried.size());
    BOOST_TEST(different.size() >= 5u);
}

// Guards against a balancer that assumes full queues until the next report: in a burst of three times the usual traffic
// it refused flows for up to 250 ms although the targets had free slots again.
BOOST_AUTO_TEST_CASE(placementWithOutdatedFullQueuesOffersAgain)
{
    const std::vector<KnownTarget> targets {target(1, 4 + QueueLimit, 20.0), target(2, 4 + QueueLimit, 20.0)};
    BOOST_TEST((refusal(targets, {}) == Refusal::Overload));
    now = now + Milliseconds(20);
    const std::variant<Offer, Refusal> next = placement.next(now, pointers(targets), {}, wait);
    const Offer *offer = std::get_if<Offer>(&next);
    BOOST_REQUIRE(offer != nullptr);
    BOOST_TEST(offer->last);
    BOOST_TEST(offer->estimate.requests == QueueLimit);
    now = now + Milliseconds(60);
    BOOST_TEST(!refusal(targets, {}));
}

// Guards against a target that is taken for idle when its load is outdated, while other balancers keep it busy.
BOOST_AUTO_TEST_CASE(placementWithOutdatedLoadExpectsMeasuredUtilization)
{
    std::vector<KnownTarget> targets {target(1, 0, 10.0)};
    targets[0].utilization = 0.75;
    now = now + Milliseconds(500);
    const std::variant<Offer, Refusal> next = placement.next(now, pointers(targets), {}, wait);
    const Offer *offer = std::get_if<Offer>(&next);
    BOOST_REQUIRE(offer != nullptr);
    BOOST_TEST(offer->estimate.requests == 3u);
}

// Guards against the same target as the last choice of all balancers at once: its queue was full while others idled.
BOOST_AUTO_TEST_CASE(placementWithFullTargetsSpreadsLastOffers)
{
    std::vector<KnownTarget> targets;
    for (std::uint32_t host = 1; host <= 20; ++host) {
        targets.push_back(target(host, 5, 20.0 + host / 10.0));
        targets.back().utilization = 0.9;
    }
    const std::map<std::uint32_t, int> counts = firstOffers(targets, 1000);
    BOOST_TEST(counts.size() == 20u);
    for (const auto &[host, count] : counts) {
        BOOST_TEST(count <= 150);
    }
}

// Guards against a packet that is handed on to an agent that has it already, or that is draining.
BOOST_AUTO_TEST_CASE(placementNamesOtherUsableTargetsAsCandidates)
{
    std::vector<KnownTarget> targets {
        target(1, 0, 20.0), target(2, 0, 20.0), target(3, 0, 20.0), target(4, 0, 20.0), target(5, 0, 20.0)};
    targets[4].state = TargetState::Draining;
    for (int i = 0; i < 100; ++i) {
        const std::variant<Offer, Refusal> next = placement.next(now, pointers(targets), {}, wait);
        const Offer *offer = std::get_if<Offer>(&next);
        BOOST_REQUIRE(offer != nullptr);
        BOOST_REQUIRE(offer->candidates.size() == 2u);
        const std::set<PeerAddress> all {offer->agent, offer->candidates[0], offer->candidates[1]};
        BOOST_TEST(all.size() == 3u);
        BOOST_TEST(all.count(targets[4].agent.address) == 0u);
    }
}

// Guards against new flows at targets without a free slot while others have one.
BOOST_AUTO_TEST_CASE(placementWithFreeSlotsOffersOnlyThose)
{
    const std::vector<KnownTarget> targets {target(1, 4, 10.0), target(2, 3, 60.0)};
    BOOST_TEST(firstOffers(targets, 50)[2] == 50);
}

// Guards against an even distribution of flows over targets of unequal speed.
BOOST_AUTO_TEST_CASE(placementWithFastAndSlowTargetsPrefersFastOne)
{
    const std::vector<KnownTarget> targets {target(1, 0, 10.0), target(2, 0, 30.0)};
    std::map<std::uint32_t, int> counts = firstOffers(targets, 1000);
    BOOST_TEST(counts[1] > counts[2] * 3);
    BOOST_TEST(counts[2] > 0);
}

// Guards against unnecessary traffic between availability zones.
BOOST_AUTO_TEST_CASE(placementWithEqualTargetsStaysInZone)
{
    const std::vector<KnownTarget> targets {target(1, 0, 20.0, true), target(2, 0, 20.0)};
    BOOST_TEST(firstOffers(targets, 50)[1] == 50);
}

// Guards against an overloaded availability zone with few targets while the targets of other zones are idle.
BOOST_AUTO_TEST_CASE(placementWithMuchBusierZoneLeavesIt)
{
    std::vector<KnownTarget> targets {target(1, 2, 20.0, true), target(2, 0, 20.0)};
    targets[0].utilization = 0.9;
    targets[1].utilization = 0.1;
    BOOST_TEST(firstOffers(targets, 100)[2] > 50);
}

// Guards against offers to targets that drain, did not answer an offer, or whose agents send no reports.
BOOST_AUTO_TEST_CASE(placementWithUnusableTargetsMakesNoOffer)
{
    std::vector<KnownTarget> targets {target(1, 0, 20.0), target(2, 0, 20.0), target(3, 0, 20.0)};
    targets[0].state = TargetState::Draining;
    targets[1].offerUnanswered = true;
    targets[2].lastContact = Timestamp(3000);
    BOOST_TEST((refusal(targets, {}) == Refusal::NoTarget));
}

// Guards against new flows for a target that resets its requests, and against the ejection of most of a group, which
// would overload the rest.
BOOST_AUTO_TEST_CASE(placementLeavesOutEjectedTargetsUpToHalfOfGroup)
{
    std::vector<KnownTarget> targets {target(1, 0, 20.0), target(2, 0, 20.0), target(3, 0, 20.0), target(4, 0, 20.0)};
    targets[0].state = TargetState::Ejected;
    BOOST_TEST(firstOffers(targets, 100).size() == 3u);
    for (KnownTarget &each : targets) {
        each.state = TargetState::Ejected;
    }
    BOOST_TEST(firstOffers(targets, 100).size() == 2u);
}

// Guards against offers that a cold target can only return.
BOOST_AUTO_TEST_CASE(placementWithColdTargetAtItsLimitAvoidsItForSecond)
{
    std::vector<KnownTarget> targets {target(1, 0, 20.0), target(2, 0, 20.0)};
    targets[0].coldUntil = now + Milliseconds(3000);
    targets[0].coldOpeningsLeft = 2;
    targets[0].offered = 1;
    BOOST_TEST(firstOffers(targets, 50)[1] > 0);
    targets[0].offered = 2;
    BOOST_TEST(firstOffers(targets, 50).count(1) == 0u);
    now = now + Milliseconds(1000);
    targets[0].lastContact = now;
    targets[1].lastContact = now;
    BOOST_TEST(firstOffers(targets, 50)[1] > 0);
}

// Guards against a group without use because a limit is remembered after the target has become warm.
BOOST_AUTO_TEST_CASE(placementWithWarmTargetIgnoresItsEarlierLimit)
{
    std::vector<KnownTarget> targets {target(1, 0, 20.0)};
    targets[0].coldOpeningsLeft = 0;
    targets[0].coldUntil = now;
    BOOST_TEST(firstOffers(targets, 10)[1] == 10);
}

// Guards against flows that are queued at, or offered to, targets that must not take them.
BOOST_AUTO_TEST_CASE(placementWithAllTargetsAtColdLimitRefusesAsOverload)
{
    std::vector<KnownTarget> targets {target(1, 0, 20.0), target(2, 0, 20.0)};
    for (KnownTarget &each : targets) {
        each.coldUntil = now + Milliseconds(3000);
        each.coldOpeningsLeft = 0;
    }
    BOOST_TEST((refusal(targets, {}) == Refusal::Overload));
}

// Guards against a new target that gets a full share of the flows before it has shown how slow it is.
BOOST_AUTO_TEST_CASE(placementWithColdTargetWithoutMeasurementGivesItFewerFlows)
{
    std::vector<KnownTarget> targets {target(1, 0, 20.0), target(2, 0, 0.0)};
    targets[1].coldUntil = now + Milliseconds(3000);
    std::map<std::uint32_t, int> counts = firstOffers(targets, 1000);
    BOOST_TEST(counts[2] > 50);
    BOOST_TEST(counts[2] * 2 < counts[1]);
    targets[1].coldUntil = now;
    BOOST_TEST(firstOffers(targets, 1000)[2] > 400);
}

// Guards against endless offers: the last one is marked and carries the accepted wait.
BOOST_AUTO_TEST_CASE(placementAfterThreeOffersMakesLastOneWithWait)
{
    const std::vector<KnownTarget> targets {
        target(1, 0, 20.0), target(2, 0, 20.0), target(3, 0, 20.0), target(4, 0, 20.0)};
    OfferHistory history;
    for (int i = 0; i < 3; ++i) {
        const std::variant<Offer, Refusal> next = placement.next(now, pointers(targets), history, wait);
        const Offer *offer = std::get_if<Offer>(&next);
        BOOST_REQUIRE(offer != nullptr);
        BOOST_TEST(offer->acceptedWait.count() == 0);
        history.tried.push_back(offer->agent);
    }
    const std::variant<Offer, Refusal> next = placement.next(now, pointers(targets), history, wait);
    const Offer *last = std::get_if<Offer>(&next);
    BOOST_REQUIRE(last != nullptr);
    BOOST_TEST(last->last);
    BOOST_TEST((last->acceptedWait == wait));
    history.lastOfferMade = true;
    BOOST_TEST((refusal(targets, history) == Refusal::Overload));
}

// Guards against new flows in an evacuated availability zone, also when its targets are the only ones with free slots.
BOOST_AUTO_TEST_CASE(placementWithEvacuatedTargetsOffersOnlyToOthersAndRefusesWithoutOthers)
{
    std::vector<KnownTarget> targets {target(1, 0, 10, true), target(2, 0, 10), target(3, 4, 10)};
    targets[0].evacuated = true;
    targets[1].evacuated = true;
    BOOST_TEST(firstOffers(targets, 100)[3] == 100);
    targets[2].evacuated = true;
    BOOST_TEST((refusal(targets, {}) == Refusal::Evacuated));
    targets[0].evacuated = false;
    BOOST_TEST(firstOffers(targets, 100)[1] == 100);
}

BOOST_AUTO_TEST_SUITE_END()
