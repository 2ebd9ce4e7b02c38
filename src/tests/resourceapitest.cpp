#define BOOST_TEST_MODULE ResourceApi
#include "tests/controlsession.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace rhubarblane;

namespace
{

const std::string readingsBody = R"({"spec":{"address":"198.51.100.1","port":7000}})";
const std::string archiveBody = R"({"spec":{"address":"198.51.100.2","port":7000,"protocol":"tcp","kind":"stream"}})";

std::string rule(const std::string &service, const std::string &selector)
{
    return R"({"spec":{"service":")" + service + R"(","selector":)" + selector + "}}";
}

/** A session whose transcript is compared with a golden file. */
struct SessionFixture : ControlSession {
    void check(const std::string &name) const
    {
        BOOST_TEST(transcript() == goldenFile("control-" + name + ".txt", transcript()));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ResourceApiTest, SessionFixture)

// Guards against a status that reports a service as in force on balancers that have not applied it.
BOOST_AUTO_TEST_CASE(sessionCreateServiceReachesInForceOnEveryBalancer)
{
    send(b1, "PUT", "/v1/services/readings", readingsBody);
    send(b1, "GET", "/v1/services/readings");
    markInForce(b1);
    send(b1, "GET", "/v1/services/readings");
    fetch(b1, b2);
    markInForce(b2);
    send(b2, "GET", "/v1/services/readings");
    send(b2, "PUT", "/v1/rules/readings", rule("readings", R"({"labels":{"app":"readings"}})"));
    send(b2, "PUT", "/v1/drains/logger-7", R"({"spec":{"deadlineMs":60000}})");
    send(b2, "GET", "/v1/rules");
    send(b2, "GET", "/v1/status");
    send(b2, "GET", "/v1/targets");
    check("create-service");
}

// Guards against a write based on an outdated version that overwrites another operator's change, and against checks
// across objects that miss a concurrent write through another balancer.
BOOST_AUTO_TEST_CASE(sessionConcurrentWritesOfTwoOperatorsLoseNothing)
{
    send(b1, "PUT", "/v1/services/readings", readingsBody);
    send(b2, "PUT", "/v1/services/readings", readingsBody);
    annotate("b2 changes the service that b1 also has read");
    send(b2, "PUT", "/v1/services/readings", archiveBody, {{"if-match", "\"2\""}});
    send(b1, "PUT", "/v1/services/readings", readingsBody, {{"if-match", "\"2\""}});
    annotate("both create the same address under different names; b2 writes while b1 checks");
    store.beforeCommit = [this] { send(b2, "PUT", "/v1/services/second", readingsBody); };
    send(b1, "PUT", "/v1/services/first", readingsBody);
    annotate("b1 deletes the service to which b2 binds a rule at the same time");
    const std::string version = "\"" + std::to_string(store.table.revision().value()) + "\"";
    store.beforeCommit = [this] { send(b2, "PUT", "/v1/rules/second", rule("second", R"({"client":"sundarban"})")); };
    send(b1, "DELETE", "/v1/services/second", {}, {{"if-match", version}});
    annotate("the same write again, with its version");
    send(b1, "DELETE", "/v1/services/second", {}, {{"if-match", version}});
    check("two-operators");
}

// Guards against a write that is reported as stored, or is lost without an error, while the store is unavailable.
BOOST_AUTO_TEST_CASE(sessionStoreOutageRejectsWritesAndKeepsTheConfiguration)
{
    send(b1, "PUT", "/v1/services/readings", readingsBody);
    markInForce(b1);
    annotate("the store is unavailable");
    store.available = false;
    send(b1, "PUT", "/v1/services/archive", archiveBody);
    send(b1, "PUT", "/v1/services/archive", R"({"spec":{"address":"nowhere","port":1}})");
    send(b1, "GET", "/v1/services/readings");
    annotate("the store is available again");
    store.available = true;
    send(b1, "PUT", "/v1/services/archive", archiveBody);
    annotate("the store is available again, without its content");
    store.table = StoreTable();
    send(b1, "PUT", "/v1/services/third", archiveBody);
    send(b1, "GET", "/v1/services");
    check("store-lost");
}

// Guards against a write that takes effect twice or gets a wrong response when the store's response is lost.
BOOST_AUTO_TEST_CASE(sessionLostResponseIsResolvedByTheWriteToken)
{
    annotate("the write takes effect, its response is lost");
    store.loseAnswers = 1;
    send(b1, "PUT", "/v1/services/readings", readingsBody);
    annotate("the write is lost on its way");
    store.loseRequests = 1;
    send(b1, "PUT", "/v1/services/archive", archiveBody);
    annotate("the deletion takes effect, its response is lost");
    store.loseAnswers = 1;
    send(b1, "DELETE", "/v1/services/archive", {}, {{"if-match", "\"3\""}});
    annotate("the response is lost and the store stays unavailable");
    store.loseAnswers = 1;
    store.unavailableAfterLoss = true;
    send(b1, "PUT", "/v1/services/third", archiveBody);
    annotate("the store is available again; the operator retries with the token on the other balancer, twice");
    store.available = true;
    send(b2, "PUT", "/v1/services/third", archiveBody, {{"write-token", "b1-token-4"}});
    send(b2, "PUT", "/v1/services/third", archiveBody, {{"write-token", "b1-token-4"}});
    annotate("the token of another write");
    send(b2, "PUT", "/v1/services/fourth", archiveBody, {{"write-token", "b1-token-4"}});
    check("lost-answer");
}

// Guards against invalid input that is accepted or changes the configuration, and against errors that do not name the
// invalid field.
BOOST_AUTO_TEST_CASE(sessionInvalidInputIsRejectedWithTheField)
{
    send(b1, "PUT", "/v1/services/readings", readingsBody);
    send(b1, "PUT", "/v1/rules/readings", rule("readings", R"({"labels":{"app":"readings"}})"));
    const Revision before = store.table.revision();
    const auto spec = [](const std::string &fields) {
        return R"({"spec":{"address":"198.51.100.9","port":9,)" + fields + "}}";
    };
    for (const std::string &body : {
             std::string("{"),
             std::string("[]"),
             std::string("{\"spec\":{\"client\":\"\xff\"}}"),
             std::string(R"({})"),
             std::string(R"({"spec":[]})"),
             std::string(R"({"spec":{"port":1}})"),
             std::string(R"({"spec":{"address":"198.51.100.256","port":1}})"),
             std::string(R"({"spec":{"address":7,"port":1}})"),
             std::string(R"({"spec":{"address":"198.51.100.9"}})"),
             std::string(R"({"spec":{"address":"198.51.100.9","port":"1"}})"),
             std::string(R"({"spec":{"address":"198.51.100.9","port":65536}})"),
             spec(R"("protocol":"sctp")"),
             spec(R"("client":1)"),
             spec(R"("kind":"batch")"),
             spec(R"("atMostOnce":"yes")"),
             spec(R"("priority":10)"),
             spec(R"("idleTimeoutMs":99)"),
             spec(R"("silenceTimeoutMs":1.5)"),
             spec(R"("maxFlowsPerClient":-1)"),
             spec(R"("colour":"red")"),
             std::string(R"({"kind":"rule","spec":{"address":"198.51.100.9","port":1}})"),
             std::string(R"({"metadata":{"name":"other"},"spec":{"address":"198.51.100.9","port":1}})"),
             std::string(R"({"metadata":{"resourceVersion":"x"},"spec":{"address":"198.51.100.9","port":1}})"),
             std::string(R"({"metadata":{"owner":"x"},"spec":{"address":"198.51.100.9","port":1}})"),
             std::string(R"({"extra":1,"spec":{"address":"198.51.100.9","port":1}})"),
             readingsBody,
         }) {
        send(b1, "PUT", "/v1/services/bad", body);
    }
    send(b1, "PUT", "/v1/services/bad", std::string(ResourceApi::MaximumBodySize + 1, ' '));
    for (const std::string &body : {
             rule("", R"({"client":"a"})"),
             rule("nobody", R"({"client":"a"})"),
             rule("readings", R"([])"),
             rule("readings", R"({})"),
             rule("readings", R"({"labels":[]})"),
             rule("readings", R"({"labels":{"app":1}})"),
             rule("readings", R"({"client":1})"),
             rule("readings", R"({"availabilityZone":1})"),
             rule("readings", R"({"region":"r"})"),
         }) {
        send(b1, "PUT", "/v1/rules/bad", body);
    }
    send(b1, "PUT", "/v1/drains/bad", R"({"spec":{"deadlineMs":-1}})");
    annotate("wrong names, paths, methods and headers");
    send(b1, "PUT", "/v1/services/bad%20name", readingsBody);
    send(b1, "GET", "/v1/services/none");
    send(b1, "GET", "/v2/services");
    send(b1, "POST", "/v1/services", readingsBody);
    send(b1, "PATCH", "/v1/services/readings", readingsBody);
    send(b1, "PUT", "/v1/targets", "[]");
    send(b1, "DELETE", "/v1/services/readings");
    send(b1, "DELETE", "/v1/services/readings", {}, {{"if-match", "\"2\""}});
    send(b1, "DELETE", "/v1/services/none", {}, {{"if-match", "\"2\""}});
    send(b1, "DELETE", "/v1/services/readings", {}, {{"if-match", "*"}});
    send(b1, "PUT", "/v1/services/readings", readingsBody, {{"if-match", "\"2\""}, {"if-none-match", "*"}});
    send(b1, "PUT", "/v1/services/readings", readingsBody, {{"authorization", "Bearer key-2"}});
    send(b1, "DELETE", "/v1/services/readings", {}, {{"authorization", ""}});
    BOOST_TEST((store.table.revision() == before));
    check("bad-input");
}

// Guards against two rules that bind one target to two services.
BOOST_AUTO_TEST_CASE(resourceApiWithRuleThatCanShareATargetRejectsIt)
{
    send(b1, "PUT", "/v1/services/readings", readingsBody);
    send(b1, "PUT", "/v1/services/archive", archiveBody);
    BOOST_TEST(send(b1, "PUT", "/v1/rules/a", rule("readings", R"({"labels":{"app":"x"}})")).status == 200);
    BOOST_TEST(send(b1, "PUT", "/v1/rules/b", rule("archive", R"({"client":"c"})")).status == 409);
    BOOST_TEST(send(b1, "PUT", "/v1/rules/b", rule("archive", R"({"labels":{"app":"y"}})")).status == 200);
    BOOST_TEST(send(b1, "PUT", "/v1/rules/c", rule("archive", R"({"labels":{"app":"y","v":"1"}})")).status == 200);
    BOOST_TEST(send(b1, "PUT", "/v1/rules/d", rule("readings", R"({"labels":{"v":"1"}})")).status == 409);
}

// Guards against a repeated PUT of an unchanged spec that causes a store write and a new generation each time.
BOOST_AUTO_TEST_CASE(resourceApiWithUnchangedSpecDoesNotWrite)
{
    send(b1, "PUT", "/v1/services/readings", readingsBody);
    const int commits = store.commits;
    BOOST_TEST(send(b1, "PUT", "/v1/services/readings", readingsBody, {{"if-match", "\"2\""}}).status == 200);
    BOOST_TEST(store.commits == commits);
}

BOOST_AUTO_TEST_SUITE_END()
