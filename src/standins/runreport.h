#ifndef RHUBARBLANE_STANDINS_RUNREPORT_H
#define RHUBARBLANE_STANDINS_RUNREPORT_H

#include <cpprest/json.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rhubarblane
{

/**
 * Combines the results of all callers and targets of a run. Checks the guarantees P1 to P5 of the design and the share
 * of unanswered flows.
 */
class RunReport
{
public:
    /** Adds a caller's summary. */
    void addCallers(const web::json::value &summary);

    /** Adds the final statistics of a target. */
    void addTarget(const web::json::value &stats);

    /** Adds a line of a log: "ran ID" or "refused ID". Other lines are ignored. */
    void addLogLine(const std::string &line);

    /** Reads callers-*.json, target-*.json and *.log in a directory. Returns the names of files without a result. */
    std::vector<std::string> addDirectory(const std::string &path);

    /** Returns the number of requests that ran more than once. */
    std::uint64_t ranTwice() const;
    /** Returns the number of requests that were refused as "not run" but ran. */
    std::uint64_t refusedButRan() const;

    /**
     * Returns the utilization of the busiest target by requests, divided by the mean utilization of the service's
     * targets. An even distribution gives 1. A service without any work gives 0.
     */
    double imbalance(const std::string &service) const;

    /** Returns a table with one line per group of callers, followed by the totals. */
    std::string table() const;

    /** Returns descriptions of all violated guarantees; empty if there are none. */
    std::vector<std::string> violations() const;

private:
    struct Callers {
        std::string name;
        std::string service;
        std::string kind;
        std::map<std::string, std::int64_t> counts;
    };

    struct Target {
        std::string name;
        double slots = 0;
        double speed = 0;
        double busyMs = 0;
        double streamMs = 0;
        std::int64_t misrouted = 0;
    };

    std::uint64_t total(const std::string &count) const;
    bool readFile(const std::string &path);

    std::vector<Callers> callers_;
    std::map<std::string, std::vector<Target>> targets_;
    std::map<std::string, std::uint64_t> runs_;
    std::set<std::string> refused_;
};

/** Runs `rhubarblane_standin report DIRECTORY`. Returns 1 if a guarantee was violated. */
int runReport(const std::vector<std::string> &arguments);

} // namespace rhubarblane

#endif
