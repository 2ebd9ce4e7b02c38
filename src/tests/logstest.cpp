#define BOOST_TEST_MODULE Logs
#include "runtime/logs.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

// Guards against values that a log parser would split or take for another field.
BOOST_AUTO_TEST_CASE(formatLogLineWithSpecialCharactersQuotesValue)
{
    BOOST_TEST(formatLogLine("started", {{"name", "a1"}, {"reason", "no \"key\"\nlevel=x"}, {"empty", ""}})
               == "event=started name=a1 reason=\"no \\\"key\\\"\\nlevel=x\" empty=\"\"");
}

// Guards against a packet flood that fills the log.
BOOST_AUTO_TEST_CASE(limitedLogWithFloodWritesFewLinesForEachSecondAndEvent)
{
    RateLimitedLog log(3);
    int written = 0;
    for (int i = 0; i < 1000; ++i) {
        written += log.log(Timestamp(i), LogLevel::Warn, "noTarget", {}) ? 1 : 0;
    }
    BOOST_TEST(written == 3);
    BOOST_TEST(log.log(Timestamp(999), LogLevel::Warn, "wrongService", {}));
    BOOST_TEST(log.log(Timestamp(1000), LogLevel::Warn, "noTarget", {}));
}
