#ifndef RHUBARBLANE_STORE_ETCDCODEC_H
#define RHUBARBLANE_STORE_ETCDCODEC_H

#include "base/outcome.h"
#include "store/configstore.h"

#include <cpprest/json.h>

#include <cstdint>
#include <string>

namespace rhubarblane
{

/**
 * Encodes bytes as base64. The etcd v3 JSON gateway represents bytes as base64 and 64-bit integers as strings, and
 * omits default values.
 */
std::string encodeBytes(const std::string &bytes);

/** Decodes a base64 field; empty if it is absent. Throws web::json::json_exception if it is not base64. */
std::string decodeBytes(const web::json::value &object, const std::string &field);

web::json::value encodeInteger(std::uint64_t value);

/** Decodes a string or a number; 0 if the field is absent or has another type. */
std::uint64_t decodeInteger(const web::json::value &object, const std::string &field);

/** Returns the smallest key that is greater than every key with the prefix. */
std::string prefixEnd(std::string prefix);

web::json::value encodeRange(const std::string &prefix);
web::json::value encodeTransaction(const StoreTransaction &transaction);
web::json::value encodeWatch(const std::string &prefix, Revision from);

StoredValue decodeValue(const web::json::value &kv);
StoredRange decodeRange(const web::json::value &answer);

/**
 * Decodes a message of a watch stream. Fails with NotFound if the start revision was compacted, and with Unavailable if
 * the watch was cancelled.
 */
Outcome<std::vector<StoredChange>> decodeWatch(const web::json::value &message);

} // namespace rhubarblane

#endif
