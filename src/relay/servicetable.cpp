#include "relay/servicetable.h"

#include "base/invariant.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace rhubarblane
{

namespace
{

// Eight services of about 90 bytes stay below 1,200 bytes, the payload that every link carries without fragmentation.
constexpr std::size_t ServicesPerPart = 8;
// A table of the design size has 11,000 services (1,375 parts); messages with more than this many parts are malformed.
constexpr std::uint32_t MaximumParts = 4096;

// A peer sends all parts at once, and they are requested again after 100 ms.
constexpr Milliseconds AssemblyTimeout(1000);
constexpr std::uint32_t MaximumPort = 65535;
constexpr double MilliPerUnit = 1000.0;

bool isWellFormed(const wire::relay::TablePart &part)
{
    return part.parts() > 0 && part.parts() <= MaximumParts && part.part() < part.parts()
        && std::all_of(part.services().begin(), part.services().end(), [](const wire::relay::Service &service) {
               return service.port() > 0 && service.port() <= MaximumPort;
           });
}

wire::relay::Service encode(const RelayedService &service)
{
    wire::relay::Service result;
    result.set_name(service.name);
    result.set_address(service.address.address);
    result.set_port(service.address.port);
    for (const WeightedGroup &group : service.groups) {
        wire::relay::WeightedGroup *encoded = result.add_groups();
        encoded->set_group(group.name);
        encoded->set_weight(group.weight);
        if (group.coldFlowRate > 0.0) {
            // A rate that is rounded to 0 would mean no limit.
            const double milli =
                std::clamp(group.coldFlowRate * MilliPerUnit, 1.0, 1.0 * std::numeric_limits<std::uint32_t>::max());
            encoded->set_cold_rate_milli(static_cast<std::uint32_t>(std::round(milli)));
        }
    }
    result.set_timeout_ms(static_cast<std::uint32_t>(service.timeout.count()));
    result.set_objective_ms(static_cast<std::uint32_t>(service.objective.count()));
    result.set_priority(service.priority);
    result.set_at_most_once(service.atMostOnce);
    return result;
}

RelayedService decode(const wire::relay::Service &encoded)
{
    RelayedService result;
    result.name = encoded.name();
    result.address = {encoded.address(), static_cast<std::uint16_t>(encoded.port())};
    for (const wire::relay::WeightedGroup &group : encoded.groups()) {
        result.groups.push_back(
            {group.group(), groupIdOf(group.group()), group.weight(), group.cold_rate_milli() / MilliPerUnit});
    }
    result.timeout = Milliseconds(encoded.timeout_ms());
    result.objective = Milliseconds(encoded.objective_ms());
    result.priority = encoded.priority();
    result.atMostOnce = encoded.at_most_once();
    return result;
}

} // namespace

const WeightedGroup &RelayedService::groupOf(const FlowTuple &flow) const
{
    RHUBARBLANE_INVARIANT(!groups.empty(), "a service of the table has a group");
    if (groups.size() == 1) {
        return groups.front();
    }
    const std::uint64_t total =
        std::accumulate(groups.begin(), groups.end(), std::uint64_t {0}, [](std::uint64_t sum, const WeightedGroup &g) {
            return sum + g.weight;
        });
    if (total == 0) {
        return groups.front();
    }
    std::uint64_t position = flowHashOf(flow).value() % total;
    for (const WeightedGroup &group : groups) {
        if (position < group.weight) {
            return group;
        }
        position -= group.weight;
    }
    return groups.back();
}

void ServiceTable::indexPriorities()
{
    highestPriorities.clear();
    lowestPriorities.clear();
    for (const auto &[address, service] : services) {
        for (const WeightedGroup &group : service.groups) {
            const auto [position, inserted] = highestPriorities.try_emplace(group.id, service.priority);
            position->second = std::min(position->second, service.priority);
            std::uint32_t &lowest = lowestPriorities.try_emplace(group.id, service.priority).first->second;
            lowest = std::max(lowest, service.priority);
        }
    }
    hasSharedGroups = std::any_of(highestPriorities.begin(), highestPriorities.end(), [this](const auto &highest) {
        return lowestPriorities.at(highest.first) > highest.second;
    });
}

void ServiceTable::indexColdRates()
{
    coldFlowRates.clear();
    for (const auto &[address, service] : services) {
        for (const WeightedGroup &group : service.groups) {
            if (group.coldFlowRate > 0.0) {
                const auto [position, inserted] = coldFlowRates.try_emplace(group.id, group.coldFlowRate);
                position->second = std::min(position->second, group.coldFlowRate);
            }
        }
    }
}

double ServiceTable::coldFlowRateOf(GroupId group) const
{
    const auto found = coldFlowRates.find(group);
    return found == coldFlowRates.end() ? 0.0 : found->second;
}

bool ServiceTable::isLessUrgent(const RelayedService &service) const
{
    return std::any_of(service.groups.begin(), service.groups.end(), [&](const WeightedGroup &group) {
        const auto highest = highestPriorities.find(group.id);
        const auto lowest = lowestPriorities.find(group.id);
        return highest != highestPriorities.end() && highest->second < service.priority
            && lowest != lowestPriorities.end() && lowest->second == service.priority;
    });
}

bool ServiceTable::isMoreUrgent(const RelayedService &service) const
{
    const bool shared = std::any_of(service.groups.begin(), service.groups.end(), [&](const WeightedGroup &group) {
        const auto lowest = lowestPriorities.find(group.id);
        return lowest != lowestPriorities.end() && lowest->second > service.priority;
    });
    return shared && !isLessUrgent(service);
}

bool RelayedService::hasGroup(GroupId group) const
{
    return std::any_of(groups.begin(), groups.end(), [group](const WeightedGroup &own) { return own.id == group; });
}

const RelayedService *ServiceTable::find(const FlowTuple &flow) const
{
    const auto found = services.find(PeerAddress {flow.serviceAddress, flow.servicePort});
    return found == services.end() ? nullptr : &found->second;
}

std::vector<wire::relay::TablePart> splitTable(const ServiceTable &table)
{
    const std::size_t count = std::max<std::size_t>(1, (table.services.size() + ServicesPerPart - 1) / ServicesPerPart);
    std::vector<wire::relay::TablePart> parts(count);
    std::size_t index = 0;
    for (const auto &[address, service] : table.services) {
        *parts[index++ / ServicesPerPart].add_services() = encode(service);
    }
    for (std::size_t part = 0; part < count; ++part) {
        parts[part].set_version(table.version.value());
        parts[part].set_part(static_cast<std::uint32_t>(part));
        parts[part].set_parts(static_cast<std::uint32_t>(count));
        parts[part].set_idle_timeout_ms(static_cast<std::uint32_t>(table.idleTimeout.count()));
    }
    return parts;
}

std::optional<ServiceTable> TableAssembler::add(Timestamp now, const wire::relay::TablePart &part)
{
    if (!isWellFormed(part)) {
        return std::nullopt;
    }
    const TableVersion version(part.version());
    const bool abandoned = !received_.empty() && now - lastNewPart_ >= AssemblyTimeout;
    if (version < version_ && !abandoned) {
        return std::nullopt;
    }
    if (version != version_ || part.parts() != parts_) {
        version_ = version;
        parts_ = part.parts();
        received_.clear();
    }
    if (received_.insert_or_assign(part.part(), part).second) {
        lastNewPart_ = now;
    }
    if (received_.size() < parts_) {
        return std::nullopt;
    }
    ServiceTable table;
    table.version = version_;
    for (const auto &[index, received] : std::exchange(received_, {})) {
        table.idleTimeout = Milliseconds(received.idle_timeout_ms());
        for (const wire::relay::Service &service : received.services()) {
            RelayedService decoded = decode(service);
            if (!decoded.groups.empty()) {
                table.services[decoded.address] = std::move(decoded);
            }
        }
    }
    return table;
}

} // namespace rhubarblane
