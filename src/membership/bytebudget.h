#ifndef RHUBARBLANE_MEMBERSHIP_BYTEBUDGET_H
#define RHUBARBLANE_MEMBERSHIP_BYTEBUDGET_H

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace rhubarblane
{

/** Classes of gossip traffic in order of priority, highest first. Under load the last class is throttled first. */
enum class TrafficClass {
    Probe, ///< Probes, acknowledgements and refutations. Charged, but never throttled.
    Urgent, ///< Leaving and gone targets and balancers, and configuration revisions.
    Member, ///< Entries of new balancers.
    Target, ///< New target entries and members of a requested service.
    InForce, ///< In-force reports and summaries.
    Sync, ///< Anti-entropy.
};

constexpr std::size_t TrafficClasses = 6;

struct TrafficCounters {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    /** Messages that were not sent because the budget was exhausted. */
    std::uint64_t throttled = 0;
};

/**
 * A token bucket that holds the bytes of two seconds. A class may send only while the bucket holds more than the
 * reserve of the classes before it, so under load the classes are throttled in reverse order of priority.
 */
class ByteBudget
{
public:
    explicit ByteBudget(std::uint64_t bytesPerSecond);

    /** Adds the tokens for the time since the last call. */
    void advance(Timestamp now);

    /** Returns true if the class may send; otherwise counts the message as throttled. */
    bool admit(TrafficClass traffic);
    void charge(TrafficClass traffic, std::size_t bytes);

    /** Returns true if the rate of received anti-entropy data permits another request. */
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
