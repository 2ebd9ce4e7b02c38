#include "membership/failuredetector.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

constexpr std::size_t IndirectProbeLimit = 64;
constexpr std::size_t WitnessesNeeded = 2;

} // namespace

void FailureDetector::resetTimers(Timestamp now)
{
    for (auto &[id, watch] : watches_) {
        watch.phase = Phase::Idle;
        watch.due = now;
        watch.suspectSince = now;
        watch.witnesses.clear();
    }
    indirectProbes_.clear();
}

void FailureDetector::updateWatches(Timestamp now, BalancerId self, const MemberTable &members, std::mt19937_64 &random)
{
    const std::vector<BalancerId> &ring = members.regionPeers();
    const auto start = std::lower_bound(ring.begin(), ring.end(), self);
    std::set<BalancerId> chosen;
    std::size_t unsuspected = 0;
    for (std::size_t i = 0; i < ring.size() && unsuspected < WatchedMembers; ++i) {
        const std::size_t offset = (static_cast<std::size_t>(start - ring.begin()) + i) % ring.size();
        const BalancerId id = ring[offset];
        chosen.insert(id);
        // Suspects do not count towards the limit, so if several neighbours on the ring fail at once, the members after
        // them are still probed without delay.
        unsuspected += isSuspect(id) ? 0 : 1;
        if (watches_.find(id) == watches_.end()) {
            Watch watch;
            watch.due = now + Milliseconds(static_cast<std::int64_t>(random() % 500));
            watches_.emplace(id, watch);
        }
    }
    for (auto position = watches_.begin(); position != watches_.end();) {
        const bool isLive = std::binary_search(ring.begin(), ring.end(), position->first);
        const bool keep = isLive && (position->second.suspect || chosen.count(position->first) > 0);
        position = keep ? std::next(position) : watches_.erase(position);
    }
}

bool FailureDetector::canDeclareGone(Timestamp now, const Watch &watch, std::size_t peers) const
{
    if (!watch.suspect) {
        return false;
    }
    if (peers < 2) {
        return now - watch.suspectSince >= SuspicionTime * NoWitnessFactor;
    }
    // Answers of witnesses also prove that this process can receive. An isolated process has no witnesses and keeps its
    // last view.
    const std::size_t needed = std::min(WitnessesNeeded, peers - 1);
    return now - watch.suspectSince >= SuspicionTime && watch.witnesses.size() >= needed;
}

void FailureDetector::advanceProbe(Timestamp now,
                                   BalancerId subject,
                                   Watch &watch,
                                   const MemberTable &members,
                                   std::mt19937_64 &random,
                                   std::vector<DetectorAction> &actions)
{
    if (now < watch.due) {
        return;
    }
    watch.due = now + ProbeTimeout;
    switch (watch.phase) {
    case Phase::Idle:
        watch.phase = Phase::Direct;
        watch.probe = nextProbe_++;
        actions.emplace_back(ProbeMember {subject, watch.probe});
        return;
    case Phase::Direct: {
        watch.phase = Phase::Indirect;
        actions.emplace_back(ProbeMember {subject, watch.probe});
        std::vector<BalancerId> helpers;
        for (const BalancerId peer : members.regionPeers()) {
            if (peer != subject && !isSuspect(peer)) {
                helpers.push_back(peer);
            }
        }
        for (std::size_t i = 0; i < HelpersPerProbe && i < helpers.size(); ++i) {
            std::swap(helpers[i], helpers[i + random() % (helpers.size() - i)]);
            actions.emplace_back(RequestIndirectProbe {helpers[i], subject, watch.probe});
        }
        return;
    }
    case Phase::Indirect:
        if (!watch.suspect) {
            watch.suspect = true;
            watch.suspectSince = now;
            watch.witnesses.clear();
        }
        watch.phase = Phase::Idle;
        watch.due = now;
        advanceProbe(now, subject, watch, members, random, actions);
        return;
    }
}

std::vector<DetectorAction>
FailureDetector::tick(Timestamp now, BalancerId self, const MemberTable &members, std::mt19937_64 &random)
{
    std::vector<DetectorAction> actions;
    updateWatches(now, self, members, random);
    const std::size_t peers = members.regionPeers().size();
    for (auto &[id, watch] : watches_) {
        if (canDeclareGone(now, watch, peers)) {
            actions.emplace_back(DeclareGone {id});
        } else {
            advanceProbe(now, id, watch, members, random, actions);
        }
    }
    for (auto position = indirectProbes_.begin(); position != indirectProbes_.end();) {
        if (now < position->deadline) {
            ++position;
            continue;
        }
        actions.emplace_back(AnswerProbeRequest {position->requester, position->subject, position->probe, true});
        position = indirectProbes_.erase(position);
    }
    return actions;
}

void FailureDetector::confirmAlive(Timestamp now, BalancerId member)
{
    const auto position = watches_.find(member);
    if (position == watches_.end()) {
        return;
    }
    Watch &watch = position->second;
    watch.suspect = false;
    watch.witnesses.clear();
    if (watch.phase != Phase::Idle) {
        watch.phase = Phase::Idle;
        watch.due = now + ProbeInterval;
    }
}

void FailureDetector::recordUnreachable(BalancerId member, BalancerId helper)
{
    const auto position = watches_.find(member);
    if (position != watches_.end()) {
        position->second.witnesses.insert(helper);
    }
}

std::uint64_t FailureDetector::startIndirectProbe(Timestamp now,
                                                  const PeerAddress &requester,
                                                  std::uint64_t requesterProbe,
                                                  BalancerId subject)
{
    if (indirectProbes_.size() >= IndirectProbeLimit) {
        return 0;
    }
    indirectProbes_.push_back(IndirectProbe {requester, requesterProbe, subject, now + ProbeTimeout});
    return nextProbe_++;
}

std::vector<AnswerProbeRequest> FailureDetector::finishIndirectProbes(BalancerId subject)
{
    std::vector<AnswerProbeRequest> answers;
    for (auto position = indirectProbes_.begin(); position != indirectProbes_.end();) {
        if (position->subject != subject) {
            ++position;
            continue;
        }
        answers.push_back(AnswerProbeRequest {position->requester, subject, position->probe, false});
        position = indirectProbes_.erase(position);
    }
    return answers;
}

bool FailureDetector::isSuspect(BalancerId member) const
{
    const auto position = watches_.find(member);
    return position != watches_.end() && position->second.suspect;
}

std::size_t FailureDetector::suspectCount() const
{
    return static_cast<std::size_t>(
        std::count_if(watches_.begin(), watches_.end(), [](const auto &entry) { return entry.second.suspect; }));
}

} // namespace rhubarblane
