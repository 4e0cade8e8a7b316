// Only what differs is published: an object that stays as it is keeps its
// version, so that it can't make another operator's change stale.

#include "ctl/publish_plan.h"

#include "config/object_reader.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include <set>

namespace mimosahub::ctl
{

namespace
{

namespace json = boost::json;

void describeDifference(std::string &out, const std::string &path, const json::value &before, const json::value &after)
{
    if (before == after) {
        return;
    }
    if (!before.is_object() || !after.is_object()) {
        const auto text = [](const json::value &value) {
            return value.is_null() ? std::string("nothing") : shown(value);
        };
        absl::StrAppend(&out, "    ", path, ": ", text(before), " -> ", text(after), "\n");
        return;
    }
    std::set<std::string> keys;
    for (const auto *value : {&before, &after}) {
        for (const auto &member : value->get_object()) {
            keys.emplace(member.key());
        }
    }
    static const json::value kNothing;
    for (const auto &key : keys) {
        const auto *left = before.get_object().if_contains(key);
        const auto *right = after.get_object().if_contains(key);
        describeDifference(out, path.empty() ? key : absl::StrCat(path, ".", key), left ? *left : kNothing,
                           right ? *right : kNothing);
    }
}

} // namespace

std::vector<PlannedChange> planChanges(const ObjectMap &wanted, const PublishedObjects &published, bool prune)
{
    std::map<ObjectKey, PlannedChange> changes;
    for (const auto &[key, spec] : wanted) {
        changes[key] = {key, Offset(0), {}, spec};
    }
    for (const auto &object : published.objects) {
        const auto it = changes.find(object.key);
        if (it == changes.end() && prune) {
            changes[object.key] = {object.key, object.version, object.spec, {}};
        } else if (it != changes.end() && it->second.after == object.spec) {
            changes.erase(it);
        } else if (it != changes.end()) {
            it->second.base = object.version;
            it->second.before = object.spec;
        }
    }
    std::vector<PlannedChange> list;
    list.reserve(changes.size());
    for (auto &[key, change] : changes) {
        list.push_back(std::move(change));
    }
    return list;
}

std::string describeChange(const PlannedChange &change)
{
    const char *const sign = change.before.is_null() ? "+ " : change.after.is_null() ? "- " : "~ ";
    std::string out = absl::StrCat(sign, std::string(kindName(change.key.kind)), " ", change.key.name, "\n");
    if (!change.before.is_null() && !change.after.is_null()) {
        describeDifference(out, "", change.before, change.after);
    }
    return out;
}

boost::json::object publishBody(const std::vector<PlannedChange> &changes, const std::string &operatorName)
{
    json::array list;
    for (const auto &change : changes) {
        list.push_back(json::object{{"kind", kindName(change.key.kind)},
                                    {"name", change.key.name},
                                    {"base", change.base.value()},
                                    {"spec", change.after}});
    }
    return {{"operator", operatorName}, {"changes", std::move(list)}};
}

} // namespace mimosahub::ctl
