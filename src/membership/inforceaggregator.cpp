#include "membership/inforceaggregator.h"

#include "base/hash.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

constexpr int NamesPerGroup = 5;
constexpr int NamesPerZone = 12;
constexpr std::size_t RevisionsPerSummary = 16;
/** Reserved group number that selects the aggregator of the whole availability zone. */
constexpr std::uint64_t ZoneKey = ~0ULL;

std::size_t groupsOf(std::size_t members)
{
    return std::max<std::size_t>((members + InForceAggregator::GroupSize - 1) / InForceAggregator::GroupSize, 1);
}

using Counts = std::map<std::uint64_t, std::uint32_t>;

/** Writes the counts of the highest revisions. Members on lower revisions are counted at the lowest revision. */
void writeCounts(const Counts &counts, wire::InForceSummary &summary)
{
    std::size_t skipped = counts.size() > RevisionsPerSummary ? counts.size() - RevisionsPerSummary : 0;
    std::uint32_t members = 0;
    for (const auto &[revision, count] : counts) {
        members += count;
        if (skipped > 0) {
            --skipped;
            // Members on skipped revisions are counted at the oldest revision, never at a later one.
            if (summary.counts_size() == 0) {
                summary.add_counts()->set_revision(revision);
            }
            summary.mutable_counts(0)->set_members(members);
            if (skipped == 0) {
                members = 0;
            }
            continue;
        }
        wire::RevisionCount &entry = *summary.add_counts();
        entry.set_revision(revision);
        entry.set_members(members);
        members = 0;
    }
}

void addLagging(const std::string &name, std::uint64_t revision, int limit, wire::InForceSummary &summary)
{
    if (summary.lagging_size() < limit) {
        wire::LaggingMember &entry = *summary.add_lagging();
        entry.set_name(name);
        entry.set_revision(revision);
    }
}

} // namespace

InForceAggregator::InForceAggregator(BalancerId self, std::string availabilityZone)
    : self_(self)
    , availabilityZone_(std::move(availabilityZone))
{
}

void InForceAggregator::setOwnRevision(std::uint64_t revision)
{
    ownRevision_ = revision;
    changed_ = true;
}

void InForceAggregator::handleReport(Timestamp now, BalancerId sender, std::uint64_t revision)
{
    reports_[sender] = Report {revision, now};
}

void InForceAggregator::handleSummary(Timestamp now, const wire::InForceSummary &summary)
{
    if (summary.whole_zone()) {
        zones_[summary.availability_zone()] = Summary {summary, now};
    } else if (summary.availability_zone() == availabilityZone_) {
        groups_[summary.group()] = Summary {summary, now};
    }
}

void InForceAggregator::watch(Timestamp now)
{
    watchEnd_ = now + WatchDuration;
}

BalancerId InForceAggregator::aggregatorOf(const std::string &availabilityZone,
                                           std::uint64_t group,
                                           const std::vector<BalancerId> &members)
{
    const std::uint64_t key = hashPair(hashBytes(availabilityZone), group);
    BalancerId best;
    std::uint64_t bestScore = 0;
    for (const BalancerId id : members) {
        const std::uint64_t score = hashPair(key, id.value());
        if (score >= bestScore) {
            best = id;
            bestScore = score;
        }
    }
    return best;
}

std::uint32_t InForceAggregator::groupOf(BalancerId id, std::size_t members)
{
    return static_cast<std::uint32_t>(id.value() % groupsOf(members));
}

void InForceAggregator::refresh(const MemberTable &members)
{
    if (generation_ == members.generation()) {
        return;
    }
    generation_ = members.generation();
    zoneMembers_ = members.membersOf(availabilityZone_);
    const BalancerId aggregator = aggregatorOf(availabilityZone_, groupOf(self_, zoneMembers_.size()), zoneMembers_);
    changed_ = changed_ || aggregator != groupAggregator_;
    groupAggregator_ = aggregator;
    zoneAggregator_ = aggregatorOf(availabilityZone_, ZoneKey, zoneMembers_);
}

wire::InForceSummary
InForceAggregator::groupSummary(Timestamp now, std::uint32_t group, const MemberTable &members) const
{
    wire::InForceSummary summary;
    summary.set_availability_zone(availabilityZone_);
    summary.set_group(group);
    Counts counts;
    std::vector<std::pair<std::uint64_t, BalancerId>> revisions;
    for (const BalancerId id : zoneMembers_) {
        if (groupOf(id, zoneMembers_.size()) != group) {
            continue;
        }
        std::uint64_t revision = 0;
        const auto report = reports_.find(id);
        if (id == self_) {
            revision = ownRevision_;
        } else if (report != reports_.end() && now - report->second.at < ReportLifetime) {
            revision = report->second.revision;
        }
        ++counts[revision];
        revisions.emplace_back(revision, id);
    }
    writeCounts(counts, summary);
    std::sort(revisions.begin(), revisions.end());
    // Members on the group's highest revision are named too, because the whole group may lag behind other groups.
    for (const auto &[revision, id] : revisions) {
        addLagging(members.member(id)->name, revision, NamesPerGroup, summary);
    }
    return summary;
}

void InForceAggregator::reportGroups(Timestamp now, const MemberTable &members, std::vector<InForceMessage> &messages)
{
    const std::size_t groupCount = groupsOf(zoneMembers_.size());
    for (std::uint32_t group = 0; group < groupCount; ++group) {
        const bool isGroupAggregator = aggregatorOf(availabilityZone_, group, zoneMembers_) == self_;
        if (!isGroupAggregator) {
            sentGroups_.erase(group);
            continue;
        }
        wire::InForceSummary summary = groupSummary(now, group, members);
        Summary &sent = sentGroups_[group];
        const bool isChanged = sent.summary.SerializeAsString() != summary.SerializeAsString();
        if (!isChanged && now - sent.at < RefreshInterval) {
            continue;
        }
        sent = Summary {summary, now};
        if (zoneAggregator_ == self_) {
            groups_[group] = sent;
            continue;
        }
        InForceMessage message;
        message.to = zoneAggregator_;
        message.summaries.push_back(std::move(summary));
        messages.push_back(std::move(message));
    }
}

std::vector<InForceMessage> InForceAggregator::tick(Timestamp now, const MemberTable &members, std::mt19937_64 &random)
{
    std::vector<InForceMessage> messages;
    refresh(members);
    if (changed_ || now >= nextReport_) {
        changed_ = false;
        nextReport_ = now + RefreshInterval + Milliseconds(static_cast<std::int64_t>(random() % 1000));
        if (groupAggregator_ != self_) {
            InForceMessage message;
            message.to = groupAggregator_;
            message.report = true;
            messages.push_back(std::move(message));
        }
    }
    if (now >= nextSummary_) {
        nextSummary_ = now + SummaryInterval;
        reportGroups(now, members, messages);
    }
    if (now < watchEnd_ && now >= nextSummaryRequest_) {
        nextSummaryRequest_ = now + SummaryInterval;
        for (const std::string &zone : members.availabilityZones()) {
            const BalancerId aggregator = aggregatorOf(zone, ZoneKey, members.membersOf(zone));
            if (aggregator != self_) {
                InForceMessage message;
                message.to = aggregator;
                message.wantsSummary = true;
                messages.push_back(std::move(message));
            }
        }
    }
    return messages;
}

wire::InForceSummary InForceAggregator::zoneSummary(Timestamp now, const MemberTable &members) const
{
    wire::InForceSummary summary;
    summary.set_availability_zone(availabilityZone_);
    summary.set_whole_zone(true);
    Counts counts;
    std::vector<std::pair<std::uint64_t, std::string>> lagging;
    const auto isKnown = [this, now](std::uint32_t group) {
        const auto position = groups_.find(group);
        return position != groups_.end() && now - position->second.at < ReportLifetime;
    };
    const std::vector<BalancerId> zoneMembers = members.membersOf(availabilityZone_);
    const std::size_t groupCount = groupsOf(zoneMembers.size());
    for (std::uint32_t group = 0; group < groupCount; ++group) {
        if (!isKnown(group)) {
            continue;
        }
        const wire::InForceSummary &known = groups_.at(group).summary;
        for (const wire::RevisionCount &count : known.counts()) {
            counts[count.revision()] += count.members();
        }
        for (const wire::LaggingMember &member : known.lagging()) {
            lagging.emplace_back(member.revision(), member.name());
        }
    }
    for (const BalancerId id : zoneMembers) {
        if (!isKnown(groupOf(id, zoneMembers.size()))) {
            ++counts[0];
            lagging.emplace_back(0, members.member(id)->name);
        }
    }
    writeCounts(counts, summary);
    std::sort(lagging.begin(), lagging.end());
    for (const auto &[revision, name] : lagging) {
        addLagging(name, revision, NamesPerZone, summary);
    }
    return summary;
}

InForceCount InForceAggregator::count(Timestamp now, std::uint64_t revision, const MemberTable &members) const
{
    InForceCount result;
    result.members = members.liveCount();
    result.complete = true;
    for (const std::string &zone : members.availabilityZones()) {
        wire::InForceSummary summary;
        const auto known = zones_.find(zone);
        if (aggregatorOf(zone, ZoneKey, members.membersOf(zone)) == self_) {
            summary = zoneSummary(now, members);
        } else if (known != zones_.end() && now - known->second.at < ReportLifetime) {
            summary = known->second.summary;
        } else {
            result.complete = false;
            continue;
        }
        for (const wire::RevisionCount &count : summary.counts()) {
            result.inForce += count.revision() >= revision ? count.members() : 0;
        }
        for (const wire::LaggingMember &member : summary.lagging()) {
            if (member.revision() < revision) {
                result.lagging.push_back(member.name());
            }
        }
    }
    return result;
}

} // namespace rhubarblane
