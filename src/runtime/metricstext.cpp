#include "runtime/metricstext.h"

#include "runtime/escapedtext.h"

#include "base/latencyhistogram.h"
#include "runtime/durationsummary.h"

#include <sstream>

namespace rhubarblane
{

namespace
{

std::string formatNumber(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

} // namespace

void MetricsText::counter(std::string_view name, std::string_view help, std::uint64_t value, const Labels &labels)
{
    addHeader(name, help, "counter");
    addSample(name, labels, std::to_string(value));
}

void MetricsText::gauge(std::string_view name, std::string_view help, double value, const Labels &labels)
{
    addHeader(name, help, "gauge");
    addSample(name, labels, formatNumber(value));
}

void MetricsText::summary(std::string_view name, std::string_view help, const DurationSummary &durations)
{
    addHeader(name, help, "summary");
    for (const auto &[quantile, seconds] : durations.quantiles()) {
        addSample(name, {{"quantile", formatNumber(quantile)}}, formatNumber(seconds));
    }
    addSample(std::string(name) + "_sum", {}, formatNumber(durations.sum()));
    addSample(std::string(name) + "_count", {}, std::to_string(durations.count()));
}

void MetricsText::histogram(std::string_view name, std::string_view help, const LatencyHistogram &durations)
{
    constexpr double MillisecondsPerSecond = 1000.0;
    addHeader(name, help, "histogram");
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket <= LatencyHistogram::BoundsMs.size(); ++bucket) {
        const bool bounded = bucket < LatencyHistogram::BoundsMs.size();
        const std::string bound = bounded
            ? formatNumber(static_cast<double>(LatencyHistogram::BoundsMs[bucket]) / MillisecondsPerSecond)
            : "+Inf";
        cumulative += durations.count(bucket);
        addSample(std::string(name) + "_bucket", {{"le", bound}}, std::to_string(cumulative));
    }
    addSample(std::string(name) + "_sum",
              {},
              formatNumber(static_cast<double>(durations.sum().count()) / MillisecondsPerSecond));
    addSample(std::string(name) + "_count", {}, std::to_string(cumulative));
}

void MetricsText::addHeader(std::string_view name, std::string_view help, std::string_view type)
{
    // The format allows one HELP and TYPE header per name, before its first sample.
    if (lastName_ == name) {
        return;
    }
    lastName_ = name;
    text_ += "# HELP rhubarblane_" + std::string(name) + " " + std::string(help) + "\n";
    text_ += "# TYPE rhubarblane_" + std::string(name) + " " + std::string(type) + "\n";
}

void MetricsText::addSample(std::string_view name, const Labels &labels, const std::string &value)
{
    text_ += "rhubarblane_" + std::string(name);
    if (!labels.empty()) {
        text_ += "{";
        for (std::size_t i = 0; i < labels.size(); ++i) {
            text_ += (i == 0 ? "" : ",") + labels[i].first + "=\"" + escapedText(labels[i].second) + "\"";
        }
        text_ += "}";
    }
    text_ += " " + value + "\n";
}

} // namespace rhubarblane
