#ifndef RHUBARBLANE_RUNTIME_DURATIONSUMMARY_H
#define RHUBARBLANE_RUNTIME_DURATIONSUMMARY_H

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <cstdint>
#include <utility>
#include <vector>

namespace rhubarblane
{

/** Maintains the count, the sum and estimated quantiles of durations in seconds in constant memory. */
class DurationSummary
{
public:
    DurationSummary();

    void add(double seconds);

    std::uint64_t count() const;
    double sum() const;

    /** Returns pairs of quantile and value in seconds; empty until there are enough samples for an estimate. */
    std::vector<std::pair<double, double>> quantiles() const;

private:
    boost::accumulators::accumulator_set<double,
                                         boost::accumulators::stats<boost::accumulators::tag::count,
                                                                    boost::accumulators::tag::sum,
                                                                    boost::accumulators::tag::extended_p_square>>
        samples_;
};

} // namespace rhubarblane

#endif
