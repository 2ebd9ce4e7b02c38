#ifndef RHUBARBLANE_RELAY_EVACUATIONS_H
#define RHUBARBLANE_RELAY_EVACUATIONS_H

#include "base/clock.h"
#include "base/storeposition.h"
#include "wire/generated/relay.pb.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace rhubarblane
{

/** Maximum number of evacuated zones; with names of 64 bytes the list takes 4 kB of a message. */
constexpr std::size_t MaximumEvacuatedZones = 64;

/** The availability zones whose targets get no new flows, complete as of one position of the store. */
struct EvacuatedZones {
    StorePosition asOf;
    std::set<std::string> zones;
};

/** Returns true if the text can be the name of an availability zone: 1 to 64 bytes without a slash. */
bool isZoneName(const std::string &text);

/** Returns the names, separated by commas, for logs. */
std::string joinNames(const std::set<std::string> &names);

wire::relay::Evacuations toWire(const EvacuatedZones &state);

/** Returns nullopt if another writer made the message: without a revision, or with an invalid list of zones. */
std::optional<EvacuatedZones> evacuationsFromWire(const wire::relay::Evacuations &encoded);

/**
 * The evacuations that a process knows. The state at a position of the store is the same for all processes, so states
 * from the store and from peers need no order but that of their positions: a late message, and one of a peer that has
 * not learned of a restored store, change nothing.
 */
class Evacuations
{
public:
    /** Applies a state if it is later than the known one. Returns the zones whose state changed. */
    std::set<std::string> apply(Timestamp now, const EvacuatedZones &state);

    /**
     * Returns true if a state that apply() ignored has other zones than the known one. Returns true only once for the
     * same state in succession, since peers repeat theirs.
     */
    bool noteIgnored(const EvacuatedZones &state);

    /** Returns false before the first state, when any zone may be evacuated. */
    bool isKnown() const
    {
        return state_.asOf != StorePosition();
    }

    bool includes(const std::string &zone) const
    {
        return state_.zones.count(zone) > 0;
    }

    const EvacuatedZones &state() const
    {
        return state_;
    }

    /** Returns when this process learned of each evacuation in force, by zone. */
    const std::map<std::string, Timestamp> &since() const
    {
        return since_;
    }

private:
    EvacuatedZones state_;
    EvacuatedZones lastIgnored_;
    std::map<std::string, Timestamp> since_;
};

} // namespace rhubarblane

#endif
