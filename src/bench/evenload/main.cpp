#include "bench/evenloadsimulation.h"

#include <cstdio>
#include <string>

using namespace rhubarblane;

/** Restarts of all processes with long flows, which callers open at once. */
static void compareRestarts(std::int64_t spanMs)
{
    std::printf("balancers targets candidates | refused most fewest | wait p50 p99 ms | imbalance p99\n");
    for (const auto &[balancers, targets] : {std::pair(16, 35), std::pair(30, 109)}) {
        for (const std::size_t candidates : {0U, 2U}) {
            EvenLoadOptions options;
            options.balancers = balancers;
            options.targets = targets;
            options.candidates = candidates;
            options.load = 0.4;
            options.longFlowsPerTarget = 60;
            options.spanMs = spanMs;
            const EvenLoadResult r = simulateEvenLoad(options);
            std::printf("%3d %3d %zu | %.4f %.2f %.2f | %.1f %.1f | %.3f\n",
                        balancers,
                        targets,
                        candidates,
                        static_cast<double>(r.refused) / static_cast<double>(r.flows),
                        r.mostLongFlows,
                        r.fewestLongFlows,
                        r.waitP50,
                        r.waitP99,
                        r.imbalanceP99);
        }
    }
}

int main(int argc, char **argv)
{
    const std::int64_t spanMs = argc > 1 ? std::stoll(argv[1]) : 60000;
    compareRestarts(spanMs);
    std::printf("balancers targets load candidates restart | refused offers returned handedOn messages bytes (a flow) |"
                " wait p50 p99 ms | imbalance p99 | queue p99\n");
    for (const auto &[balancers, targets] : {std::pair(10, 35), std::pair(30, 109), std::pair(100, 109)}) {
        for (const double load : {0.8, 0.9, 0.95}) {
            for (const std::size_t candidates : {0U, 1U, 2U}) {
                EvenLoadOptions options;
                options.balancers = balancers;
                options.targets = targets;
                options.load = load;
                options.candidates = candidates;
                options.spanMs = spanMs;
                const EvenLoadResult r = simulateEvenLoad(options);
                const auto flows = static_cast<double>(r.flows);
                std::printf("%3d %3d %.2f %zu | %.4f %.3f %.4f %.3f %.2f %.0f | %.1f %.1f | %.3f | %.0f\n",
                            balancers,
                            targets,
                            load,
                            candidates,
                            static_cast<double>(r.refused) / flows,
                            static_cast<double>(r.offers) / flows,
                            static_cast<double>(r.returned) / static_cast<double>(r.offers),
                            static_cast<double>(r.handedOn) / flows,
                            static_cast<double>(r.messages) / flows,
                            static_cast<double>(r.bytes) / flows,
                            r.waitP50,
                            r.waitP99,
                            r.imbalanceP99,
                            r.queueP99);
                std::fflush(stdout);
            }
        }
    }
}
