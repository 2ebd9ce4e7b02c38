#ifndef RHUBARBLANE_MEMBERSHIP_INFORCEAGGREGATOR_H
#define RHUBARBLANE_MEMBERSHIP_INFORCEAGGREGATOR_H

#include "base/clock.h"
#include "membership/membertable.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarblane
{

/** The number of balancers on which a revision, or a later one, is in force. */
struct InForceCount {
    std::size_t inForce = 0;
    std::size_t members = 0;
    /** Names of balancers on an earlier revision or without a report. The list is truncated if there are many. */
    std::vector<std::string> lagging;
    /** False if the summary of an availability zone is missing. */
    bool complete = false;
};

/** A message of the aggregation to another balancer. */
struct InForceMessage {
    BalancerId to;
    /** True if the message reports this balancer's revision, which is in the header of every message. */
    bool report = false;
    bool wantsSummary = false;
    std::vector<wire::InForceSummary> summaries;
};

/**
 * Hierarchical aggregation of the revisions in force. Each balancer reports to the aggregator of its group (about 40
 * members of its availability zone), which reports to the aggregator of the availability zone. A balancer whose status
 * is read queries the aggregators of all availability zones. Aggregators are selected by rendezvous hashing over the
 * live members, without an election.
 */
class InForceAggregator
{
public:
    static constexpr std::size_t GroupSize = 40;
    /** Interval at which unchanged reports are repeated, because a datagram may be lost or the aggregator replaced. */
    static constexpr Milliseconds RefreshInterval = Milliseconds(5000);
    static constexpr Milliseconds SummaryInterval = Milliseconds(500);
    /** Reports and summaries older than this are ignored. */
    static constexpr Milliseconds ReportLifetime = Milliseconds(15000);
    /** Time for which summaries are requested after a call of watch(). */
    static constexpr Milliseconds WatchDuration = Milliseconds(10000);

    InForceAggregator(BalancerId self, std::string availabilityZone);

    void setOwnRevision(std::uint64_t revision);
    void handleReport(Timestamp now, BalancerId sender, std::uint64_t revision);
    void handleSummary(Timestamp now, const wire::InForceSummary &summary);
    void watch(Timestamp now);

    std::vector<InForceMessage> tick(Timestamp now, const MemberTable &members, std::mt19937_64 &random);

    /** Returns the summary of this availability zone from the reports that this balancer aggregated. */
    wire::InForceSummary zoneSummary(Timestamp now, const MemberTable &members) const;

    InForceCount count(Timestamp now, std::uint64_t revision, const MemberTable &members) const;

private:
    struct Report {
        std::uint64_t revision = 0;
        Timestamp at;
    };

    struct Summary {
        wire::InForceSummary summary;
        Timestamp at;
    };

    static BalancerId
    aggregatorOf(const std::string &availabilityZone, std::uint64_t group, const std::vector<BalancerId> &members);
    static std::uint32_t groupOf(BalancerId id, std::size_t members);
    void refresh(const MemberTable &members);
    wire::InForceSummary groupSummary(Timestamp now, std::uint32_t group, const MemberTable &members) const;
    void reportGroups(Timestamp now, const MemberTable &members, std::vector<InForceMessage> &messages);

    BalancerId self_;
    std::string availabilityZone_;
    std::uint64_t ownRevision_ = 0;
    std::map<BalancerId, Report> reports_;
    std::map<std::uint32_t, Summary> groups_;
    std::map<std::string, Summary> zones_;

    // Derived from the live members when their generation changes.
    std::uint64_t generation_ = 0;
    std::vector<BalancerId> zoneMembers_;
    BalancerId groupAggregator_;
    BalancerId zoneAggregator_;

    bool changed_ = true;
    Timestamp nextReport_;
    Timestamp nextSummary_;
    Timestamp nextSummaryRequest_;
    Timestamp watchEnd_;
    std::map<std::uint32_t, Summary> sentGroups_;
};

} // namespace rhubarblane

#endif
