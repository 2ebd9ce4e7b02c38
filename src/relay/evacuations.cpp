#include "relay/evacuations.h"

#include <algorithm>
#include <cstdint>
#include <iterator>

namespace rhubarblane
{

namespace
{

constexpr std::size_t MaximumZoneNameBytes = 64;
// No store counts this far; a higher position from a faulty peer could never be replaced.
constexpr std::uint64_t LatestRevision = 1ULL << 53;
constexpr std::uint64_t LatestEra = 1ULL << 53;

} // namespace

bool isZoneName(const std::string &text)
{
    return !text.empty() && text.size() <= MaximumZoneNameBytes && text.find('/') == std::string::npos;
}

std::string joinNames(const std::set<std::string> &names)
{
    std::string result;
    for (const std::string &name : names) {
        result += (result.empty() ? "" : ",") + name;
    }
    return result;
}

wire::relay::Evacuations toWire(const EvacuatedZones &state)
{
    wire::relay::Evacuations result;
    result.set_as_of(state.asOf.revision.value());
    result.set_era(state.asOf.era.value());
    for (const std::string &zone : state.zones) {
        result.add_zones(zone);
    }
    return result;
}

std::optional<EvacuatedZones> evacuationsFromWire(const wire::relay::Evacuations &encoded)
{
    const bool zonesFit = static_cast<std::size_t>(encoded.zones_size()) <= MaximumEvacuatedZones
        && std::all_of(encoded.zones().begin(), encoded.zones().end(), isZoneName);
    const bool positionFits = encoded.as_of() != 0 && encoded.as_of() <= LatestRevision && encoded.era() <= LatestEra;
    if (!positionFits || !zonesFit) {
        return std::nullopt;
    }
    return EvacuatedZones {{StoreEra(encoded.era()), Revision(encoded.as_of())},
                           {encoded.zones().begin(), encoded.zones().end()}};
}

std::set<std::string> Evacuations::apply(Timestamp now, const EvacuatedZones &state)
{
    std::set<std::string> changed;
    if (state.asOf <= state_.asOf) {
        return changed;
    }
    std::set_symmetric_difference(state_.zones.begin(),
                                  state_.zones.end(),
                                  state.zones.begin(),
                                  state.zones.end(),
                                  std::inserter(changed, changed.end()));
    for (const std::string &zone : changed) {
        if (state.zones.count(zone) > 0) {
            since_[zone] = now;
        } else {
            since_.erase(zone);
        }
    }
    state_ = state;
    return changed;
}

bool Evacuations::noteIgnored(const EvacuatedZones &state)
{
    if (state.zones == state_.zones || (state.asOf == lastIgnored_.asOf && state.zones == lastIgnored_.zones)) {
        return false;
    }
    lastIgnored_ = state;
    return true;
}

} // namespace rhubarblane
