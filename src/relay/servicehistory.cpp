#include "relay/servicehistory.h"

#include "relay/flowretention.h"

#include <iterator>

namespace rhubarblane
{

void ServiceHistory::noteTable(Timestamp now, const ServiceTable *current, const ServiceTable &next)
{
    firstTable_ = firstTable_.value_or(now);
    for (auto service = formerGroups_.begin(); service != formerGroups_.end();) {
        std::map<GroupId, Timestamp> &groups = service->second;
        for (auto group = groups.begin(); group != groups.end();) {
            group = now - group->second < FlowRetention ? std::next(group) : groups.erase(group);
        }
        service = groups.empty() ? formerGroups_.erase(service) : std::next(service);
    }
    if (current == nullptr) {
        return;
    }
    for (const auto &[address, service] : current->services) {
        const auto replacement = next.services.find(address);
        for (const WeightedGroup &group : service.groups) {
            if (replacement == next.services.end() || !replacement->second.hasGroup(group.id)) {
                formerGroups_[address][group.id] = now;
            }
        }
    }
}

bool ServiceHistory::mayHoldFlows(Timestamp now, const RelayedService &service, GroupId group) const
{
    if (!firstTable_ || now - *firstTable_ < FlowRetention || service.hasGroup(group)) {
        return true;
    }
    const auto former = formerGroups_.find(service.address);
    if (former == formerGroups_.end()) {
        return false;
    }
    const auto replaced = former->second.find(group);
    return replaced != former->second.end() && now - replaced->second < FlowRetention;
}

} // namespace rhubarblane
