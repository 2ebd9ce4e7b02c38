#define BOOST_TEST_MODULE OutlierDetector
#include "relay/outlierdetector.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct OutlierDetectorFixture {
    void fail(int times)
    {
        for (int i = 0; i < times; ++i) {
            detector.noteFailure(now);
        }
    }

    /** Fails a trial and returns the length of the resulting ejection in milliseconds. */
    std::int64_t failTrial()
    {
        now = now + detector.timeLeft(now);
        BOOST_REQUIRE(detector.isOnTrial(now));
        detector.noteFailure(now);
        return detector.timeLeft(now).count();
    }

    Timestamp now {100000};
    OutlierDetector detector;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OutlierDetectorTest, OutlierDetectorFixture)

// Guards against an ejection for occasional failures, which any target has.
BOOST_AUTO_TEST_CASE(detectorWithAnswerBetweenFailuresEjectsNothing)
{
    for (int i = 0; i < 10; ++i) {
        fail(2);
        detector.noteAnswer(now);
    }
    BOOST_TEST(!detector.isEjected(now));
    fail(3);
    BOOST_TEST(detector.isEjected(now));
    BOOST_TEST(detector.ejections() == 1u);
}

// Guards against an ejection that never ends, and against a trial that ends before a request is answered.
BOOST_AUTO_TEST_CASE(detectorAfterEjectionIsOnTrialUntilAnswer)
{
    fail(3);
    now = now + Milliseconds(500);
    BOOST_TEST(!detector.isEjected(now));
    BOOST_TEST(detector.isOnTrial(now));
    detector.noteAnswer(now);
    BOOST_TEST(!detector.isOnTrial(now));
    fail(2);
    BOOST_TEST(!detector.isEjected(now));
}

// Guards against frequent trials of a target that keeps failing, and against ejections that become too long.
BOOST_AUTO_TEST_CASE(detectorWithFailedTrialsEjectsForLongerUpToLimit)
{
    fail(3);
    BOOST_TEST(failTrial() == 1000);
    BOOST_TEST(failTrial() == 2000);
    BOOST_TEST(failTrial() == 4000);
    BOOST_TEST(failTrial() == 4000);
    now = now + Milliseconds(4000);
    detector.noteAnswer(now);
    now = now + Milliseconds(10000);
    fail(3);
    BOOST_TEST(detector.timeLeft(now).count() == 500);
}

// Guards against an answer to a request from before the ejection that ends the trial early.
BOOST_AUTO_TEST_CASE(detectorWithAnswerDuringEjectionStaysOnTrial)
{
    fail(3);
    detector.noteAnswer(now);
    now = now + Milliseconds(500);
    BOOST_TEST(detector.isOnTrial(now));
}

// Guards against a restarted target that inherits the ejection of its previous start.
BOOST_AUTO_TEST_CASE(detectorOfNewStartEjectsNothing)
{
    fail(3);
    detector.clear();
    BOOST_TEST(!detector.isEjected(now));
    BOOST_TEST(!detector.isOnTrial(now));
}

BOOST_AUTO_TEST_SUITE_END()
