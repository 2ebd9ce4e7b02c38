#include "membership/membershipcore.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rhubarblane
{

namespace
{

/** A longer time without an event means that this process did not run, so expired timers prove nothing about peers. */
constexpr Milliseconds ClockGap(1000);
/** Bytes of the UDP and IP headers and of the datagram seal. */
constexpr std::size_t DatagramOverhead = 28 + 40;
/** Maximum bytes of rumors in a probe or its acknowledgement. */
constexpr std::size_t PiggybackBytes = 300;
constexpr std::size_t SpreadFanout = 3;
constexpr std::size_t BatchesPerTick = 4;
constexpr std::uint32_t RemoteTransmissions = 4;
constexpr std::size_t ConflictLimit = 64;
constexpr std::int64_t JoinBackoffMs = 500;
constexpr std::int64_t JoinBackoffLimitMs = 30000;
/** Digests differ while rumors are in transit, so only a difference that lasts this long starts an exchange. */
constexpr Milliseconds SyncDelay(1200);

std::int64_t backoff(std::uint32_t attempts)
{
    return std::min(JoinBackoffMs << std::min<std::uint32_t>(attempts, 10), JoinBackoffLimitMs);
}

} // namespace

MembershipCore::MembershipCore(MembershipSettings settings)
    : settings_(std::move(settings))
    , self_(balancerIdOf(settings_.name))
    , random_(settings_.randomSeed)
    , members_(self_, settings_.availabilityZone, settings_.region)
    , budget_(settings_.bytesPerSecond)
    , sync_(members_, targets_)
    , inForce_(self_, settings_.availabilityZone)
{
    wire::BalancerEntry entry;
    entry.set_balancer(self_.value());
    entry.set_incarnation(settings_.incarnation.value());
    entry.set_sequence(1);
    entry.set_name(settings_.name);
    *entry.mutable_address() = toWire(settings_.address);
    *entry.mutable_http_address() = toWire(settings_.httpAddress);
    entry.set_availability_zone(settings_.availabilityZone);
    entry.set_region(settings_.region);
    entry.set_state(wire::SERVING);
    members_.merge(now_, entry);
    nextJoin_ = now_ + jitter(0, JoinBackoffMs);
    nextSync_ = now_ + jitter(0, SyncDelay.count());
}

Milliseconds MembershipCore::jitter(std::int64_t from, std::int64_t to)
{
    return Milliseconds(from + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(to - from + 1)));
}

PeerAddress MembershipCore::addressOf(BalancerId id) const
{
    const Member *member = members_.member(id);
    return member != nullptr ? member->address : PeerAddress();
}

void MembershipCore::advance(Timestamp now)
{
    if (!started_) {
        started_ = true;
        lastEvent_ = now;
    }
    const Milliseconds passed = now - lastEvent_;
    lastEvent_ = now;
    // A pause or a clock jump advances the running time by at most ClockGap, so that it does not expire tombstones.
    now_ = now_ + std::clamp(passed, Milliseconds(0), ClockGap);
    if (passed > ClockGap || passed < Milliseconds(0)) {
        ++counters_.clockGaps;
        detector_.resetTimers(now_);
        differences_.clear();
    }
    budget_.advance(now_);
}

bool MembershipCore::send(const PeerAddress &to, wire::Gossip message, TrafficClass traffic)
{
    if (to == settings_.address || to == PeerAddress() || !budget_.admit(traffic)) {
        return false;
    }
    const Member &self = *members_.member(self_);
    message.set_sender(self_.value());
    message.set_incarnation(self.version.incarnation);
    message.set_sequence(self.version.sequence);
    message.set_configuration_revision(revision_);
    message.set_configuration_digest(configurationDigest_);
    message.set_member_digest(members_.digests().root());
    message.set_target_digest(targets_.digests().root());
    MembershipSend action;
    action.to = to;
    *action.message.mutable_gossip() = std::move(message);
    budget_.charge(traffic, action.message.ByteSizeLong() + DatagramOverhead);
    actions_.push_back(std::move(action));
    return true;
}

void MembershipCore::probe(const PeerAddress &to, std::uint64_t number, BalancerId subject)
{
    wire::Gossip message;
    message.set_kind(wire::Gossip::PROBE);
    message.set_probe(number);
    const Member *member = members_.member(subject);
    if (member != nullptr && member->version.isGone()) {
        *message.add_balancer_changes() = toChange(subject.value(), member->version);
    }
    piggyback(message);
    send(to, std::move(message), TrafficClass::Probe);
}

std::uint32_t MembershipCore::transmissions(bool changeOnly) const
{
    // If many entries change at once, as when all balancers start, anti-entropy transfers them in fewer bytes.
    if (!changeOnly && rumors_.size() > RumorQueue::ReducedTransmissionsThreshold) {
        return SpreadFanout;
    }
    // If each process sends a rumor this many times, about e^-6 of the processes miss it. They receive the entry by
    // anti-entropy.
    return 6 + static_cast<std::uint32_t>(std::ceil(std::log(static_cast<double>(members_.liveCount()))));
}

void MembershipCore::spread(bool target, std::uint64_t id, bool changeOnly)
{
    Rumor rumor;
    rumor.target = target;
    rumor.id = id;
    rumor.changeOnly = changeOnly;
    rumor.traffic = target ? TrafficClass::Target : TrafficClass::Member;
    if (changeOnly) {
        rumor.traffic = TrafficClass::Urgent;
    }
    // With two more transmissions, the number of balancers that miss a drain and wait for anti-entropy is lower by a
    // factor of e^2.
    rumor.transmissions = transmissions(changeOnly) + (changeOnly ? 2 : 0);
    rumor.remoteTransmissions = members_.isBridge() && !members_.otherRegions().empty() ? RemoteTransmissions : 0;
    rumors_.add(rumor);
}

wire::Gossip MembershipCore::collect(const std::vector<Rumor> &rumors, std::size_t &next, std::size_t limit) const
{
    wire::Gossip message;
    message.set_kind(wire::Gossip::SPREAD);
    std::size_t bytes = 0;
    for (; next < rumors.size(); ++next) {
        const Rumor &rumor = rumors[next];
        const EntryTable &table = rumor.target ? static_cast<const EntryTable &>(targets_) : members_;
        wire::Gossip item;
        const std::optional<EntryVersion> version = table.find(rumor.id);
        if (version && (rumor.changeOnly || !table.append(rumor.id, item))) {
            *(rumor.target ? item.add_target_changes() : item.add_balancer_changes()) = toChange(rumor.id, *version);
        }
        const std::size_t size = item.ByteSizeLong();
        if (bytes + size > limit) {
            break;
        }
        bytes += size;
        message.MergeFrom(item);
    }
    return message;
}

void MembershipCore::piggyback(wire::Gossip &message)
{
    if (rumors_.size() == 0) {
        return;
    }
    const std::vector<Rumor> rumors = rumors_.pending(false);
    std::size_t next = 0;
    wire::Gossip items = collect(rumors, next, PiggybackBytes);
    items.clear_kind();
    message.MergeFrom(items);
    for (std::size_t i = 0; i < next; ++i) {
        rumors_.recordSent(rumors[i].target, rumors[i].id, 1, 0);
    }
}

void MembershipCore::flushRumors()
{
    const std::vector<Rumor> rumors = rumors_.pending(false);
    std::size_t next = 0;
    const auto sendToPeers = [this](const wire::Gossip &message, TrafficClass traffic) {
        std::uint32_t sent = 0;
        std::vector<BalancerId> chosen;
        for (std::size_t i = 0; i < SpreadFanout; ++i) {
            const std::optional<BalancerId> peer = members_.randomPeer(random_);
            if (peer && std::find(chosen.begin(), chosen.end(), *peer) == chosen.end()) {
                chosen.push_back(*peer);
                sent += send(addressOf(*peer), message, traffic) ? 1 : 0;
            }
        }
        return sent;
    };
    std::uint32_t sentInAll = 0;
    for (std::size_t batch = 0; batch < BatchesPerTick && next < rumors.size(); ++batch) {
        const std::size_t first = next;
        const wire::Gossip message = collect(rumors, next, EntrySync::EntryBytes);
        const std::uint32_t sent = sendToPeers(message, rumors[first].traffic);
        if (sent == 0) {
            break;
        }
        sentInAll += sent;
        for (std::size_t i = first; i < next; ++i) {
            rumors_.recordSent(rumors[i].target, rumors[i].id, sent, 0);
        }
    }
    // Every message carries the revision, so separate messages are needed only if there are no other rumors.
    if (configurationTransmissions_ > 0) {
        if (sentInAll == 0) {
            wire::Gossip message;
            message.set_kind(wire::Gossip::SPREAD);
            sentInAll = sendToPeers(message, TrafficClass::Urgent);
        }
        configurationTransmissions_ -= std::min(configurationTransmissions_, sentInAll);
    }
}

void MembershipCore::flushRemote()
{
    if (!members_.isBridge() || members_.otherRegions().empty()) {
        configurationRemote_ = 0;
        return;
    }
    const std::vector<Rumor> rumors = rumors_.pending(true);
    if (rumors.empty() && configurationRemote_ == 0) {
        return;
    }
    std::size_t next = 0;
    const wire::Gossip message = collect(rumors, next, EntrySync::EntryBytes);
    const TrafficClass traffic = next > 0 ? rumors.front().traffic : TrafficClass::Urgent;
    bool isSent = false;
    for (const auto &[region, peers] : members_.otherRegions()) {
        isSent = send(addressOf(members_.remotePeer(peers, random_)), message, traffic) || isSent;
    }
    if (isSent) {
        configurationRemote_ -= std::min<std::uint32_t>(configurationRemote_, 1);
        for (std::size_t i = 0; i < next; ++i) {
            rumors_.recordSent(rumors[i].target, rumors[i].id, 0, 1);
        }
    }
}

void MembershipCore::runDetector()
{
    for (const DetectorAction &action : detector_.tick(now_, self_, members_, random_)) {
        if (const auto *probeAction = std::get_if<ProbeMember>(&action)) {
            probe(addressOf(probeAction->subject), probeAction->probe, probeAction->subject);
        } else if (const auto *request = std::get_if<RequestIndirectProbe>(&action)) {
            wire::Gossip message;
            message.set_kind(wire::Gossip::PROBE_REQUEST);
            message.set_probe(request->probe);
            *message.mutable_subject() = toWire(addressOf(request->subject));
            send(addressOf(request->helper), std::move(message), TrafficClass::Probe);
        } else if (const auto *answer = std::get_if<AnswerProbeRequest>(&action)) {
            wire::Gossip message;
            message.set_kind(wire::Gossip::ACK);
            message.set_probe(answer->probe);
            message.set_unreachable(answer->unreachable);
            *message.mutable_subject() = toWire(addressOf(answer->subject));
            send(answer->to, std::move(message), TrafficClass::Probe);
        } else if (const auto *gone = std::get_if<DeclareGone>(&action)) {
            EntryVersion version = members_.member(gone->subject)->version;
            version.state = wire::GONE;
            ++counters_.declaredGone;
            mergeMember(members_.merge(now_, toChange(gone->subject.value(), version)), gone->subject.value(), true);
        }
    }
}

void MembershipCore::runJoin()
{
    if (now_ < nextJoin_) {
        return;
    }
    // The jitter keeps processes that start at once after an outage from contacting the seeds at once.
    nextJoin_ = now_ + jitter(JoinBackoffMs / 2, backoff(joinAttempts_++));
    // Unknown seeds are contacted even if other members are known, so that two groups of balancers that joined through
    // different seeds merge.
    std::vector<PeerAddress> unknown;
    for (const PeerAddress &seed : settings_.seeds) {
        if (seed != settings_.address && !members_.memberAt(seed)) {
            unknown.push_back(seed);
        }
    }
    if (unknown.empty()) {
        return;
    }
    const PeerAddress seed = unknown[random_() % unknown.size()];
    wire::Gossip message;
    message.set_kind(wire::Gossip::PROBE);
    wire::Gossip self;
    members_.append(self_.value(), self);
    *message.mutable_self() = self.balancers(0);
    send(seed, std::move(message), TrafficClass::Probe);
}

void MembershipCore::runContacts()
{
    if (now_ >= nextTombstoneProbe_) {
        // The mean interval grows with the fleet, so that all balancers together probe at most 20 tombstones per
        // second. The end of a partition is still detected soon, because any of these probes may reach a live member.
        const auto live = static_cast<std::int64_t>(members_.liveCount());
        nextTombstoneProbe_ = now_ + jitter(500, std::max<std::int64_t>(1500, live * 100));
        const std::vector<BalancerId> gone = members_.tombstones();
        if (!gone.empty()) {
            const BalancerId subject = gone[random_() % gone.size()];
            probe(addressOf(subject), 0, subject);
        }
    }
    if (now_ >= nextRemoteContact_) {
        nextRemoteContact_ = now_ + jitter(1000, 2000);
        for (const auto &[region, peers] : members_.otherRegions()) {
            if (members_.isBridge() || random_() % 64 == 0) {
                const BalancerId peer = members_.remotePeer(peers, random_);
                probe(addressOf(peer), 0, peer);
            }
        }
    }
}

void MembershipCore::verifyGone(BalancerId member, const PeerAddress &peer)
{
    if (conflicts_.size() < ConflictLimit) {
        conflicts_.push_back(Conflict {member, peer, now_ + ClockGap});
        probe(addressOf(member), 0, member);
    }
}

void MembershipCore::runConflicts()
{
    for (const MemberConflict &conflict : sync_.takeConflicts()) {
        verifyGone(conflict.member, conflict.peer);
    }
    for (auto position = conflicts_.begin(); position != conflicts_.end();) {
        if (now_ < position->deadline) {
            ++position;
            continue;
        }
        const Member *member = members_.member(position->member);
        if (member != nullptr && member->version.isGone()) {
            wire::Gossip message;
            message.set_kind(wire::Gossip::SPREAD);
            *message.add_balancer_changes() = toChange(position->member.value(), member->version);
            send(position->peer, std::move(message), TrafficClass::Member);
        }
        position = conflicts_.erase(position);
    }
}

void MembershipCore::runSync()
{
    if (sync_.isRequesting()) {
        if (budget_.mayRequest()) {
            for (SyncMessage &request : sync_.nextRequest()) {
                send(request.to, std::move(request.message), TrafficClass::Sync);
            }
        }
        return;
    }
    if (now_ < nextSync_) {
        return;
    }
    std::vector<std::pair<Difference *, std::size_t>> lasting;
    for (auto &[region, difference] : differences_) {
        for (std::size_t table = 0; table < difference.since.size(); ++table) {
            if (difference.since[table] && now_ - *difference.since[table] >= SyncDelay) {
                lasting.emplace_back(&difference, table);
            }
        }
    }
    if (lasting.empty()) {
        return;
    }
    nextSync_ = now_ + jitter(500, 1500);
    ++counters_.syncs;
    const auto [difference, table] = lasting[random_() % lasting.size()];
    difference->since[table].reset();
    SyncMessage start = sync_.start(difference->peer[table], table == 0, table == 1);
    send(start.to, std::move(start.message), TrafficClass::Sync);
}

void MembershipCore::runInForce()
{
    for (const InForceMessage &action : inForce_.tick(now_, members_, random_)) {
        wire::Gossip message;
        message.set_kind(wire::Gossip::SPREAD);
        message.set_in_force_report(action.report);
        message.set_wants_in_force(action.wantsSummary);
        for (const wire::InForceSummary &summary : action.summaries) {
            *message.add_in_force() = summary;
        }
        send(addressOf(action.to), std::move(message), TrafficClass::InForce);
    }
}

void MembershipCore::tick(Timestamp now)
{
    advance(now);
    if (leaving_) {
        return;
    }
    runDetector();
    runJoin();
    runContacts();
    runConflicts();
    flushRumors();
    flushRemote();
    runInForce();
    runSync();
    if (now_ >= nextExpiry_) {
        nextExpiry_ = now_ + Milliseconds(10000);
        members_.expire(now_);
        targets_.expire(now_);
    }
}

std::vector<MembershipSend> MembershipCore::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace rhubarblane
