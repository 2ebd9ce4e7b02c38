#include "standins/runreport.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace rhubarblane
{

namespace
{

constexpr std::array<const char *, 11> CountNames {"flows",
                                                   "completed",
                                                   "broken",
                                                   "misrouted",
                                                   "crossed",
                                                   "refused",
                                                   "unknown",
                                                   "unanswered",
                                                   "busy",
                                                   "gaps",
                                                   "p99Ms"};
constexpr int NameWidth = 24;
constexpr int CountWidth = 11;
// A crash may lose the requests at one target or in one balancer for a second. The runs of the demo last half a minute,
// and two of 25 processes crash in them.
constexpr double MaximumUnansweredShare = 0.01;

double utilizationOf(double amount, double slots, double speed)
{
    return slots * speed > 0 ? amount / (slots * speed) : 0;
}

} // namespace

void RunReport::addCallers(const web::json::value &summary)
{
    Callers callers;
    callers.name = summary.at("name").as_string();
    callers.service = summary.at("service").as_string();
    callers.kind = summary.at("kind").as_string();
    for (const char *name : CountNames) {
        callers.counts[name] = summary.at(name).as_number().to_int64();
    }
    callers_.push_back(std::move(callers));
}

void RunReport::addTarget(const web::json::value &stats)
{
    Target target;
    target.name = stats.at("name").as_string();
    target.slots = stats.at("slots").as_number().to_double();
    target.speed = stats.at("speed").as_number().to_double();
    target.busyMs = stats.at("busyMs").as_number().to_double();
    target.streamMs = stats.at("streamMs").as_number().to_double();
    target.misrouted = stats.at("misrouted").as_number().to_int64();
    targets_[stats.at("service").as_string()].push_back(std::move(target));
}

void RunReport::addLogLine(const std::string &line)
{
    std::istringstream text(line);
    std::string verb;
    std::string id;
    text >> verb >> id;
    if (verb == "ran") {
        ++runs_[id];
    } else if (verb == "refused") {
        refused_.insert(id);
    }
}

std::vector<std::string> RunReport::addDirectory(const std::string &path)
{
    std::vector<std::string> files;
    for (const std::filesystem::directory_entry &entry : std::filesystem::directory_iterator(path)) {
        files.push_back(entry.path().string());
    }
    std::sort(files.begin(), files.end());
    std::vector<std::string> unreadable;
    for (const std::string &file : files) {
        if (!readFile(file)) {
            unreadable.push_back(file);
        }
    }
    return unreadable;
}

std::uint64_t RunReport::ranTwice() const
{
    return static_cast<std::uint64_t>(
        std::count_if(runs_.begin(), runs_.end(), [](const auto &run) { return run.second > 1; }));
}

std::uint64_t RunReport::refusedButRan() const
{
    return static_cast<std::uint64_t>(std::count_if(
        refused_.begin(), refused_.end(), [this](const std::string &id) { return runs_.count(id) != 0; }));
}

double RunReport::imbalance(const std::string &service) const
{
    const auto found = targets_.find(service);
    if (found == targets_.end()) {
        return 0;
    }
    // A target of double speed does the same work in half the busy time, so busy time is compared with the slots alone.
    double busiest = 0;
    double work = 0;
    double capacity = 0;
    for (const Target &target : found->second) {
        busiest = std::max(busiest, utilizationOf(target.busyMs, target.slots, 1));
        work += target.busyMs * target.speed;
        capacity += target.slots * target.speed;
    }
    const double mean = utilizationOf(work, capacity, 1);
    return mean > 0 ? busiest / mean : 0;
}

std::string RunReport::table() const
{
    std::ostringstream text;
    text << std::left << std::setw(NameWidth) << "callers" << std::right;
    for (const char *name : CountNames) {
        text << std::setw(CountWidth) << name;
    }
    text << "\n";
    for (const Callers &callers : callers_) {
        text << std::left << std::setw(NameWidth) << callers.name << std::right;
        for (const char *name : CountNames) {
            text << std::setw(CountWidth) << callers.counts.at(name);
        }
        text << "\n";
    }
    text << "\nrun twice: " << ranTwice() << "   refused but ran: " << refusedButRan() << "\n";
    for (const auto &[service, targets] : targets_) {
        text << service << ": imbalance " << std::fixed << std::setprecision(2) << imbalance(service)
             << ", busy of slots";
        for (const Target &target : targets) {
            text << " " << target.name << "=" << target.busyMs / target.slots / 1000 << "s";
        }
        text << "\n";
    }
    return text.str();
}

std::vector<std::string> RunReport::violations() const
{
    std::vector<std::string> broken;
    const auto require = [&broken](bool holds, const std::string &text) {
        if (!holds) {
            broken.push_back(text);
        }
    };
    require(!callers_.empty(), "no caller reported");
    require(total("completed") > 0, "no flow was completed");
    require(total("broken") == 0, "P1: " + std::to_string(total("broken")) + " flows broke");
    std::int64_t misrouted = static_cast<std::int64_t>(total("misrouted"));
    for (const auto &[service, targets] : targets_) {
        for (const Target &target : targets) {
            misrouted += target.misrouted;
        }
    }
    require(misrouted == 0, "P2: " + std::to_string(misrouted) + " packets reached another service");
    require(total("crossed") == 0, "P3: " + std::to_string(total("crossed")) + " answers reached another request");
    require(refusedButRan() == 0, "P4: " + std::to_string(refusedButRan()) + " refused requests ran");
    for (const Callers &callers : callers_) {
        const auto unanswered = static_cast<double>(callers.counts.at("unanswered"));
        const bool fewUnanswered =
            unanswered <= MaximumUnansweredShare * static_cast<double>(callers.counts.at("flows"));
        require(fewUnanswered,
                std::to_string(callers.counts.at("unanswered")) + " of " + std::to_string(callers.counts.at("flows"))
                    + " flows of " + callers.name + " had no answer");
    }
    require(ranTwice() == 0, "P5: " + std::to_string(ranTwice()) + " requests ran twice");
    return broken;
}

std::uint64_t RunReport::total(const std::string &count) const
{
    std::int64_t sum = 0;
    for (const Callers &callers : callers_) {
        sum += callers.counts.at(count);
    }
    return static_cast<std::uint64_t>(sum);
}

bool RunReport::readFile(const std::string &path)
{
    const std::filesystem::path name = std::filesystem::path(path).filename();
    const std::string stem = name.stem().string();
    const std::string extension = name.extension().string();
    std::ifstream file(path);
    if (extension == ".log") {
        for (std::string line; std::getline(file, line);) {
            addLogLine(line);
        }
        return true;
    }
    const bool callers = stem.rfind("callers-", 0) == 0;
    const bool target = stem.rfind("target-", 0) == 0;
    if (extension != ".json" || (!callers && !target)) {
        return true;
    }
    // The JSON object is on the last line, after lines such as "ready".
    std::string last;
    for (std::string line; std::getline(file, line);) {
        last = line;
    }
    try {
        const web::json::value json = web::json::value::parse(last);
        if (callers) {
            addCallers(json);
        } else {
            addTarget(json);
        }
        return true;
    } catch (const web::json::json_exception &) {
        return false;
    }
}

int runReport(const std::vector<std::string> &arguments)
{
    if (arguments.size() != 1) {
        std::cerr << "usage: rhubarblane_standin report DIRECTORY\n";
        return 2;
    }
    RunReport report;
    const std::vector<std::string> unreadable = report.addDirectory(arguments[0]);
    std::cout << report.table();
    std::vector<std::string> broken = report.violations();
    for (const std::string &file : unreadable) {
        broken.push_back("no result in " + file);
    }
    for (const std::string &text : broken) {
        std::cout << "BROKEN " << text << "\n";
    }
    std::cout << (broken.empty() ? "all guarantees held" : "guarantees violated") << std::endl;
    return broken.empty() ? 0 : 1;
}

} // namespace rhubarblane
