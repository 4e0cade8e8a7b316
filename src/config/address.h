#pragma once

#include "mimosahub/endpoint.h"

#include <optional>
#include <string_view>

namespace mimosahub
{

/// Reads "IP:PORT" with an IPv4 address; names are refused, since an address
/// must not depend on a resolver.
[[nodiscard]] std::optional<Address> parseAddress(std::string_view text);

/// Reads "IP:PORT" of a peer to connect to: neither port 0 nor an unspecified,
/// multicast or broadcast address.
[[nodiscard]] std::optional<Address> parsePeerAddress(std::string_view text);

/// Reads "http://IP:PORT" without a path.
[[nodiscard]] std::optional<Address> parseHttpUrl(std::string_view text);

/// Whether two sockets can't listen on \a a and \a b at once. Port 0, which the
/// system replaces, overlaps with nothing.
[[nodiscard]] bool overlap(const Address &a, const Address &b);

} // namespace mimosahub
