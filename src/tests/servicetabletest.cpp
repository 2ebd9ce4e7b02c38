#define BOOST_TEST_MODULE ServiceTable
#include "relay/servicetable.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace rhubarblane;

namespace
{

struct ServiceTableFixture {
    static ServiceTable table(std::uint64_t version, std::uint16_t services)
    {
        ServiceTable result;
        result.version = TableVersion(version);
        result.idleTimeout = Milliseconds(15000);
        for (std::uint16_t port = 1; port <= services; ++port) {
            RelayedService service;
            service.name = "service-" + std::to_string(port);
            service.address = {0xc6120001, port};
            service.groups = {{"desk", groupIdOf("desk"), 1}};
            service.timeout = Milliseconds(1200);
            service.atMostOnce = port % 2 == 0;
            result.services[service.address] = service;
        }
        return result;
    }

    Timestamp now {1000};
    TableAssembler assembler;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServiceTableTest, ServiceTableFixture)

// Guards against a table that is lost or applied in part when its datagrams are reordered or duplicated.
BOOST_AUTO_TEST_CASE(assemblerWithPartsInAnyOrderGivesWholeTable)
{
    std::vector<wire::relay::TablePart> parts = splitTable(table(7, 30));
    BOOST_TEST(parts.size() > 1u);
    std::reverse(parts.begin(), parts.end());
    parts.push_back(parts.front());
    std::optional<ServiceTable> result;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        BOOST_TEST(!result.has_value());
        result = assembler.add(now, parts[i]);
    }
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->services.size() == 30u);
    BOOST_TEST(result->idleTimeout.count() == 15000);
    BOOST_TEST((result->services.at({0xc6120001, 2}).atMostOnce));
    BOOST_TEST((result->services.at({0xc6120001, 3}).groups.front().id == groupIdOf("desk")));
}

// Guards against a limit of cold targets that is lost on the way to a peer, or that becomes "none" by rounding.
BOOST_AUTO_TEST_CASE(assemblerWithColdRatesKeepsThem)
{
    ServiceTable sent = table(7, 3);
    sent.services.at({0xc6120001, 1}).groups.front().coldFlowRate = 12.5;
    sent.services.at({0xc6120001, 2}).groups = {{"slow", groupIdOf("slow"), 1, 0.0001}};
    std::optional<ServiceTable> result = assembler.add(now, splitTable(sent).front());
    BOOST_REQUIRE(result.has_value());
    result->indexColdRates();
    BOOST_TEST(result->coldFlowRateOf(groupIdOf("desk")) == 12.5);
    BOOST_TEST(result->coldFlowRateOf(groupIdOf("slow")) == 0.001);
    BOOST_TEST(result->coldFlowRateOf(groupIdOf("other")) == 0.0);
}

// Guards against a table that is assembled from parts of two versions.
BOOST_AUTO_TEST_CASE(assemblerWithTwoVersionsGivesNewerOneOnly)
{
    const std::vector<wire::relay::TablePart> older = splitTable(table(7, 16));
    const std::vector<wire::relay::TablePart> newer = splitTable(table(8, 16));
    BOOST_REQUIRE(older.size() == 2u);
    BOOST_TEST(!assembler.add(now, older[0]).has_value());
    BOOST_TEST(!assembler.add(now, newer[1]).has_value());
    BOOST_TEST(!assembler.add(now, older[1]).has_value());
    const std::optional<ServiceTable> result = assembler.add(now, newer[0]);
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->version.value() == 8u);
}

// Guards against malformed datagrams.
BOOST_AUTO_TEST_CASE(assemblerWithMalformedPartsIgnoresThem)
{
    wire::relay::TablePart part = splitTable(table(7, 4)).front();
    part.set_parts(0);
    BOOST_TEST(!assembler.add(now, part).has_value());
    part.set_parts(1);
    part.set_part(5);
    BOOST_TEST(!assembler.add(now, part).has_value());
    part.set_parts(0xffffffff);
    BOOST_TEST(!assembler.add(now, part).has_value());
    for (const std::uint32_t port : {0U, 65536U, 65537U}) {
        part = splitTable(table(7, 1)).front();
        part.mutable_services(0)->set_port(port);
        BOOST_TEST(!assembler.add(now, part).has_value());
    }
}

// Guards against one malformed datagram that blocks every table of the peers from then on.
BOOST_AUTO_TEST_CASE(assemblerWithVersionThatIsNeverCompletedTakesLowerOneLater)
{
    wire::relay::TablePart malformed = splitTable(table(7, 16)).front();
    malformed.set_version(~0ULL);
    BOOST_TEST(!assembler.add(now, malformed).has_value());
    const std::vector<wire::relay::TablePart> parts = splitTable(table(8, 16));
    now = now + Milliseconds(2000);
    BOOST_TEST(!assembler.add(now, parts[0]).has_value());
    const std::optional<ServiceTable> result = assembler.add(now, parts[1]);
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->version.value() == 8u);
}

// Guards against an urgent service that counts as less urgent because of another one above it: on lsgc-edge-grown, 42
// services without load had the highest priority, and the urgent service shared the shorter waits of the least urgent.
BOOST_AUTO_TEST_CASE(tableWithThreePrioritiesInGroupMakesOnlyLastOneLessUrgent)
{
    ServiceTable table;
    std::vector<RelayedService> services;
    for (std::uint32_t priority = 0; priority < 3; ++priority) {
        RelayedService service;
        service.address = {0xc6120001, static_cast<std::uint16_t>(priority + 1)};
        service.priority = priority;
        service.groups = {{"desk", groupIdOf("desk"), 1}};
        table.services[service.address] = service;
        services.push_back(service);
    }
    table.indexPriorities();
    BOOST_TEST(table.hasSharedGroups);
    BOOST_TEST(!table.isLessUrgent(services[0]));
    BOOST_TEST(!table.isLessUrgent(services[1]));
    BOOST_TEST(table.isLessUrgent(services[2]));
    BOOST_TEST(table.isMoreUrgent(services[1]));
    BOOST_TEST(!table.isMoreUrgent(services[2]));
    table.services.erase(services[2].address);
    table.indexPriorities();
    BOOST_TEST(table.isLessUrgent(services[1]));
}

// Guards against urgency in groups that serve one priority only.
BOOST_AUTO_TEST_CASE(tableWithOnePriorityInGroupHasNoUrgency)
{
    ServiceTable table;
    RelayedService service;
    service.address = {0xc6120001, 1};
    service.priority = 2;
    service.groups = {{"desk", groupIdOf("desk"), 1}};
    table.services[service.address] = service;
    table.indexPriorities();
    BOOST_TEST(!table.hasSharedGroups);
    BOOST_TEST(!table.isLessUrgent(service));
    BOOST_TEST(!table.isMoreUrgent(service));
}

BOOST_AUTO_TEST_SUITE_END()
