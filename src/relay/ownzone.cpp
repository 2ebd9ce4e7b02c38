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
    const Revision before = evacuations_.state().asOf;
    if (state.asOf <= before) {
        if (evacuations_.noteIgnored(state)) {
            output_.logDecision("evacuationIgnored",
                                {{"zones", joinNames(state.zones)},
                                 {"asOf", std::to_string(state.asOf.value())},
                                 {"known", joinNames(evacuations_.state().zones)},
                                 {"knownAsOf", std::to_string(before.value())},
                                 {"from", from}});
        }
        return false;
    }
    if (evacuations_.apply(now, state).count(name_) == 0) {
        return false;
    }
    output_.logDecision(isEvacuated() ? "zoneEvacuated" : "zoneTakenBack",
                        {{"zone", name_},
                         {"asOf", std::to_string(state.asOf.value())},
                         {"before", std::to_string(before.value())},
                         {"from", from}});
    return true;
}

} // namespace rhubarblane
