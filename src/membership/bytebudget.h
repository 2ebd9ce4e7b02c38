#ifndef RHUBARBLANE_MEMBERSHIP_BYTEBUDGET_H
#define RHUBARBLANE_MEMBERSHIP_BYTEBUDGET_H

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace rhubarblane
{

/** Kinds of gossip traffic; the last one gives way first. */
enum class TrafficClass {
    Probe, ///< Probes, answers and refutations. Never held back, but charged.
    Urgent, ///< Leaving and gone targets and balancers, configuration revisions.
    Member, ///< Entries of new balancers.
    Target, ///< New target entries and members of a requested service.
    InForce, ///< In-force reports and summaries.
    Sync, ///< Anti-entropy.
};

constexpr std::size_t TrafficClasses = 6;

struct TrafficCounters {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t throttled = 0;
};

/**
 * A token bucket of two seconds. A class may send only while the bucket holds more than the reserve of the classes
 * before it, so under load the classes stop in reverse order.
 */
class ByteBudget
{
public:
    explicit ByteBudget(std::uint64_t bytesPerSecond);

    void advance(Timestamp now);

    /** True if the class may send; otherwise counts it as held back. */
    bool admit(TrafficClass traffic);
    void charge(TrafficClass traffic, std::size_t bytes);

    /** True if received anti-entropy data leaves room to ask for more. */
    bool mayRequest() const
    {
        return requestTokens_ > 0.0;
    }
    void chargeReceived(std::size_t bytes);

    const std::array<TrafficCounters, TrafficClasses> &counters() const
    {
        return counters_;
    }

private:
    double rate_;
    double tokens_;
    double requestTokens_;
    Timestamp last_;
    std::array<TrafficCounters, TrafficClasses> counters_ {};
};

} // namespace rhubarblane

#endif
