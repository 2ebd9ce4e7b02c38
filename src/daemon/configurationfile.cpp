#include "daemon/configurationfile.h"

#include "model/fieldreader.h"
#include "model/resourcecodec.h"

#include <exception>
#include <fstream>
#include <iterator>
#include <limits>

namespace rhubarblane
{

namespace
{

template<typename Spec>
std::optional<Error> readAll(FieldReader &reader,
                             const std::string &field,
                             std::map<std::string, Spec> &into,
                             Outcome<Spec> (*parse)(const std::string &, const web::json::value &))
{
    const web::json::value object = reader.object(field);
    if (!object.is_object()) {
        return std::nullopt;
    }
    for (const auto &[name, value] : object.as_object()) {
        Outcome<Spec> spec = parse(name, value);
        if (!isOk(spec)) {
            Error error = errorOf(spec);
            std::string path = field;
            path.append(".").append(name).append(".");
            error.field.insert(0, path);
            return error;
        }
        into[name] = takeValue(std::move(spec));
    }
    return std::nullopt;
}

} // namespace

Outcome<Configuration> parseConfiguration(const std::string &text)
{
    web::json::value json;
    try {
        json = web::json::value::parse(text);
    } catch (const std::exception &exception) {
        // Escaped UTF-16 surrogates that do not match cause an exception of another type than json_exception.
        return Error {ErrorCode::InvalidArgument, {}, exception.what()};
    }
    FieldReader reader(json);
    Configuration configuration;
    configuration.revision = Revision(
        static_cast<std::uint64_t>(reader.integer("revision", 1, std::numeric_limits<std::int64_t>::max(), 1)));
    for (const std::optional<Error> &error : {readAll(reader, "services", configuration.services, parseService),
                                              readAll(reader, "rules", configuration.rules, parseRule),
                                              readAll(reader, "drains", configuration.drains, parseDrain),
                                              reader.finish()}) {
        if (error) {
            return *error;
        }
    }
    return configuration;
}

Outcome<Configuration> readConfigurationFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Error {ErrorCode::NotFound, {}, "cannot read " + path};
    }
    return parseConfiguration(std::string(std::istreambuf_iterator<char>(file), {}));
}

} // namespace rhubarblane
