#include "model/storedresource.h"

#include "model/fieldreader.h"
#include "wire/jsontext.h"

#include <algorithm>
#include <limits>

namespace rhubarblane
{

using web::json::value;

std::string formatStoredResource(const StoredResource &resource)
{
    value json = value::object();
    json["generation"] = value(resource.generation);
    json["spec"] = resource.spec;
    return json.serialize();
}

Outcome<StoredResource> parseStoredResource(const std::string &text)
{
    const Outcome<value> json = parseJson(text);
    if (!isOk(json)) {
        return Error {ErrorCode::InvalidArgument, {}, "is not JSON"};
    }
    FieldReader reader(valueOf(json));
    StoredResource resource;
    resource.generation =
        static_cast<std::uint64_t>(reader.requiredInteger("generation", 1, std::numeric_limits<std::int64_t>::max()));
    resource.spec = reader.object("spec");
    if (const std::optional<Error> failure = reader.finish()) {
        return *failure;
    }
    return resource;
}

const RecordedWrite *RecordedWrites::find(const std::string &token) const
{
    const auto found =
        std::find_if(writes.begin(), writes.end(), [&](const RecordedWrite &write) { return write.token == token; });
    return found == writes.end() ? nullptr : &*found;
}

void RecordedWrites::add(const RecordedWrite &write)
{
    writes.push_back(write);
    if (writes.size() > Limit) {
        writes.erase(writes.begin());
    }
}

std::string formatRecordedWrites(const RecordedWrites &writes)
{
    std::vector<value> list;
    for (const RecordedWrite &write : writes.writes) {
        value entry = value::object();
        entry["key"] = value(write.key);
        entry["token"] = value(write.token);
        list.push_back(entry);
    }
    value json = value::object();
    json["writes"] = value::array(list);
    return json.serialize();
}

RecordedWrites parseRecordedWrites(const std::string &text)
{
    RecordedWrites result;
    const Outcome<value> parsed = parseJson(text);
    if (!isOk(parsed) || !valueOf(parsed).is_object() || !valueOf(parsed).has_array_field("writes")) {
        return result;
    }
    for (const value &entry : valueOf(parsed).at("writes").as_array()) {
        if (entry.is_object() && entry.has_string_field("key") && entry.has_string_field("token")) {
            result.writes.push_back({entry.at("token").as_string(), entry.at("key").as_string()});
        }
    }
    return result;
}

} // namespace rhubarblane
