#include "bench/idealqueue.h"
#include "bench/simulation.h"

#include <cpprest/json.h>

#include <algorithm>

namespace rhubarblane
{

namespace
{

web::json::value waitFigures(const std::vector<double> &waits)
{
    web::json::value figures = web::json::value::object(true);
    figures["p50"] = quantile(waits, 0.5);
    figures["p99"] = quantile(waits, 0.99);
    figures["p999"] = quantile(waits, 0.999);
    return figures;
}

web::json::value imbalanceFigures(const std::vector<ShareMeter> &meters)
{
    std::vector<double> windows;
    double whole = 0.0;
    for (const ShareMeter &meter : meters) {
        const std::vector<double> more = meter.windowRatios();
        windows.insert(windows.end(), more.begin(), more.end());
        whole = std::max(whole, meter.overallRatio());
    }
    web::json::value figures = web::json::value::object(true);
    figures["p50"] = quantile(windows, 0.5);
    figures["p99"] = quantile(windows, 0.99);
    figures["max"] = quantile(windows, 1.0);
    figures["whole"] = whole;
    return figures;
}

} // namespace

std::string Simulation::report()
{
    std::vector<double> waits;
    std::vector<std::vector<IdealArrival>> arrivals(meters_.size());
    std::uint64_t flows = 0;
    for (const Call &call : calls_) {
        counts_["refused_but_ran"] += call.refused && call.runs > 0 ? 1 : 0;
        counts_["refused"] += call.refused ? 1 : 0;
        flows += call.arrivedUs >= 0 ? 1 : 0;
        if (call.arrivedUs < 0 || call.payload.kind != Payload::Kind::Request) {
            continue;
        }
        // Three of four targets are in another availability zone than the balancer.
        const std::int64_t path = call.payload.id % 4 == 0 ? 0 : options_.deployment->zoneDelayUs;
        arrivals[call.service].push_back({call.arrivedUs, call.workUs, path});
        if (call.arrivedUs >= warmUpUs_ && call.startedUs >= 0) {
            waits.push_back(static_cast<double>(call.startedUs - call.arrivedUs) / 1000.0);
        }
    }

    for (std::vector<IdealArrival> &serviceArrivals : arrivals) {
        std::stable_sort(serviceArrivals.begin(),
                         serviceArrivals.end(),
                         [](const IdealArrival &a, const IdealArrival &b) { return a.timeUs < b.timeUs; });
    }

    std::vector<ShareMeter> idealMeters;
    std::vector<double> idealWaits;
    for (std::size_t service = 0; service < meters_.size(); ++service) {
        const auto targets = static_cast<std::size_t>(options_.deployment->services[service].targets);
        idealMeters.push_back(meters_[service].emptyCopy());
        const auto speedAt = [this, service](std::size_t index, std::int64_t timeUs) {
            const std::size_t target = targetOf(service, index);
            const bool left = meters_[service].hasLeft(index, timeUs);
            const bool reweighted = options_.scenario->reweight && timeUs >= endUs_ / 2;
            return left ? 0.0 : reweighted ? network_.targets[target].speed : initialSpeeds_[target];
        };
        const std::vector<double> more = serveFromSharedQueue(
            arrivals[service], targets, options_.deployment->slots, warmUpUs_, speedAt, idealMeters[service]);
        idealWaits.insert(idealWaits.end(), more.begin(), more.end());
    }

    web::json::value result = web::json::value::object(true);
    result["scenario"] = web::json::value(options_.scenario->name);
    result["policy"] = web::json::value(options_.policy);
    result["deployment"] = web::json::value(options_.deployment->name);
    result["seed"] = web::json::value(options_.seed);
    result["flows"] = web::json::value(flows);
    for (const char *name : {"broken_planned",
                             "broken_unplanned",
                             "unserved",
                             "misrouted",
                             "ran_twice",
                             "refused",
                             "refused_but_ran",
                             "late_new_to_draining",
                             "wrong_answer"}) {
        result[name] = web::json::value(counts_[name]);
    }
    result["imbalance"] = imbalanceFigures(meters_);
    result["wait_ms"] = waitFigures(waits);
    result["ideal"] = web::json::value::object(true);
    result["ideal"]["imbalance"] = imbalanceFigures(idealMeters);
    result["ideal"]["wait_ms"] = waitFigures(idealWaits);
    const double seconds = static_cast<double>(endUs_) / 1e6 * options_.balancers;
    result["control_bytes_per_s"] = static_cast<double>(fleet_->counters().controlBytes) / seconds;
    result["flow_owner_bytes_per_s"] = static_cast<double>(fleet_->counters().flowOwnerBytes) / seconds;
    result["hand_ons_per_flow"] = static_cast<double>(fleet_->counters().forwardedPlacements)
        / static_cast<double>(std::max<std::uint64_t>(1, flows));
    return result.serialize();
}

} // namespace rhubarblane
