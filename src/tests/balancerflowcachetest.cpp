#define BOOST_TEST_MODULE BalancerFlowCache
#include "balancer/flowcache.h"
#include "base/hash.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct FlowCacheFixture {
    static constexpr std::size_t Limit = 4096;
    const ServiceId readings = ServiceId(1);
    const ServiceId archive = ServiceId(2);
    FlowCache cache {Limit};

    static FlowHash flow(std::uint64_t number)
    {
        return FlowHash(hashPair(number, 7));
    }

    std::size_t countCached(std::uint64_t from, std::uint64_t to)
    {
        std::size_t found = 0;
        for (std::uint64_t i = from; i < to; ++i) {
            found += cache.find(flow(i)) != nullptr ? 1 : 0;
        }
        return found;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BalancerFlowCacheTest, FlowCacheFixture)

// Guards against entries that are lost or get another flow's owner when the table grows.
BOOST_AUTO_TEST_CASE(flowCacheAfterGrowthKeepsEveryOwner)
{
    for (std::uint32_t i = 0; i < 1000; ++i) {
        BOOST_TEST(cache.insert(flow(i), readings, CachedOwner {i, i, i, 7000}));
    }
    BOOST_TEST(cache.size() == 1000U);
    for (std::uint32_t i = 0; i < 1000; ++i) {
        BOOST_REQUIRE(cache.find(flow(i)) != nullptr);
        BOOST_TEST(cache.find(flow(i))->address == i);
    }
}

// Guards against unbounded growth of the table.
BOOST_AUTO_TEST_CASE(flowCacheWithMoreFlowsThanLimitKeepsLimit)
{
    for (std::uint32_t i = 0; i < 5 * Limit; ++i) {
        cache.insert(flow(i), readings, CachedOwner {});
    }
    BOOST_TEST(cache.size() <= Limit);
    BOOST_TEST(cache.size() > Limit * 9 / 10);
    BOOST_TEST(cache.memoryBytes() <= Limit * 64);
}

// Guards against a flood of spoofed first packets to one service that evicts the flows of another.
BOOST_AUTO_TEST_CASE(flowCacheWithFloodOnOneServiceKeepsFlowsOfOther)
{
    for (std::uint32_t i = 0; i < 1000; ++i) {
        cache.insert(flow(i), archive, CachedOwner {});
    }
    countCached(0, 1000);
    for (std::uint32_t i = 1000; i < 100000; ++i) {
        cache.insert(flow(i), readings, CachedOwner {});
    }
    BOOST_TEST(countCached(0, 1000) == 1000U);
}

// Guards against evicting flows with traffic before flows that never had a second packet.
BOOST_AUTO_TEST_CASE(flowCacheWithUsedAndUnusedFlowsEvictsUnused)
{
    for (std::uint32_t i = 0; i < 500; ++i) {
        cache.insert(flow(i), readings, CachedOwner {});
    }
    for (std::uint32_t i = 500; i < 20000; ++i) {
        if (i % 100 == 0) {
            countCached(0, 500);
        }
        cache.insert(flow(i), readings, CachedOwner {});
    }
    BOOST_TEST(countCached(0, 500) > 480U);
}

// Guards against an owner that stays cached after the end of its flow.
BOOST_AUTO_TEST_CASE(flowCacheAfterEraseForgetsFlow)
{
    cache.insert(flow(1), readings, CachedOwner {});
    cache.erase(flow(1));
    cache.erase(flow(1));
    BOOST_TEST(cache.find(flow(1)) == nullptr);
    BOOST_TEST(cache.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
