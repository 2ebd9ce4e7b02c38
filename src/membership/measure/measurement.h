#ifndef RHUBARBLANE_MEMBERSHIP_MEASURE_MEASUREMENT_H
#define RHUBARBLANE_MEMBERSHIP_MEASURE_MEASUREMENT_H

#include <cstddef>
#include <cstdint>
#include <ctime>
#include <malloc.h>
#include <map>
#include <string>
#include <vector>

namespace rhubarblane
{

/** The results of a run, printed as a JSON object ordered by name. */
class Measurement
{
public:
    void set(const std::string &name, double value)
    {
        values_[name] = value;
    }

    /** Sets name.p50, name.p99, name.max and name.count. */
    void setDistribution(const std::string &name, std::vector<double> values);

    std::string toJson() const;

private:
    std::map<std::string, double> values_;
};

/** Returns the processor time of this thread in seconds. */
double processorSeconds();

/** Returns the bytes that the process has allocated. */
double allocatedBytes();

/** Measures a simulated fleet: cold start, idle traffic, changes and failures. */
Measurement measureFleet(std::size_t balancers, std::size_t regions, std::uint64_t seed, std::uint64_t bytesPerSecond);

/** Measures a fleet in which a third fails at once, a partition heals, and all balancers restart at once. */
Measurement measureFailures(std::size_t balancers, std::uint64_t seed, std::uint64_t bytesPerSecond);

/** Counts false declarations in an hour with 1% loss, in which a random process pauses for 2 s every second. */
Measurement measureFalseDeaths(std::size_t balancers, std::uint64_t seed, std::uint64_t bytesPerSecond);

/** Measures one core with tables and message rates of the design size. */
Measurement measureDesignSize(std::uint64_t seed, std::uint64_t bytesPerSecond, double seconds);

} // namespace rhubarblane

#endif
