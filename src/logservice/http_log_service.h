#pragma once

#include "http/connection_pool.h"
#include "logservice/log_service.h"

namespace mimosahub
{

/// The platform's log over HTTP: POST /log/append, GET /log/read.
class HttpSharedLog : public SharedLog
{
public:
    /// \a pool must outlive this object.
    HttpSharedLog(http::ConnectionPool &pool, Address address, Duration timeout);

    http::Awaitable<AppendAnswer> append(std::string data) override;
    http::Awaitable<ReadAnswer> read(Offset from, std::size_t limit) override;

private:
    http::ConnectionPool &m_pool;
    Address m_address;
    Duration m_timeout;
};

/// The platform's instance list over HTTP: GET /instances.
class HttpInstanceList : public InstanceList
{
public:
    /// \a pool must outlive this object.
    HttpInstanceList(http::ConnectionPool &pool, Address address, Duration timeout);

    http::Awaitable<absl::StatusOr<InstanceListing>> fetch() override;

private:
    http::ConnectionPool &m_pool;
    Address m_address;
    Duration m_timeout;
};

/// Parses the response of GET /log/read. Error: InvalidArgument.
[[nodiscard]] absl::StatusOr<ReadResult> parseReadResult(std::string_view body);
/// Parses the response of GET /instances. Error: InvalidArgument.
[[nodiscard]] absl::StatusOr<InstanceListing> parseInstanceListing(std::string_view body);

} // namespace mimosahub
