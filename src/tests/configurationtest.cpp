#define BOOST_TEST_MODULE Configuration
#include "model/configurationcheck.h"
#include "model/configurationsnapshot.h"
#include "model/resourcecodec.h"
#include "model/storedresource.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace rhubarblane;

namespace
{

struct ConfigurationFixture {
    Configuration configuration;

    void addService(const std::string &name)
    {
        ServiceSpec service;
        service.name = name;
        service.address = static_cast<std::uint32_t>(configuration.services.size() + 1);
        service.port = 1;
        configuration.services[name] = service;
    }

    RuleSpec &addRule(const std::string &name, const std::string &service)
    {
        configuration.rules[name] = {name, service, {}, {}, {}};
        return configuration.rules[name];
    }

    static void addLabel(wire::TargetEntry &target, const std::string &key, const std::string &value)
    {
        wire::Label *label = target.add_labels();
        label->set_key(key);
        label->set_value(value);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationTest, ConfigurationFixture)

// Guards against an index that binds a target to another service than a scan of all rules does.
BOOST_AUTO_TEST_CASE(configurationWithIndexBindsRandomTargetsAsWithoutIndex)
{
    std::mt19937 random(7);
    const auto pick = [&](const char *prefix, unsigned count) { return prefix + std::to_string(random() % count); };
    for (int i = 0; i < 60; ++i) {
        addService("s" + std::to_string(i));
    }
    for (int i = 0; i < 60; ++i) {
        RuleSpec &rule = addRule("r" + std::to_string(i), pick("s", 70));
        for (unsigned labels = random() % 3; labels > 0; --labels) {
            rule.labels[pick("k", 4)] = pick("v", 6);
        }
        rule.client = random() % 3 == 0 ? pick("c", 40) : "";
        const bool alone = rule.labels.empty() && rule.client.empty();
        rule.availabilityZone = alone || random() % 4 == 0 ? pick("z", 40) : "";
    }
    Configuration indexed = configuration;
    indexed.buildIndex();
    int bound = 0;
    for (int i = 0; i < 2000; ++i) {
        wire::TargetEntry target;
        target.set_client(pick("c", 40));
        target.set_availability_zone(pick("z", 40));
        for (unsigned labels = random() % 4; labels > 0; --labels) {
            addLabel(target, pick("k", 4), pick("v", 6));
        }
        const ServiceId expected = configuration.serviceOf(target);
        BOOST_REQUIRE((indexed.serviceOf(target) == expected));
        bound += expected == ServiceId() ? 0 : 1;
    }
    BOOST_TEST(bound > 100);
    BOOST_TEST(bound < 2000);
}

// Guards against a lookup that checks every rule for every target; without the index this takes half a minute.
BOOST_AUTO_TEST_CASE(configurationAtDesignSizeBindsEveryTarget)
{
    constexpr int Services = 11000;
    for (int i = 0; i < Services; ++i) {
        addService("s" + std::to_string(i));
        RuleSpec &rule = addRule("r" + std::to_string(i), "s" + std::to_string(i));
        rule.labels["app"] = "a" + std::to_string(i);
        rule.client = "c" + std::to_string(i % 300);
    }
    configuration.buildIndex();

    int wrong = 0;
    for (int i = 0; i < 92000; ++i) {
        wire::TargetEntry target;
        target.set_client("c" + std::to_string(i % Services % 300));
        target.set_availability_zone("z" + std::to_string(i % 10));
        addLabel(target, "tier", "front");
        addLabel(target, "app", "a" + std::to_string(i % Services));
        const ServiceSpec *service = configuration.find(configuration.serviceOf(target));
        wrong += service != nullptr && service->name == "s" + std::to_string(i % Services) ? 0 : 1;
    }
    BOOST_TEST(wrong == 0);
    BOOST_TEST((configuration.find(ServiceId(1)) == nullptr));
}

// Guards against a digest that does not depend on a change, and against one invalid object that invalidates the others.
BOOST_AUTO_TEST_CASE(configurationSnapshotDigestDependsOnEveryChangeAndDecodeKeepsValidObjects)
{
    ConfigurationSnapshot snapshot;
    snapshot.revision = Revision(3);
    const std::string key = configurationKey(ResourceKind::Drain, "t1");
    snapshot.entries[key] = {R"({"generation":1,"spec":{"deadlineMs":5}})", Revision(2)};
    const std::uint64_t digest = snapshot.digest();
    ConfigurationSnapshot other = snapshot;
    BOOST_TEST(other.digest() == digest);
    other.revision = Revision(4);
    BOOST_TEST(other.digest() != digest);
    other = snapshot;
    other.entries[key].modified = Revision(3);
    BOOST_TEST(other.digest() != digest);
    other = snapshot;
    other.entries[configurationKey(ResourceKind::Drain, "t2")] = {"x", Revision(3)};
    BOOST_TEST(other.digest() != digest);

    std::vector<std::string> errors;
    other.entries["/short"] = {"x", Revision(3)};
    const Configuration decoded = other.decode(errors);
    BOOST_TEST(decoded.drains.size() == 1U);
    BOOST_TEST(errors.size() == 2U);
    BOOST_TEST((decoded.drains.at("t1").deadline == Milliseconds(5)));
}

// Guards against missing a change, a removal or an invalid value when only the differences are decoded.
BOOST_AUTO_TEST_CASE(configurationSnapshotDecodesRandomChangesAsTheWholeSnapshot)
{
    std::mt19937 random(5);
    const std::vector<std::pair<ResourceKind, std::string>> values = {
        {ResourceKind::Service, R"({"generation":1,"spec":{"address":"198.51.100.1","port":1}})"},
        {ResourceKind::Rule, R"({"generation":1,"spec":{"service":"n1","selector":{"client":"c"}}})"},
        {ResourceKind::Rule, R"({"generation":1,"spec":{"service":"n2","selector":{"client":"c"}}})"},
        {ResourceKind::Drain, R"({"generation":1,"spec":{"deadlineMs":5}})"},
        {ResourceKind::Service, "bad"},
        {ResourceKind::Drain, R"({"generation":1,"spec":{"deadlineMs":-1}})"},
    };
    wire::TargetEntry target;
    target.set_client("c");
    ConfigurationSnapshot earlier;
    Configuration decoded;
    std::vector<std::string> errors;
    for (std::uint64_t revision = 1; revision < 1500; ++revision) {
        ConfigurationSnapshot next = earlier;
        next.revision = Revision(revision);
        const auto &[kind, value] = values[random() % values.size()];
        const std::string key = configurationKey(kind, "n" + std::to_string(random() % 4));
        if (random() % 3 == 0) {
            next.entries.erase(key);
        } else {
            next.entries[key] = {value, next.revision};
        }
        decoded = next.decodeChanges(earlier, decoded, errors);
        earlier = next;
        const Configuration whole = next.decode(errors);
        BOOST_REQUIRE(decoded.digest == whole.digest);
        BOOST_REQUIRE(decoded.services.size() == whole.services.size());
        BOOST_REQUIRE(decoded.drains.size() == whole.drains.size());
        BOOST_REQUIRE(decoded.rules.size() == whole.rules.size());
        for (const auto &[name, rule] : whole.rules) {
            BOOST_REQUIRE(decoded.rules.at(name).service == rule.service);
        }
        BOOST_REQUIRE((decoded.serviceOf(target) == whole.serviceOf(target)));
    }
}

// Guards against a list of write tokens that grows without bound or drops the newest one.
BOOST_AUTO_TEST_CASE(recordedWritesBeyondLimitDropTheOldest)
{
    RecordedWrites writes;
    for (std::size_t i = 0; i <= RecordedWrites::Limit; ++i) {
        writes.add({"t" + std::to_string(i), "k"});
    }
    const RecordedWrites read = parseRecordedWrites(formatRecordedWrites(writes));
    BOOST_TEST(read.writes.size() == RecordedWrites::Limit);
    BOOST_TEST((read.find("t0") == nullptr));
    BOOST_TEST((read.find("t" + std::to_string(RecordedWrites::Limit)) != nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
