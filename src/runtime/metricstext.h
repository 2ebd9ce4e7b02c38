#ifndef RHUBARBLANE_RUNTIME_METRICSTEXT_H
#define RHUBARBLANE_RUNTIME_METRICSTEXT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarblane
{

class DurationSummary;
class LatencyHistogram;

/** Builds a page in the Prometheus text format, version 0.0.4. Names get the prefix "rhubarblane_". */
class MetricsText
{
public:
    using Labels = std::vector<std::pair<std::string, std::string>>;

    void counter(std::string_view name, std::string_view help, std::uint64_t value, const Labels &labels = {});
    void gauge(std::string_view name, std::string_view help, double value, const Labels &labels = {});
    void summary(std::string_view name, std::string_view help, const DurationSummary &durations);

    void histogram(std::string_view name, std::string_view help, const LatencyHistogram &durations);

    /** Returns the page. */
    const std::string &text() const
    {
        return text_;
    }

private:
    void addHeader(std::string_view name, std::string_view help, std::string_view type);
    void addSample(std::string_view name, const Labels &labels, const std::string &value);

    std::string text_;
    std::string lastName_;
};

} // namespace rhubarblane

#endif
