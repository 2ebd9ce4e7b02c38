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
};

/** What callers reach at one address and port. */
struct RelayedService {
    std::string name;
    PeerAddress address;
    std::vector<WeightedGroup> groups;
    /** A caller gives a request up after this time. */
    Milliseconds timeout = Milliseconds(0);
    /** Time in which a request should be answered. */
    Milliseconds objective = Milliseconds(0);
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    bool atMostOnce = false;

    /** The group of a new flow: the same on every balancer. The service must have a group. */
    const WeightedGroup &groupOf(const FlowTuple &flow) const;
};

/** One version of everything that operators declared for relayed flows. */
struct ServiceTable {
    TableVersion version;
    Milliseconds idleTimeout = Milliseconds(0);
    std::map<PeerAddress, RelayedService> services;
    /** The most urgent priority among the services of each group; see indexPriorities(). */
    std::map<GroupId, std::uint32_t> highestPriorities;

    const RelayedService *find(const FlowTuple &flow) const;

    /** To be called when the services are complete. */
    void indexPriorities();

    /** Whether a group of the service also serves a more urgent one. */
    bool isLessUrgent(const RelayedService &service) const;
};

/** Splits a table into messages that fit one datagram each. */
std::vector<wire::relay::TablePart> splitTable(const ServiceTable &table);

/** Collects the parts of the newest table that peers send. */
class TableAssembler
{
public:
    /** The table when its last part has arrived. Parts of older versions than the collected one are ignored. */
    std::optional<ServiceTable> add(const wire::relay::TablePart &part);

private:
    TableVersion version_;
    std::uint32_t parts_ = 0;
    std::map<std::uint32_t, wire::relay::TablePart> received_;
};

} // namespace rhubarblane

#endif
