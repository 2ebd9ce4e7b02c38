#ifndef RHUBARBLANE_RUNTIME_LOGS_H
#define RHUBARBLANE_RUNTIME_LOGS_H

#include "base/clock.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace rhubarblane
{

enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

using LogFields = std::initializer_list<std::pair<std::string_view, std::string>>;

/**
 * Starts logging to the standard output stream; `level` is debug, info, warn or error. Logging never blocks: lines that
 * the reader of the stream does not take are dropped and counted.
 */
void startLogging(const std::string &level);

/** Writes one line of key=value fields; values with spaces or quotes are quoted. */
void logEvent(LogLevel level, std::string_view event, LogFields fields);

/** The text of a line, without time and level. */
std::string formatLogLine(std::string_view event, LogFields fields);

/**
 * Logs events that a packet can trigger, at most a few lines a second for each event. The next line that is written
 * says how many were left out.
 */
class RateLimitedLog
{
public:
    explicit RateLimitedLog(std::uint32_t linesPerSecond);

    /** Returns true if the line was written. */
    bool log(Timestamp now, LogLevel level, const std::string &event, LogFields fields);

private:
    struct Window {
        Timestamp start;
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
    };

    std::uint32_t linesPerSecond_;
    std::map<std::string, Window> windows_;
};

} // namespace rhubarblane

#endif
