#include "relay/ownzone.h"

#include <utility>

namespace rhubarblane
{

OwnZone::OwnZone(std::string name, RelayOutput &output)
    : name_(std::move(name))
    , output_(output)
{
}

bool OwnZone::apply(Timestamp now, const EvacuatedZones &state, const std::string &from)
{
    const StorePosition before = evacuations_.state().asOf;
    if (state.asOf <= before) {
        if (evacuations_.noteIgnored(state)) {
            output_.logDecision("evacuationIgnored",
                                {{"zones", joinNames(state.zones)},
                                 {"asOf", formatStorePosition(state.asOf)},
                                 {"known", joinNames(evacuations_.state().zones)},
                                 {"knownAsOf", formatStorePosition(before)},
                                 {"from", from}});
        }
        return false;
    }
    if (evacuations_.apply(now, state).count(name_) == 0) {
        return false;
    }
    output_.logDecision(isEvacuated() ? "zoneEvacuated" : "zoneTakenBack",
                        {{"zone", name_},
                         {"asOf", formatStorePosition(state.asOf)},
                         {"before", formatStorePosition(before)},
                         {"from", from}});
    return true;
}

} // namespace rhubarblane
