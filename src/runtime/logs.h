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
 * Starts logging to standard output; `level` is debug, info, warn or error. Logging never blocks: lines are dropped and
 * counted while the reader of the stream does not keep up.
 */
void startLogging(const std::string &level);

/** Writes one log line of key=value fields; values that contain spaces, quotes or similar characters are quoted. */
void logEvent(LogLevel level, std::string_view event, LogFields fields);

/** Returns the text of a log line without its time and level. */
std::string formatLogLine(std::string_view event, LogFields fields);

/**
 * Rate-limits the log lines of events that packets can trigger, separately for each event. The next written line
 * reports the number of suppressed ones.
 */
class RateLimitedLog
{
public:
    explicit RateLimitedLog(std::uint32_t linesPerSecond);

    /** Logs the event unless its limit is reached. Returns whether the line was written. */
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
