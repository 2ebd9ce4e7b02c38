#include "store/etcdcodec.h"

#include <cpprest/asyncrt_utils.h>

#include <cstdlib>

namespace rhubarblane
{

using web::json::value;

std::string encodeBytes(const std::string &bytes)
{
    return utility::conversions::to_base64(std::vector<unsigned char>(bytes.begin(), bytes.end()));
}

std::string decodeBytes(const value &object, const std::string &field)
{
    if (!object.has_field(field)) {
        return {};
    }
    const std::string &text = object.at(field).as_string();
    std::vector<unsigned char> bytes;
    try {
        bytes = utility::conversions::from_base64(text);
    } catch (const std::runtime_error &) {
        throw web::json::json_exception("field '" + field + "' is not base64");
    }
    return std::string(bytes.begin(), bytes.end());
}

value encodeInteger(std::uint64_t number)
{
    return value(std::to_string(number));
}

std::uint64_t decodeInteger(const value &object, const std::string &field)
{
    if (!object.is_object() || !object.has_field(field)) {
        return 0;
    }
    const value &entry = object.at(field);
    if (entry.is_string()) {
        return std::strtoull(entry.as_string().c_str(), nullptr, 10);
    }
    return entry.is_number() ? entry.as_number().to_uint64() : 0;
}

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty()) {
        const auto last = static_cast<unsigned char>(prefix.back());
        if (last < 0xff) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    // A range_end of a single zero byte means all keys.
    return std::string(1, '\0');
}

value encodeRange(const std::string &prefix)
{
    value request = value::object();
    request["key"] = value(encodeBytes(prefix));
    request["range_end"] = value(encodeBytes(prefixEnd(prefix)));
    return request;
}

value encodeTransaction(const StoreTransaction &transaction)
{
    std::vector<value> compares;
    for (const StoreCompare &compare : transaction.compares) {
        value entry = value::object();
        entry["key"] = value(encodeBytes(compare.key));
        entry["target"] = value("MOD");
        entry["result"] = value("EQUAL");
        entry["mod_revision"] = encodeInteger(compare.modified.value());
        compares.push_back(entry);
    }
    std::vector<value> writes;
    for (const StoreWrite &write : transaction.writes) {
        value operation = value::object();
        operation["key"] = value(encodeBytes(write.key));
        if (write.value) {
            operation["value"] = value(encodeBytes(*write.value));
            if (write.lease != LeaseId()) {
                operation["lease"] = encodeInteger(write.lease.value());
            }
        }
        value entry = value::object();
        entry[write.value ? "request_put" : "request_delete_range"] = operation;
        writes.push_back(entry);
    }
    value request = value::object();
    request["compare"] = value::array(compares);
    request["success"] = value::array(writes);
    return request;
}

value encodeWatch(const std::string &prefix, Revision from)
{
    value create = encodeRange(prefix);
    create["start_revision"] = encodeInteger(from.value());
    value request = value::object();
    request["create_request"] = create;
    return request;
}

StoredValue decodeValue(const value &kv)
{
    return {decodeBytes(kv, "key"), decodeBytes(kv, "value"), Revision(decodeInteger(kv, "mod_revision"))};
}

StoredRange decodeRange(const value &answer)
{
    StoredRange range;
    range.asOf.revision = Revision(decodeInteger(answer.at("header"), "revision"));
    if (answer.has_field("kvs")) {
        for (const value &kv : answer.at("kvs").as_array()) {
            range.values.push_back(decodeValue(kv));
        }
    }
    return range;
}

Outcome<std::vector<StoredChange>> decodeWatch(const value &message)
{
    if (!message.has_field("result")) {
        return Error {ErrorCode::Unavailable, {}, "the store ended the watch: " + message.serialize()};
    }
    const value &result = message.at("result");
    if (result.has_field("canceled") && result.at("canceled").as_bool()) {
        if (decodeInteger(result, "compact_revision") != 0) {
            return Error {ErrorCode::NotFound, {}, "the store has compacted the revisions to watch"};
        }
        return Error {ErrorCode::Unavailable, {}, "the store cancelled the watch"};
    }
    std::vector<StoredChange> changes;
    if (result.has_field("events")) {
        for (const value &event : result.at("events").as_array()) {
            const StoredValue stored = decodeValue(event.at("kv"));
            const bool deleted = event.has_field("type") && event.at("type").as_string() == "DELETE";
            changes.push_back(
                {stored.key, deleted ? std::nullopt : std::optional<std::string>(stored.value), stored.modified});
        }
    }
    return changes;
}

} // namespace rhubarblane
