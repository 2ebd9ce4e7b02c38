#include "control/configurationcore.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

ConfigurationCore::ConfigurationCore(Listener applied, ErrorListener failed)
    : onApplied_(std::move(applied))
    , onDecodeError_(std::move(failed))
    , current_(std::make_shared<const KnownConfiguration>())
{
}

std::shared_ptr<const KnownConfiguration> ConfigurationCore::current() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return current_;
}

bool ConfigurationCore::applySnapshot(ConfigurationSnapshot snapshot)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (snapshot.revision <= current_->snapshot.revision) {
        return false;
    }
    auto known = std::make_shared<KnownConfiguration>();
    known->snapshot = std::move(snapshot);
    std::vector<std::string> errors;
    known->configuration = known->snapshot.decodeChanges(current_->snapshot, current_->configuration, errors);
    recordRemovals(current_->snapshot, known->snapshot);
    current_ = known;
    if (onDecodeError_) {
        for (const std::string &error : errors) {
            onDecodeError_(error);
        }
    }
    if (onApplied_) {
        onApplied_(current_->configuration);
    }
    return true;
}

void ConfigurationCore::recordRemovals(const ConfigurationSnapshot &before, const ConfigurationSnapshot &after)
{
    if (before.revision == Revision()) {
        oldestDeltaBase_ = after.revision;
        return;
    }
    for (const auto &[key, entry] : before.entries) {
        if (after.entries.count(key) == 0) {
            removals_.push_back({key, after.revision});
        }
    }
    if (removals_.size() > MaximumRemovals) {
        const auto kept = removals_.end() - static_cast<std::ptrdiff_t>(MaximumRemovals);
        oldestDeltaBase_ = std::prev(kept)->detected;
        removals_.erase(removals_.begin(), kept);
    }
}

wire::ConfigurationReply ConfigurationCore::replyTo(const wire::ConfigurationRequest &request) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const ConfigurationSnapshot &snapshot = current_->snapshot;
    const Revision known(request.known_revision());
    wire::ConfigurationReply reply;
    reply.set_revision(snapshot.revision.value());
    reply.set_digest(current_->configuration.digest);
    reply.set_whole(known < oldestDeltaBase_ || known == Revision() || snapshot.revision < known);
    if (!reply.whole()) {
        for (const Removal &removal : removals_) {
            // A key that was created again is sent with its value below.
            if (known < removal.detected && snapshot.entries.count(removal.key) == 0) {
                wire::ConfigurationObject *object = reply.add_objects();
                object->set_key(removal.key);
                object->set_modification_revision(0);
            }
        }
    }
    for (const auto &[key, entry] : snapshot.entries) {
        if (reply.whole() || known < entry.modified) {
            wire::ConfigurationObject *object = reply.add_objects();
            object->set_key(key);
            object->set_value(entry.value);
            object->set_modification_revision(entry.modified.value());
        }
    }
    return reply;
}

std::optional<Error> ConfigurationCore::applyReply(Revision base, const wire::ConfigurationReply &reply)
{
    const std::shared_ptr<const KnownConfiguration> known = current();
    if (reply.revision() <= known->snapshot.revision.value()) {
        return std::nullopt;
    }
    ConfigurationSnapshot snapshot;
    if (!reply.whole()) {
        if (known->snapshot.revision != base) {
            return Error {ErrorCode::Conflict, {}, "the delta starts at another revision"};
        }
        snapshot = known->snapshot;
    }
    snapshot.revision = Revision(reply.revision());
    for (const wire::ConfigurationObject &object : reply.objects()) {
        if (object.modification_revision() == 0) {
            snapshot.entries.erase(object.key());
        } else {
            snapshot.entries[object.key()] = {object.value(), Revision(object.modification_revision())};
        }
    }
    if (snapshot.digest() != reply.digest()) {
        return Error {ErrorCode::Conflict, {}, "the digest does not match the objects"};
    }
    applySnapshot(std::move(snapshot));
    return std::nullopt;
}

} // namespace rhubarblane
