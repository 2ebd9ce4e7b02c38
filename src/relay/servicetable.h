#ifndef RHUBARBLANE_RELAY_SERVICETABLE_H
#define RHUBARBLANE_RELAY_SERVICETABLE_H

#include "base/clock.h"
#include "relay/relaytypes.h"
#include "wire/flowtuple.h"
#include "wire/generated/relay.pb.h"
#include "wire/peeraddress.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rhubarblane
{

/** A group that serves a share of a service's new flows. */
struct WeightedGroup {
    std::string name;
    GroupId id;
    std::uint32_t weight = 1;
    /** Declared rate of new flows that a cold target of the group bears, in flows per second; 0 if none is declared. */
    double coldFlowRate = 0.0;
};

/** A service that callers reach at one address and port. */
struct RelayedService {
    std::string name;
    PeerAddress address;
    std::vector<WeightedGroup> groups;
    /** Time after which a caller abandons a request. */
    Milliseconds timeout = Milliseconds(0);
    /** Latency objective: the time in which a request should be answered; 0 if none is set. */
    Milliseconds objective = Milliseconds(0);
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    bool atMostOnce = false;

    /** Returns the group of a new flow, which is the same on every balancer. The service must have a group. */
    const WeightedGroup &groupOf(const FlowTuple &flow) const;

    bool hasGroup(GroupId group) const;
};

/** One version of the operators' configuration for relayed flows. */
struct ServiceTable {
    TableVersion version;
    Milliseconds idleTimeout = Milliseconds(0);
    std::map<PeerAddress, RelayedService> services;
    /** The most urgent priority among the services of each group; see indexPriorities(). */
    std::map<GroupId, std::uint32_t> highestPriorities;
    /** The least urgent priority among the services of each group; see indexPriorities(). */
    std::map<GroupId, std::uint32_t> lowestPriorities;
    bool hasSharedGroups = false; ///< Services of different urgency share a group; see indexPriorities().

    /** The lowest declared rate of each group that has one; see indexColdRates(). */
    std::map<GroupId, double> coldFlowRates;

    const RelayedService *find(const FlowTuple &flow) const;

    /** Must be called when the services are complete. */
    void indexPriorities();

    /** Must be called when the services are complete. */
    void indexColdRates();

    /** Returns the rate of new flows that a cold target of the group bears, in flows per second; 0 if none is declared.
     */
    double coldFlowRateOf(GroupId group) const;

    /**
     * Returns true if the service is among the least urgent ones of a group that also serves a more urgent one.
     * Services between the least and the most urgent priority are not less urgent: those above them may carry no load.
     */
    bool isLessUrgent(const RelayedService &service) const;

    /** Returns true if a group of the service also serves a less urgent one, and the service itself is not one. */
    bool isMoreUrgent(const RelayedService &service) const;
};

/** Splits a table into parts that fit into one datagram each. */
std::vector<wire::relay::TablePart> splitTable(const ServiceTable &table);

/** Assembles the newest table from the parts that peers send. */
class TableAssembler
{
public:
    /**
     * Returns the table once its last part has arrived. Malformed parts are ignored, and so are those of older versions
     * while new parts of the newest one keep arriving.
     */
    std::optional<ServiceTable> add(Timestamp now, const wire::relay::TablePart &part);

private:
    TableVersion version_;
    std::uint32_t parts_ = 0;
    Timestamp lastNewPart_;
    std::map<std::uint32_t, wire::relay::TablePart> received_;
};

} // namespace rhubarblane

#endif
