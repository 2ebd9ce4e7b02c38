#include "membership/measure/measurement.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace rhubarblane
{

void Measurement::setDistribution(const std::string &name, std::vector<double> values)
{
    set(name + ".count", static_cast<double>(values.size()));
    if (values.empty()) {
        return;
    }
    std::sort(values.begin(), values.end());
    const auto at = [&values](double share) {
        return values[static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size() - 1)))];
    };
    set(name + ".p50", at(0.5));
    set(name + ".p99", at(0.99));
    set(name + ".max", values.back());
}

std::string Measurement::toJson() const
{
    std::string result = "{";
    for (const auto &[name, value] : values_) {
        char text[160];
        std::snprintf(text, sizeof(text), "%s\"%s\": %.6g", result.size() > 1 ? ", " : "", name.c_str(), value);
        result += text;
    }
    return result + "}";
}

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

} // namespace rhubarblane
