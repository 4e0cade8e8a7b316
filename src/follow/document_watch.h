#pragma once

#include "follow/keyed_store.h"
#include "mimosahub/clock.h"

#include <optional>

namespace mimosahub
{

struct DocumentWatchOptions {
    Duration ownWait = std::chrono::milliseconds(1500); ///< Of a read of a daemon that hears from no other one.
    Duration relayWait = std::chrono::milliseconds(500); ///< Of a read of a daemon that others ask.
    Duration confirmedWait = std::chrono::seconds(20); ///< Of a read while another daemon confirms the position.
    Duration confirmedAge = std::chrono::milliseconds(750); ///< For which a confirmation holds.
};

/// Decides how long a read of operators' documents waits for a record, and when it is lost.
///
/// The store may miss a read that begins to wait while a record is written, and answer it only once
/// the wait is over. A daemon whose position another one confirms several times a second may wait
/// for long: it notices a missed record by the other one's position. The few daemons that others ask
/// wait briefly instead. No I/O; the time is passed in.
class DocumentWatch
{
public:
    explicit DocumentWatch(const DocumentWatchOptions &options) : m_options(options)
    {
    }

    /// Another daemon has read the documents up to \a next; an older offset than this daemon's
    /// confirms nothing.
    void recordPeer(StoreOffset next, TimePoint now);
    /// A read from \a next on begins. Returns how long it may wait. \a relays: other daemons ask
    /// this one.
    [[nodiscard]] Duration beginRead(StoreOffset next, bool relays, TimePoint now);
    /// Whether the read from \a next on is to be repeated: another daemon knew of later documents in
    /// each of its last two answers, or the read waits for long without a confirmation. True once for
    /// each cause.
    [[nodiscard]] bool isLost(StoreOffset next, TimePoint now);

private:
    [[nodiscard]] bool isConfirmed(StoreOffset next, TimePoint now) const;

    DocumentWatchOptions m_options;
    std::optional<StoreOffset> m_heard; ///< In the last answer of another daemon.
    std::optional<StoreOffset> m_heardBefore; ///< In the one before.
    TimePoint m_heardAt;
    bool m_waitsLong = false; ///< The read in flight relies on confirmations.
};

} // namespace mimosahub
