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

/** Puts the results of all callers and targets of a run together and checks the promises. */
class RunReport
{
public:
    /** Adds a caller's summary. */
    void addCallers(const web::json::value &summary);

    /** Adds a target's statistics at its end. */
    void addTarget(const web::json::value &stats);

    /** Adds one "ran ID", "misrouted ID" or "refused ID" line of a log. */
    void addLogLine(const std::string &line);

    /** Reads callers-*.json, target-*.json and *.log of a directory. Returns the names of unreadable files. */
    std::vector<std::string> addDirectory(const std::string &path);

    std::uint64_t ranTwice() const;
    std::uint64_t refusedButRan() const;

    /**
     * Use of the busiest target's capacity over the mean use, for the work of requests; 1 is even. Targets without any
     * work in the whole service give 0.
     */
    double imbalance(const std::string &service) const;

    /** The table, one line for each group of callers, then the totals. */
    std::string table() const;

    /** Descriptions of all promises that broke; empty if none did. */
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

/** The program `rhubarblane_standin report DIRECTORY`; exit code 1 if a promise broke. */
int runReport(const std::vector<std::string> &arguments);

} // namespace rhubarblane

#endif
