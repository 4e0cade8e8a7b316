// JSON, so that people can read what stands in the store.

#include "gateway/daemon_entry.h"

#include "config/address.h"
#include "config/object_reader.h"
#include "mimosahub/error.h"

#include <boost/json.hpp>

namespace mimosahub
{

namespace json = boost::json;

std::string writeDaemonEntry(const DaemonEntry &entry)
{
    return json::serialize(json::object{{"zone", entry.zone.str()},
                                        {"peers", entry.peers.str()},
                                        {"incarnation", std::to_string(entry.incarnation)},
                                        {"capacity", entry.capacity},
                                        {"leaving", entry.leaving}});
}

absl::StatusOr<DaemonEntry> readDaemonEntry(std::string_view id, std::string_view document)
{
    json::error_code ec;
    const auto value = json::parse({document.data(), document.size()}, ec);
    if (ec) {
        return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, id, "a daemon's entry is no JSON");
    }
    std::vector<Problem> problems;
    ObjectReader reader(value, {"", ""}, problems);
    DaemonEntry entry;
    entry.id = InstanceId(id);
    std::string peers;
    std::string incarnation;
    reader.id("zone", entry.zone, Presence::Required);
    reader.text("peers", peers, Presence::Required);
    reader.text("incarnation", incarnation, Presence::Required);
    reader.number("capacity", entry.capacity, {1e-6, 1e6});
    reader.flag("leaving", entry.leaving);
    const auto address = parsePeerAddress(peers);
    if (!problems.empty() || !address) {
        return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, id, "a daemon's entry lacks a member");
    }
    entry.peers = *address;
    entry.incarnation = std::strtoull(incarnation.c_str(), nullptr, 10);
    return entry;
}

} // namespace mimosahub
