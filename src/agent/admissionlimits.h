#ifndef RHUBARBLANE_AGENT_ADMISSIONLIMITS_H
#define RHUBARBLANE_AGENT_ADMISSIONLIMITS_H

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace rhubarblane
{

/** Limits the number of flows that are not established yet, per caller address and in total. */
class AdmissionLimits
{
public:
    /**
     * Sets the limit per caller address, where 0 selects the default, and the priority (0 to 9) that scales the total
     * limit.
     */
    void configure(std::uint32_t perCaller, std::uint32_t priority);

    /** Counts a new flow of the caller. Returns false without counting it if a limit is reached. */
    bool tryOpen(std::uint32_t callerAddress);

    /** Removes a counted flow that was established or has ended. */
    void close(std::uint32_t callerAddress);

    /** Returns the number of flows that are counted at present. */
    std::size_t open() const
    {
        return open_;
    }

private:
    std::unordered_map<std::uint32_t, std::uint32_t> byCaller_;
    std::size_t open_ = 0;
    std::uint32_t maximumPerCaller_ = 256;
    std::size_t maximumUnestablished_ = 16384;
};

/**
 * Returns the part of a limit that a service of this priority (0 to 9) may use: half of it for 0, all of it for 9.
 * Services of low priority are therefore refused first.
 */
std::uint32_t limitForPriority(std::uint32_t bound, std::uint32_t priority);

} // namespace rhubarblane

#endif
