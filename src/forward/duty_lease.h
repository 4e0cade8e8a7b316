#pragma once

#include "forward/daemon_directory.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mimosahub
{

/// The newest record of the lease in the store.
struct DutyLeaseRecord {
    InstanceId holder;
    std::uint64_t incarnation = 0; ///< Of the holder's process.
    std::uint64_t token = 0; ///< Fencing token; higher with each change of holder.
    std::uint64_t renewal = 0; ///< Differs for each attempt to write the record.

    friend bool operator==(const DutyLeaseRecord &, const DutyLeaseRecord &) = default;
};

struct DutyLeaseOptions {
    Duration lease = std::chrono::seconds(3);
    /// No call is sent within this time before the lease ends, so that calls arrive within it.
    Duration margin = std::chrono::milliseconds(500);
    /// Time after a take-over in which nothing is called: a call of the previous holder that got no
    /// response may still be carried out. Zero if the platform checks tokens.
    Duration quiet{};
    Duration candidateStep = std::chrono::milliseconds(500); ///< Between the take-overs of two candidates.
    Duration retryDelay = std::chrono::milliseconds(300); ///< After a write that failed.
};

/// Decides who holds the lease of the deployment's duties. A record is appended on the condition
/// that the table ends where its writer has read it; the lease lasts from the moment before the
/// append. Observers count from the moment at which they read a record, which is later, so that no
/// clocks are compared. All times are of a clock that counts suspended time.
class DutyLease
{
public:
    DutyLease(InstanceId self, std::uint64_t incarnation, const DutyLeaseOptions &options);

    /// Place among the candidates, from 0; absent: this daemon must not hold the lease, and gives it up.
    void setRank(std::optional<int> rank)
    {
        m_rank = rank;
    }
    /// The table was read as a whole for the first time. It may lack a record of the lease.
    void tableRead(TimePoint now);
    /// A record was read from the table.
    void takeRecord(const DutyLeaseRecord &record, TimePoint now);
    /// Another daemon knows of \a token.
    void learnToken(std::uint64_t token);
    /// The record that should be appended now, if any. \a floor: no new token is lower.
    [[nodiscard]] std::optional<DutyLeaseRecord> nextWrite(TimePoint now, std::uint64_t floor);
    /// To be called right before \a record is appended, and once with the result.
    void writeBegan(const DutyLeaseRecord &record, TimePoint now);
    void writeEnded(bool appended, TimePoint now);
    /// The platform refused the own token, since it has seen a higher one.
    void refused(TimePoint now);
    /// Gives the lease up without renewing it: this daemon can't use it. It becomes a candidate again
    /// after \a pause.
    void giveUp(TimePoint now, Duration pause);
    /// Whether this daemon may send a call with token() now.
    [[nodiscard]] bool mayCall(TimePoint now) const;
    /// Time until mayCall() ends at the latest without a renewal.
    [[nodiscard]] Duration callTime(TimePoint now) const;
    /// Whether this daemon holds the lease.
    [[nodiscard]] bool holds(TimePoint now) const
    {
        return m_own && now < m_own->end;
    }
    [[nodiscard]] std::uint64_t token() const
    {
        return m_own ? m_own->token : 0;
    }
    [[nodiscard]] std::uint64_t highestToken() const
    {
        return m_highest;
    }
    /// The newest record that was read, of any holder.
    [[nodiscard]] const std::optional<DutyLeaseRecord> &record() const
    {
        return m_record;
    }

private:
    struct Attempt {
        DutyLeaseRecord record;
        TimePoint at;
    };
    struct Own {
        std::uint64_t token = 0;
        TimePoint end; ///< Of the lease.
        TimePoint callsFrom; ///< Nothing is called earlier.
        TimePoint renewAt;
    };

    [[nodiscard]] bool isOwn(const DutyLeaseRecord &record) const;
    void confirm(const Attempt &attempt);

    InstanceId m_self;
    std::uint64_t m_incarnation;
    DutyLeaseOptions m_options;
    std::optional<int> m_rank;
    std::optional<DutyLeaseRecord> m_record;
    std::optional<TimePoint> m_recordAt; ///< When it, or a table without one, was read.
    std::optional<Own> m_own;
    std::optional<Attempt> m_pending; ///< Its append is in flight.
    std::vector<Attempt> m_lost; ///< Appends that failed or whose result is unknown.
    std::uint64_t m_highest = 0;
    std::uint64_t m_refused = 0; ///< This token was refused or given up; it and lower ones are never used again.
    std::uint64_t m_renewals = 0;
    TimePoint m_retryAt;
    TimePoint m_candidateAt; ///< It takes over no earlier.
};

/// The daemons that may hold the lease, the first one first: by weighted rendezvous hashing over
/// those that stay and have at least half of the largest capacity. Daemons that know the same
/// entries agree on it.
[[nodiscard]] std::vector<DaemonEntry> dutyCandidates(const std::vector<DaemonEntry> &daemons);

} // namespace mimosahub
