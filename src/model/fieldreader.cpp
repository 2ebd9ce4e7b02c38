#include "model/fieldreader.h"

#include <algorithm>

namespace rhubarblane
{

FieldReader::FieldReader(const web::json::value &object)
    : object_(object)
{
    if (!object_.is_object()) {
        fail({}, "must be a JSON object");
    }
}

const web::json::value *FieldReader::readField(const std::string &field)
{
    readFields_.insert(field);
    if (!object_.is_object() || !object_.has_field(field)) {
        return nullptr;
    }
    return &object_.at(field);
}

std::string FieldReader::text(const std::string &field, const std::string &fallback)
{
    const web::json::value *value = readField(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_string()) {
        fail(field, "must be a string");
        return fallback;
    }
    return value->as_string();
}

std::string FieldReader::requiredText(const std::string &field)
{
    std::string value = text(field, {});
    if (value.empty()) {
        fail(field, "must be a non-empty string");
    }
    return value;
}

std::string
FieldReader::choice(const std::string &field, const std::vector<std::string> &allowed, const std::string &fallback)
{
    std::string value = text(field, fallback);
    if (std::find(allowed.begin(), allowed.end(), value) == allowed.end()) {
        std::string list;
        for (const std::string &word : allowed) {
            list += list.empty() ? word : ", " + word;
        }
        fail(field, "is '" + value + "'; allowed: " + list);
    }
    return value;
}

std::int64_t
FieldReader::integer(const std::string &field, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
{
    const web::json::value *value = readField(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_integer() || !value->as_number().is_int64() || value->as_number().to_int64() < minimum
        || value->as_number().to_int64() > maximum) {
        fail(field, "must be an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return value->as_number().to_int64();
}

std::int64_t FieldReader::requiredInteger(const std::string &field, std::int64_t minimum, std::int64_t maximum)
{
    if (!object_.is_object() || !object_.has_field(field)) {
        fail(field, "is required");
    }
    return integer(field, minimum, maximum, minimum);
}

bool FieldReader::boolean(const std::string &field, bool fallback)
{
    const web::json::value *value = readField(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        fail(field, "must be true or false");
        return fallback;
    }
    return value->as_bool();
}

std::map<std::string, std::string> FieldReader::textMap(const std::string &field)
{
    std::map<std::string, std::string> result;
    const web::json::value *value = readField(field);
    if (value == nullptr) {
        return result;
    }
    if (!value->is_object()) {
        fail(field, "must be an object of strings");
        return result;
    }
    for (const auto &[key, entry] : value->as_object()) {
        if (!entry.is_string()) {
            std::string path = field;
            path.append(".").append(key);
            fail(path, "must be a string");
            return result;
        }
        result[key] = entry.as_string();
    }
    return result;
}

web::json::value FieldReader::object(const std::string &field)
{
    const web::json::value *value = readField(field);
    return value == nullptr ? web::json::value::object() : *value;
}

void FieldReader::fail(const std::string &field, const std::string &message)
{
    if (!error_) {
        error_ = Error {ErrorCode::InvalidArgument, field, message};
    }
}

std::optional<Error> FieldReader::finish()
{
    if (!error_ && object_.is_object()) {
        for (const auto &entry : object_.as_object()) {
            if (readFields_.count(entry.first) == 0) {
                fail(entry.first, "is not a known field");
                break;
            }
        }
    }
    return error_;
}

} // namespace rhubarblane
