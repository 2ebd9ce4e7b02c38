#include "membership/failuredetector.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

constexpr std::size_t RelayLimit = 64;
constexpr std::size_t WitnessesNeeded = 2;

} // namespace

void FailureDetector::distrustTimers(Timestamp now)
{
    for (auto &[id, watch] : watches_) {
        watch.phase = Phase::Idle;
        watch.due = now;
        watch.suspectSince = now;
        watch.witnesses.clear();
    }
    relays_.clear();
}

void FailureDetector::chooseWatched(Timestamp now, BalancerId self, const MemberTable &members, std::mt19937_64 &random)
{
    const std::vector<BalancerId> &ring = members.regionPeers();
    const auto start = std::lower_bound(ring.begin(), ring.end(), self);
    std::set<BalancerId> chosen;
    std::size_t trusted = 0;
    for (std::size_t i = 0; i < ring.size() && trusted < Watched; ++i) {
        const std::size_t offset = (static_cast<std::size_t>(start - ring.begin()) + i) % ring.size();
        const BalancerId id = ring[offset];
        chosen.insert(id);
        // Suspects do not count, so the members behind several that died at once are probed without delay.
        trusted += isSuspect(id) ? 0 : 1;
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

bool FailureDetector::isProven(Timestamp now, const Watch &watch, std::size_t peers) const
{
    if (!watch.suspect) {
        return false;
    }
    if (peers < 2) {
        return now - watch.suspectSince >= SuspicionTime * NoWitnessFactor;
    }
    // Witnesses also prove that this process can receive. One that is cut off has none and keeps its last view.
    const std::size_t needed = std::min(WitnessesNeeded, peers - 1);
    return now - watch.suspectSince >= SuspicionTime && watch.witnesses.size() >= needed;
}

void FailureDetector::step(Timestamp now,
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
        for (std::size_t i = 0; i < Helpers && i < helpers.size(); ++i) {
            std::swap(helpers[i], helpers[i + random() % (helpers.size() - i)]);
            actions.emplace_back(RequestProbe {helpers[i], subject, watch.probe});
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
        step(now, subject, watch, members, random, actions);
        return;
    }
}

std::vector<DetectorAction>
FailureDetector::tick(Timestamp now, BalancerId self, const MemberTable &members, std::mt19937_64 &random)
{
    std::vector<DetectorAction> actions;
    chooseWatched(now, self, members, random);
    const std::size_t peers = members.regionPeers().size();
    for (auto &[id, watch] : watches_) {
        if (isProven(now, watch, peers)) {
            actions.emplace_back(DeclareGone {id});
        } else {
            step(now, id, watch, members, random, actions);
        }
    }
    for (auto position = relays_.begin(); position != relays_.end();) {
        if (now < position->deadline) {
            ++position;
            continue;
        }
        actions.emplace_back(AnswerRequest {position->requester, position->subject, position->probe, true});
        position = relays_.erase(position);
    }
    return actions;
}

void FailureDetector::heard(Timestamp now, BalancerId member)
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

void FailureDetector::unreachable(BalancerId member, BalancerId helper)
{
    const auto position = watches_.find(member);
    if (position != watches_.end()) {
        position->second.witnesses.insert(helper);
    }
}

std::uint64_t
FailureDetector::relay(Timestamp now, const PeerAddress &requester, std::uint64_t theirProbe, BalancerId subject)
{
    if (relays_.size() >= RelayLimit) {
        return 0;
    }
    relays_.push_back(Relay {requester, theirProbe, subject, now + ProbeTimeout});
    return nextProbe_++;
}

std::vector<AnswerRequest> FailureDetector::relayAnswered(BalancerId subject)
{
    std::vector<AnswerRequest> answers;
    for (auto position = relays_.begin(); position != relays_.end();) {
        if (position->subject != subject) {
            ++position;
            continue;
        }
        answers.push_back(AnswerRequest {position->requester, subject, position->probe, false});
        position = relays_.erase(position);
    }
    return answers;
}

bool FailureDetector::isSuspect(BalancerId member) const
{
    const auto position = watches_.find(member);
    return position != watches_.end() && position->second.suspect;
}

std::size_t FailureDetector::suspects() const
{
    return static_cast<std::size_t>(
        std::count_if(watches_.begin(), watches_.end(), [](const auto &entry) { return entry.second.suspect; }));
}

} // namespace rhubarblane
