#ifndef RHUBARBLANE_RELAY_SERVICEHISTORY_H
#define RHUBARBLANE_RELAY_SERVICEHISTORY_H

#include "base/clock.h"
#include "relay/relaytypes.h"
#include "relay/servicetable.h"
#include "wire/peeraddress.h"

#include <map>
#include <optional>

namespace rhubarblane
{

/**
 * Remembers which groups the earlier tables of a balancer gave each service. A flow belongs to the target that accepted
 * it until it ends, also if a newer table gives the service other groups.
 */
class ServiceHistory
{
public:
    /** Records that `next` replaces `current`, which is a null pointer before the first table. */
    void noteTable(Timestamp now, const ServiceTable *current, const ServiceTable &next);

    /**
     * Returns true if targets of the group may have accepted flows of the service that are still open. Until the
     * balancer has had a table for the maximum age of a flow, this is true of every group.
     */
    bool mayHoldFlows(Timestamp now, const RelayedService &service, GroupId group) const;

private:
    std::optional<Timestamp> firstTable_;
    /** Time at which a table without the group replaced one that gave it to the service. */
    std::map<PeerAddress, std::map<GroupId, Timestamp>> formerGroups_;
};

} // namespace rhubarblane

#endif
