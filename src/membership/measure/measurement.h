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

/** Figures of one run, printed as one JSON object in order of name. */
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

/** Processor time of this thread in seconds. */
double processorSeconds();

/** Bytes that the process holds from the allocator. */
double allocatedBytes();

/** Many cores on one queue: cold start, quiet time, changes, deaths. */
Measurement measureFleet(std::size_t balancers, std::size_t regions, std::uint64_t seed, std::uint64_t bytesPerSecond);

/** Failure runs: partition and merge, a third killed at once, all restarted at once. */
Measurement measureFailures(std::size_t balancers, std::uint64_t seed, std::uint64_t bytesPerSecond);

/** An hour with 1% loss, and a pause of 2 s of some process each second. */
Measurement measureFalseDeaths(std::size_t balancers, std::uint64_t seed, std::uint64_t bytesPerSecond);

/** One core with the tables of the design size, fed with messages at the rates of the design size. */
Measurement measureDesignSize(std::uint64_t seed, std::uint64_t bytesPerSecond, double seconds);

} // namespace rhubarblane

#endif
