#ifndef RHUBARBLANE_AGENT_ADMISSIONLIMITS_H
#define RHUBARBLANE_AGENT_ADMISSIONLIMITS_H

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace rhubarblane
{

/** Counts flows that are not established yet, per caller address and in all, and bounds both. */
class AdmissionLimits
{
public:
    /** A limit of 0 leaves the default in force. */
    void configure(std::uint32_t perCaller, std::uint32_t priority);

    /** Counts a new flow of the caller. Returns false, and counts nothing, if a bound is reached. */
    bool tryOpen(std::uint32_t callerAddress);

    /** A counted flow is established or has ended. */
    void close(std::uint32_t callerAddress);

    std::size_t open() const
    {
        return open_;
    }

private:
    std::unordered_map<std::uint32_t, std::uint32_t> byCaller_;
    std::size_t open_ = 0;
    std::uint32_t maximumPerCaller_ = 256;
    std::size_t maximumOpen_ = 16384;
};

/** The share of a bound that a service of this priority (0 to 9) may use; low priority reaches its bound first. */
std::uint32_t limitForPriority(std::uint32_t bound, std::uint32_t priority);

} // namespace rhubarblane

#endif
