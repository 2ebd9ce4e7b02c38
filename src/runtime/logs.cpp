#include "runtime/logs.h"

#include "runtime/escapedtext.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <poll.h>
#include <unistd.h>

#include <memory>

namespace rhubarblane
{

namespace
{

constexpr Milliseconds WindowLength(1000);
// A pipe that polls as writable accepts at least this many bytes (PIPE_BUF) without blocking.
constexpr std::size_t MaxLineBytes = 4096;

/** Writes lines to standard output. Drops lines that would block and reports their number in the next written line. */
class NonBlockingAppender : public log4cplus::Appender
{
public:
    ~NonBlockingAppender() override
    {
        destructorImpl();
    }

    void close() override
    {
        closed = true;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        std::string line = formatEvent(event);
        if (dropped_ > 0) {
            line.insert(line.size() - 1, " droppedLines=" + std::to_string(dropped_));
        }
        if (line.size() > MaxLineBytes) {
            line.resize(MaxLineBytes - 1);
            line.push_back('\n');
        }
        pollfd output {STDOUT_FILENO, POLLOUT, 0};
        const bool ready = poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        const bool written = ready && ::write(STDOUT_FILENO, line.data(), line.size()) >= 0;
        dropped_ = written ? 0 : dropped_ + 1;
    }

private:
    std::uint64_t dropped_ = 0;
};

log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::LogLevel parseLevel(const std::string &level)
{
    if (level == "debug") {
        return log4cplus::DEBUG_LOG_LEVEL;
    }
    if (level == "warn") {
        return log4cplus::WARN_LOG_LEVEL;
    }
    return level == "error" ? log4cplus::ERROR_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL;
}

std::string quoted(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\\") == std::string::npos) {
        return value;
    }
    return "\"" + escapedText(value) + "\"";
}

void write(LogLevel level, const std::string &line)
{
    log4cplus::Logger::getRoot().log(toLog4cplus(level), line);
}

} // namespace

void startLogging(const std::string &level)
{
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    log4cplus::SharedAppenderPtr appender(new NonBlockingAppender);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n"));
    root.addAppender(appender);
    root.setLogLevel(parseLevel(level));
}

std::string formatLogLine(std::string_view event, LogFields fields)
{
    std::string line = "event=" + std::string(event);
    for (const auto &[key, value] : fields) {
        line += " " + std::string(key) + "=" + quoted(value);
    }
    return line;
}

void logEvent(LogLevel level, std::string_view event, LogFields fields)
{
    write(level, formatLogLine(event, fields));
}

RateLimitedLog::RateLimitedLog(std::uint32_t linesPerSecond)
    : linesPerSecond_(linesPerSecond)
{
}

bool RateLimitedLog::log(Timestamp now, LogLevel level, const std::string &event, LogFields fields)
{
    const auto [position, inserted] = windows_.try_emplace(event, Window {now, 0, 0});
    Window &window = position->second;
    if (now - window.start >= WindowLength) {
        window.start = now;
        window.written = 0;
    }
    if (window.written >= linesPerSecond_) {
        ++window.suppressed;
        return false;
    }
    ++window.written;
    std::string line = formatLogLine(event, fields);
    if (window.suppressed > 0) {
        line += " suppressed=" + std::to_string(std::exchange(window.suppressed, 0));
    }
    write(level, line);
    return true;
}

} // namespace rhubarblane
