#pragma once

#include "config/object_reader.h"
#include "config/settings.h"

/// Groups of settings that every kind of daemon has.
namespace mimosahub
{

/// Reads "IP:PORT" with an IPv4 address.
void readAddress(ObjectReader &reader, std::string_view key, Address &out);
[[nodiscard]] InstanceSettings readInstance(ObjectReader reader);
[[nodiscard]] LogSettings readLog(ObjectReader reader);

} // namespace mimosahub
