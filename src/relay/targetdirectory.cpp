#include "relay/targetdirectory.h"

#include "relay/flowretention.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

// Longer than the restart of an agent, during which its target keeps its flows.
constexpr Milliseconds Retention(15000);

TargetState stateOf(const wire::relay::Load &load)
{
    const std::uint32_t state = load.state();
    return state <= static_cast<std::uint32_t>(TargetState::Ejected) ? static_cast<TargetState>(state)
                                                                     : TargetState::Unknown;
}

} // namespace

TargetDirectory::TargetDirectory(std::string availabilityZone)
    : availabilityZone_(std::move(availabilityZone))
{
}

bool TargetDirectory::report(Timestamp now, const Peer &agent, const wire::relay::Report &report)
{
    const GroupId groupId = groupIdOf(report.group());
    const auto [position, inserted] = targets_.try_emplace(agent.address);
    KnownTarget &target = position->second;
    const bool replaced = !inserted && (target.agent.name != agent.name || target.group != groupId);
    const bool restarted = !inserted && target.agent.incarnation != agent.incarnation;
    const TargetState before = target.state;
    if (replaced || restarted) {
        target.sequence = 0;
        target.offered = 0;
    }
    if (inserted || replaced) {
        if (replaced) {
            removeFromGroup(target);
        }
        target = KnownTarget();
        target.group = groupId;
        target.groupName = report.group();
        groups_[groupId].push_back(agent.address);
    }
    target.agent = agent;
    target.sameZone = agent.availabilityZone == availabilityZone_;
    target.evacuated = evacuatedZones_.count(agent.availabilityZone) > 0;
    target.reportInterval =
        std::clamp(Milliseconds(report.interval_ms()), ShortestReportInterval, LongestOtherZoneReportInterval);
    apply(now, target, report.load());
    return inserted || replaced || before != target.state;
}

void TargetDirectory::updateLoad(Timestamp now, const PeerAddress &agent, const wire::relay::Load &load)
{
    const auto found = targets_.find(agent);
    if (found != targets_.end()) {
        apply(now, found->second, load);
    }
}

void TargetDirectory::apply(Timestamp now, KnownTarget &target, const wire::relay::Load &load)
{
    target.lastContact = now;
    target.offerUnanswered = false;
    if (load.sequence() <= target.sequence) {
        return;
    }
    target.sequence = load.sequence();
    target.loadTime = now;
    target.state = stateOf(load);
    if (target.state != TargetState::Unknown) {
        target.hasRun = target.state != TargetState::Gone;
    }
    target.slots = std::max<std::uint32_t>(1, load.slots());
    target.busy = load.busy();
    target.opening = load.opening();
    target.openFlows = load.open_flows();
    target.serviceTimeMs = load.service_time_us() / 1000.0;
    target.utilization = load.utilization() / 1000.0;
    target.coldUntil = now + Milliseconds(load.cold_for_ms());
    target.coldOpeningsLeft =
        load.cold_openings_left() == 0 ? std::nullopt : std::optional<std::uint32_t>(load.cold_openings_left() - 1);
    target.offered = 0;
}

std::set<std::string> TargetDirectory::setEvacuatedZones(const std::set<std::string> &zones)
{
    evacuatedZones_ = zones;
    std::set<std::string> withoutTarget = zones;
    for (auto &[address, target] : targets_) {
        target.evacuated = evacuatedZones_.count(target.agent.availabilityZone) > 0;
        withoutTarget.erase(target.agent.availabilityZone);
    }
    return withoutTarget;
}

void TargetDirectory::noteOffer(const PeerAddress &agent)
{
    const auto found = targets_.find(agent);
    if (found != targets_.end()) {
        ++found->second.offered;
    }
}

void TargetDirectory::noteUnansweredOffer(const PeerAddress &agent)
{
    const auto found = targets_.find(agent);
    if (found != targets_.end()) {
        found->second.offerUnanswered = true;
    }
}

void TargetDirectory::remove(const PeerAddress &agent)
{
    const auto found = targets_.find(agent);
    if (found != targets_.end()) {
        removeFromGroup(found->second);
        targets_.erase(found);
    }
}

void TargetDirectory::removeFromGroup(const KnownTarget &target)
{
    std::vector<PeerAddress> &members = groups_[target.group];
    members.erase(std::remove(members.begin(), members.end(), target.agent.address), members.end());
}

std::vector<Peer> TargetDirectory::expire(Timestamp now)
{
    std::vector<Peer> expired;
    for (auto target = targets_.begin(); target != targets_.end();) {
        if (now - target->second.lastContact < Retention) {
            ++target;
            continue;
        }
        expired.push_back(target->second.agent);
        Vanished &vanished = vanished_[target->second.group];
        vanished.lastContact = target->second.lastContact;
        if (target->second.hasRun) {
            vanished.lastRun = target->second.lastContact;
        }
        removeFromGroup(target->second);
        target = targets_.erase(target);
    }
    return expired;
}

bool TargetDirectory::mayHaveVanished(Timestamp now, GroupId group) const
{
    const auto found = vanished_.find(group);
    return found != vanished_.end() && now - found->second.lastContact < FlowRetention;
}

std::vector<GroupId> TargetDirectory::groupsOfVanishedTargets(Timestamp now) const
{
    std::vector<GroupId> result;
    for (const auto &[group, vanished] : vanished_) {
        if (vanished.lastRun && now - *vanished.lastRun < FlowRetention) {
            result.push_back(group);
        }
    }
    return result;
}

const KnownTarget *TargetDirectory::find(const PeerAddress &agent) const
{
    const auto found = targets_.find(agent);
    return found == targets_.end() ? nullptr : &found->second;
}

std::vector<const KnownTarget *> TargetDirectory::ofGroup(GroupId group) const
{
    std::vector<const KnownTarget *> result;
    const auto found = groups_.find(group);
    if (found != groups_.end()) {
        for (const PeerAddress &address : found->second) {
            result.push_back(&targets_.at(address));
        }
    }
    return result;
}

bool TargetDirectory::isUsable(Timestamp now, const KnownTarget &target)
{
    const bool takesFlows = target.state == TargetState::Ready || target.state == TargetState::Ejected;
    return takesFlows && !target.offerUnanswered && isReporting(now, target);
}

bool TargetDirectory::isReporting(Timestamp now, const KnownTarget &target)
{
    return now - target.lastContact < target.reportInterval * MissedReports;
}

} // namespace rhubarblane
