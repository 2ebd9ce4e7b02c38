#include "agent/groupview.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr Milliseconds HeartbeatInterval(500);
// Three missed heartbeats.
constexpr Milliseconds UnresponsiveTime(1600);
// Gone members are still probed every few rounds, so that the two sides of a network partition detect each other again.
constexpr unsigned RoundsBetweenProbes = 4;
// Longer than any message or cached view of a removed member exists.
constexpr Milliseconds TombstoneLifetime(3600000);

} // namespace

GroupView::GroupView(wire::TargetEntry self)
    : self_(std::move(self))
{
}

void GroupView::start(Timestamp now, ServiceId service, bool atMostOnce)
{
    atMostOnce_ = atMostOnce;
    if (started_) {
        return;
    }
    started_ = true;
    self_.set_service(service.value());
    changeState(now, self_.state());
}

void GroupView::mergeFromBalancer(Timestamp now, const wire::TargetEntry &entry)
{
    if (entry.state() != wire::GONE && entry.target() != self_.target()) {
        merge(now, entry);
    }
}

void GroupView::remove(Timestamp now, TargetId target)
{
    const wire::TargetEntry *entry = roster_.find(target);
    if (entry == nullptr || entry->state() == wire::GONE || !isSilent(now, *entry)) {
        return;
    }
    wire::TargetEntry gone = *entry;
    gone.set_state(wire::GONE);
    gone.set_sequence(gone.sequence() + 1);
    gone.set_state_sequence(roster_.highestStateSequence() + 1);
    quorum_.remove(target);
    merge(now, gone);
}

bool GroupView::handle(Timestamp now, const PeerAddress &from, const wire::Heartbeat &message)
{
    if (message.target() == self_.target()) {
        superseded_ = superseded_ || message.incarnation() > self_.incarnation();
        return false;
    }
    if (!started_ || superseded_) {
        return true;
    }
    for (const wire::TargetEntry &entry : message.entries()) {
        if (entry.target() == self_.target()) {
            mergeSelf(now, entry);
        } else {
            merge(now, entry);
        }
    }
    if (roster_.mergeStateSequence(message.state_sequence())) {
        rosterChanged();
    }
    const wire::TargetEntry *sender = roster_.find(TargetId(message.target()));
    if (sender != nullptr && sender->incarnation() > message.incarnation()) {
        return false;
    }
    if (sender == nullptr || sender->incarnation() < message.incarnation()) {
        wire::TargetEntry unknown;
        unknown.set_target(message.target());
        *unknown.mutable_address() = toWire(from);
        sendHeartbeat(now, unknown, true, true, true);
        return true;
    }
    Peer &peer = peers_[message.target()];
    const bool late = message.sent_ms() < peer.lastSentMs
        && message.sent_ms() + static_cast<std::uint64_t>(PacketLifetime.count()) > peer.lastSentMs;
    const bool sameRoster = message.roster_digest() == roster_.digest();
    if (!late) {
        peer.lastContact = now;
        peer.lastSentMs = message.sent_ms();
        peer.heartbeatReceived = true;
        peer.registeredDigest = message.registered_digest();
        peer.hasMajority = message.has_majority() && sameRoster;
        peer.load = message.load();
    }
    const Timestamp echo(static_cast<std::int64_t>(message.echo_sent_ms()));
    if (sameRoster && message.echo_sent_ms() != 0 && echo <= now && echo >= earliestLeaseStart_
        && (!peer.leaseStart || echo > *peer.leaseStart)) {
        peer.leaseStart = echo;
    }
    const bool isBehind = !sameRoster || sender->sequence() < message.sequence();
    if (message.want_entries()) {
        sendHeartbeat(now, *sender, true, true, false);
    } else if (isBehind && !message.reply()) {
        sendHeartbeat(now, *sender, true, true, true);
    }
    admitSelf(now);
    return true;
}

void GroupView::tick(Timestamp now, const wire::Load &load)
{
    load_ = load;
    if (!started_ || superseded_ || self_.left()) {
        return;
    }
    updateSuspicion(now);
    declareGone(now);
    expireGone(now);
    admitSelf(now);
    if (now >= nextHeartbeat_) {
        nextHeartbeat_ = now + HeartbeatInterval;
        ++round_;
        for (const wire::TargetEntry &entry : roster_.entries()) {
            const bool isDue = entry.state() != wire::GONE || (!entry.left() && round_ % RoundsBetweenProbes == 0);
            if (entry.target() != self_.target() && isDue) {
                sendHeartbeat(now, entry, false, false, false);
            }
        }
    }
}

void GroupView::handlePause(Timestamp now)
{
    for (auto &[target, peer] : peers_) {
        peer.lastContact = now;
    }
    homeVersion_ += !atMostOnce_ && !suspected_.empty() ? 1 : 0;
    suspected_.clear();
    // The answers renew the lease sooner than the next round of heartbeats.
    broadcastDue_ = true;
}

void GroupView::handleClockJump(Timestamp now)
{
    earliestLeaseStart_ = now;
    for (auto &[target, peer] : peers_) {
        peer.leaseStart.reset();
    }
    quarantine_.restart(now);
    handlePause(now);
}

void GroupView::beginDrain(Timestamp now)
{
    draining_ = true;
    if (self_.state() == wire::SERVING) {
        changeState(now, wire::DRAINING);
    }
}

void GroupView::leave(Timestamp now)
{
    if (self_.left()) {
        return;
    }
    self_.set_left(true);
    changeState(now, wire::GONE);
    broadcast(now);
}

void GroupView::setCapacity(Timestamp now, std::uint32_t capacityMilli)
{
    if (self_.capacity_milli() == capacityMilli) {
        return;
    }
    self_.set_capacity_milli(capacityMilli);
    self_.set_sequence(self_.sequence() + 1);
    if (started_) {
        roster_.merge(self_);
    }
}

void GroupView::setRegistered(Timestamp now)
{
    if (!isRegistered()) {
        registeredDigest_ = roster_.digest();
        broadcastDue_ = true;
    }
}

bool GroupView::hasMajority(Timestamp now)
{
    if (!isVoter(self_) || superseded_) {
        return false;
    }
    return quorum_.confirm(roster_, [&](std::uint64_t target) {
        if (target == self_.target()) {
            return true;
        }
        const auto peer = peers_.find(target);
        return peer != peers_.end() && peer->second.leaseStart && now - *peer->second.leaseStart < MajorityLease;
    });
}

bool GroupView::hasRegistered(TargetId member) const
{
    const auto peer = peers_.find(member.value());
    return peer != peers_.end() && peer->second.registeredDigest == roster_.digest();
}

bool GroupView::mayKnowFlows(const wire::TargetEntry &entry) const
{
    const bool isFresh = entry.state() == wire::JOINING && !entry.rejoined();
    const bool isSkipped = !atMostOnce_ && std::binary_search(suspected_.begin(), suspected_.end(), entry.target());
    return entry.target() != self_.target() && entry.state() != wire::GONE && !isFresh && !isSkipped;
}

std::vector<TargetId> GroupView::unregisteredMembers() const
{
    std::vector<TargetId> result;
    for (const wire::TargetEntry &entry : roster_.entries()) {
        if (mayKnowFlows(entry) && !hasRegistered(TargetId(entry.target()))) {
            result.emplace_back(entry.target());
        }
    }
    return result;
}

std::vector<TargetId> GroupView::membersToQuery(FlowHash flow) const
{
    if (suspected_.empty() || atMostOnce_ || roster_.homeOf(flow) == id()) {
        return unregisteredMembers();
    }
    // The flow's home is suspected and skipped, but the owner registered the flow there, so all members are queried.
    std::vector<TargetId> result;
    for (const wire::TargetEntry &entry : roster_.entries()) {
        if (mayKnowFlows(entry)) {
            result.emplace_back(entry.target());
        }
    }
    return result;
}

std::optional<TargetId> GroupView::homeOf(FlowHash flow) const
{
    static const std::vector<std::uint64_t> none;
    return roster_.homeOf(flow, atMostOnce_ ? none : suspected_);
}

bool GroupView::isInQuarantine(Timestamp now, FlowHash flow) const
{
    return atMostOnce_
        && quarantine_.containsAny(now, [&](TargetId target) { return roster_.wouldBeHome(flow, target); });
}

bool GroupView::hasUnresolvedSuspicion() const
{
    // In a group of two neither member can declare the other gone; callers must not wait indefinitely.
    return !suspected_.empty() && voterCount() > 2;
}

bool GroupView::isUnresponsive(Timestamp now, TargetId member) const
{
    const auto peer = peers_.find(member.value());
    return peer != peers_.end() && now - peer->second.lastContact >= UnresponsiveTime;
}

bool GroupView::isLive(TargetId target, std::uint64_t incarnation) const
{
    const wire::TargetEntry *entry = roster_.find(target);
    return entry != nullptr && entry->state() != wire::GONE && entry->incarnation() == incarnation;
}

const wire::Load *GroupView::loadOf(TargetId member) const
{
    const auto peer = peers_.find(member.value());
    return peer == peers_.end() ? nullptr : &peer->second.load;
}

std::vector<SendMessage> GroupView::takeMessages(Timestamp now)
{
    if (broadcastDue_ && started_ && !superseded_) {
        broadcast(now);
    }
    return std::exchange(messages_, {});
}

bool GroupView::merge(Timestamp now, const wire::TargetEntry &entry)
{
    const wire::TargetEntry *known = roster_.find(TargetId(entry.target()));
    const bool isNew = known == nullptr;
    const bool wasMember = known != nullptr && (isVoter(*known) || known->rejoined());
    const std::uint64_t previousIncarnation = known == nullptr ? entry.incarnation() : known->incarnation();
    const std::uint64_t digest = roster_.digest();
    if (!roster_.merge(entry)) {
        return false;
    }
    Peer &peer = peers_[entry.target()];
    if (isNew || previousIncarnation != entry.incarnation()) {
        peer = Peer();
        peer.lastContact = now;
    }
    const bool isGone = entry.state() == wire::GONE;
    const bool wasLost = isGone && !entry.left() && (isNew || wasMember);
    const bool wasReplaced = wasMember && previousIncarnation != entry.incarnation();
    if (wasLost || wasReplaced) {
        quarantine_.add(now, entry.target());
    }
    if (!isGone) {
        peer.goneSince.reset();
    } else if (!peer.goneSince) {
        peer.goneSince = now;
    }
    if (digest != roster_.digest()) {
        rosterChanged();
    }
    return true;
}

void GroupView::mergeSelf(Timestamp now, const wire::TargetEntry &entry)
{
    if (entry.incarnation() > self_.incarnation()) {
        superseded_ = true;
        return;
    }
    if (entry.incarnation() != self_.incarnation() || entry.sequence() < self_.sequence() || self_.left()
        || (entry.sequence() == self_.sequence() && entry.state() <= self_.state())) {
        return;
    }
    self_.set_sequence(entry.sequence());
    if (entry.state() == wire::GONE) {
        // The other members have continued without this member's decisions; it has to be admitted again and to register
        // all its flows.
        ++rejoins_;
        quorum_.reset();
        self_.set_rejoined(true);
        changeState(now, wire::JOINING);
    } else {
        changeState(now, self_.state());
    }
}

void GroupView::changeState(Timestamp now, wire::MemberState state)
{
    self_.set_state(state);
    self_.set_sequence(self_.sequence() + 1);
    self_.set_state_sequence(roster_.highestStateSequence() + 1);
    roster_.merge(self_);
    rosterChanged();
}

void GroupView::rosterChanged()
{
    if (leaseDigest_ == roster_.digest()) {
        return;
    }
    leaseDigest_ = roster_.digest();
    ++homeVersion_;
    for (auto &[target, peer] : peers_) {
        peer.leaseStart.reset();
        peer.hasMajority = false;
    }
    broadcastDue_ = true;
}

void GroupView::updateSuspicion(Timestamp now)
{
    const std::vector<std::uint64_t> before = std::exchange(suspected_, {});
    for (const wire::TargetEntry &entry : roster_.entries()) {
        if (entry.target() != self_.target() && entry.state() != wire::GONE && isSilent(now, entry)) {
            suspected_.push_back(entry.target());
        }
    }
    homeVersion_ += !atMostOnce_ && suspected_ != before ? 1 : 0;
}

void GroupView::declareGone(Timestamp now)
{
    // Members are declared gone one at a time, because the changed roster needs a majority of its own first.
    if (suspected_.empty() || !hasMajority(now)) {
        return;
    }
    wire::TargetEntry gone = *roster_.find(TargetId(suspected_.front()));
    gone.set_state(wire::GONE);
    gone.set_sequence(gone.sequence() + 1);
    gone.set_state_sequence(roster_.highestStateSequence() + 1);
    merge(now, gone);
    updateSuspicion(now);
}

void GroupView::admitSelf(Timestamp now)
{
    if (self_.state() != wire::JOINING || !started_ || superseded_ || draining_) {
        return;
    }
    bool hasLiveVoter = false;
    for (const wire::TargetEntry &entry : roster_.entries()) {
        if (!isVoter(entry)) {
            continue;
        }
        const Peer &peer = peers_[entry.target()];
        if (peer.hasMajority && peer.leaseStart && now - *peer.leaseStart < MajorityLease) {
            quorum_.adopt(roster_);
            changeState(now, wire::SERVING);
            return;
        }
        hasLiveVoter = hasLiveVoter || atMostOnce_ || !isSilent(now, entry);
    }
    if (hasLiveVoter) {
        return;
    }
    // No member serves yet. Of the joining members that receive each other's heartbeats, the one with the lowest id
    // starts the group.
    for (const wire::TargetEntry &entry : roster_.entries()) {
        if (entry.state() != wire::JOINING || entry.target() == self_.target() || isSilent(now, entry)) {
            continue;
        }
        if (!peers_[entry.target()].heartbeatReceived || entry.target() < self_.target()) {
            return;
        }
    }
    changeState(now, wire::SERVING);
    quorum_.adopt(roster_);
}

void GroupView::expireGone(Timestamp now)
{
    for (auto position = peers_.begin(); position != peers_.end();) {
        if (position->second.goneSince && now - *position->second.goneSince >= TombstoneLifetime) {
            roster_.erase(TargetId(position->first));
            position = peers_.erase(position);
        } else {
            ++position;
        }
    }
    quarantine_.expire(now);
}

void GroupView::broadcast(Timestamp now)
{
    broadcastDue_ = false;
    for (const wire::TargetEntry &entry : roster_.entries()) {
        if (entry.target() != self_.target() && entry.state() != wire::GONE) {
            // The answers confirm that the members have the new roster.
            sendHeartbeat(now, entry, true, false, !self_.left());
        }
    }
}

void GroupView::sendHeartbeat(
    Timestamp now, const wire::TargetEntry &to, bool withEntries, bool reply, bool wantEntries)
{
    SendMessage action;
    action.to = fromWire(to.address());
    wire::Heartbeat *message = action.message.mutable_heartbeat();
    message->set_service(self_.service());
    message->set_target(self_.target());
    message->set_incarnation(self_.incarnation());
    message->set_sequence(self_.sequence());
    message->set_sent_ms(static_cast<std::uint64_t>(now.milliseconds()));
    message->set_state_sequence(roster_.highestStateSequence());
    message->set_roster_digest(roster_.digest());
    message->set_registered_digest(registeredDigest_);
    message->set_reply(reply);
    message->set_want_entries(wantEntries);
    *message->mutable_load() = load_;
    const auto peer = peers_.find(to.target());
    if (peer != peers_.end()) {
        message->set_echo_sent_ms(peer->second.lastSentMs);
    }
    // A returning member is not admitted while duplicates of packets whose flows it may have decided may still arrive.
    const bool isWithheld = atMostOnce_ && quarantine_.contains(now, to.target());
    message->set_has_majority(!isWithheld && hasMajority(now));
    if (withEntries) {
        for (const wire::TargetEntry &entry : roster_.entries()) {
            *message->add_entries() = entry;
        }
    }
    messages_.push_back(std::move(action));
}

bool GroupView::isSilent(Timestamp now, const wire::TargetEntry &entry) const
{
    const auto peer = peers_.find(entry.target());
    return peer != peers_.end() && now - peer->second.lastContact >= GoneTimeout;
}

std::size_t GroupView::voterCount() const
{
    return static_cast<std::size_t>(std::count_if(roster_.entries().begin(), roster_.entries().end(), isVoter));
}

} // namespace rhubarblane
