// Addresses are numbers only: a process learns them from its settings and must
// start alike whether or not a name server answers.

#include "config/address.h"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace mimosahub
{

namespace
{

constexpr std::string_view kScheme = "http://";
constexpr std::string_view kAnyHost = "0.0.0.0";

} // namespace

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code ec;
    const auto host = boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), ec);
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec || status != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return Address{host.to_string(), port};
}

std::optional<Address> parsePeerAddress(std::string_view text)
{
    const auto address = parseAddress(text);
    if (!address || address->port == 0) {
        return std::nullopt;
    }
    const auto host = boost::asio::ip::make_address_v4(address->host);
    const bool isPeer =
        !host.is_unspecified() && !host.is_multicast() && host != boost::asio::ip::address_v4::broadcast();
    return isPeer ? address : std::nullopt;
}

std::optional<Address> parseHttpUrl(std::string_view text)
{
    if (!text.starts_with(kScheme)) {
        return std::nullopt;
    }
    const auto address = parseAddress(text.substr(kScheme.size()));
    return address && address->port != 0 ? address : std::nullopt;
}

bool overlap(const Address &a, const Address &b)
{
    return a.port != 0 && a.port == b.port && (a.host == b.host || a.host == kAnyHost || b.host == kAnyHost);
}

} // namespace mimosahub
