#include "runtime/durationsummary.h"

#include <array>

namespace rhubarblane
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> Quantiles {0.5, 0.9, 0.99};
// The extended P-square estimator keeps 2 * quantiles + 3 markers and is undefined until it has one sample per marker.
constexpr std::size_t MinSamples = 2 * Quantiles.size() + 3;

} // namespace

DurationSummary::DurationSummary()
    : samples_(acc::extended_p_square_probabilities = Quantiles)
{
}

void DurationSummary::add(double seconds)
{
    samples_(seconds);
}

std::uint64_t DurationSummary::count() const
{
    return acc::count(samples_);
}

double DurationSummary::sum() const
{
    return acc::sum(samples_);
}

std::vector<std::pair<double, double>> DurationSummary::quantiles() const
{
    std::vector<std::pair<double, double>> result;
    if (count() < MinSamples) {
        return result;
    }
    const auto estimates = acc::extended_p_square(samples_);
    for (std::size_t i = 0; i < Quantiles.size(); ++i) {
        result.emplace_back(Quantiles[i], estimates[static_cast<std::ptrdiff_t>(i)]);
    }
    return result;
}

} // namespace rhubarblane
