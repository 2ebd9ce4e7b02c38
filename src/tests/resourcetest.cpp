#define BOOST_TEST_MODULE Resource
#include "model/resourcecodec.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

web::json::value json(const std::string &text)
{
    return web::json::value::parse(text);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResourceTest)

// Guards against a field that is lost or changed by parsing and formatting a spec.
BOOST_AUTO_TEST_CASE(resourceWithAllFieldsKeepsThemThroughParseAndFormat)
{
    const std::string service =
        R"({"address":"198.51.100.7","atMostOnce":true,"client":"sundarban","idleTimeoutMs":1000,"kind":"stream",)"
        R"("maxFlowsPerClient":3,"port":7000,"priority":9,"protocol":"tcp","silenceTimeoutMs":2000})";
    BOOST_TEST(toJson(valueOf(parseService("readings", json(service)))).serialize() == service);
    const std::string rule =
        R"({"selector":{"availabilityZone":"z1","client":"sundarban","labels":{"app":"readings"}},"service":"readings"})";
    BOOST_TEST(toJson(valueOf(parseRule("r", json(rule)))).serialize() == rule);
    const std::string drain = R"({"deadlineMs":0})";
    BOOST_TEST(toJson(valueOf(parseDrain("t", json(drain)))).serialize() == drain);
}

// Guards against defaults that differ from the documented ones.
BOOST_AUTO_TEST_CASE(resourceWithRequiredFieldsOnlyGetsDefaults)
{
    const ServiceSpec service = valueOf(parseService("s", json(R"({"address":"198.51.100.7","port":1})")));
    BOOST_TEST((service.protocol == Protocol::Udp));
    BOOST_TEST((service.kind == FlowKind::Request));
    BOOST_TEST(!service.atMostOnce);
    BOOST_TEST(service.priority == 5U);
    BOOST_TEST((service.idleTimeout == Milliseconds(60000)));
    BOOST_TEST((service.silenceTimeout == Milliseconds(30000)));
    BOOST_TEST((valueOf(parseDrain("t", json("{}"))).deadline == Milliseconds(600000)));
}

BOOST_AUTO_TEST_SUITE_END()
