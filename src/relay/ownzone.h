#ifndef RHUBARBLANE_RELAY_OWNZONE_H
#define RHUBARBLANE_RELAY_OWNZONE_H

#include "relay/evacuations.h"
#include "relay/relayoutput.h"

#include <string>

namespace rhubarblane
{

/** Whether the availability zone of an agent is evacuated, as far as the agent's peers have told. */
class OwnZone
{
public:
    /** `output` must outlive the object. */
    OwnZone(std::string name, RelayOutput &output);

    /** Applies the state of a peer if it is later. Returns true if the own zone's state changed. */
    bool apply(Timestamp now, const EvacuatedZones &state, const std::string &from);

    /** Returns true if the target must get no new flows. */
    bool isEvacuated() const
    {
        return evacuations_.includes(name_);
    }

    const Evacuations &evacuations() const
    {
        return evacuations_;
    }

private:
    std::string name_;
    RelayOutput &output_;
    Evacuations evacuations_;
};

} // namespace rhubarblane

#endif
