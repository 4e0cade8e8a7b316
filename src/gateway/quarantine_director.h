#pragma once

#include "base/metrics.h"
#include "base/random.h"
#include "forward/content_quarantine.h"
#include "gateway/crash_detector.h"
#include "http/awaitable.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosahub
{

/// Other daemons that may know of quarantines. Traffic thread only.
class QuarantinePeers
{
public:
    using AnswerCallback = std::function<void(const std::optional<QuarantineMessage> &)>;

    virtual ~QuarantinePeers() = default;
    [[nodiscard]] virtual std::vector<InstanceId> peers() const = 0;
    /// \a onAnswer gets what \a peer knows; absent if it doesn't answer.
    virtual void exchangeQuarantines(const InstanceId &peer, const QuarantineMessage &message,
                                     AnswerCallback onAnswer) = 0;
};

/// The quarantines that a daemon knows, for readers on other threads.
class QuarantineList
{
public:
    void set(std::vector<Quarantine> quarantines);
    /// JSON for people, with ages as of \a now.
    [[nodiscard]] std::string render(TimePoint now) const;

private:
    mutable std::mutex m_mutex;
    std::vector<Quarantine> m_quarantines;
};

/// Keeps requests from being sent whose content crashes endpoints: collects
/// the evidence of this daemon and, by gossip, of all others. Traffic thread only.
class QuarantineDirector
{
public:
    struct Callbacks {
        /// The store should hold the quarantine. \a own: this daemon has changed it; the others
        /// write only if it doesn't.
        std::function<void(const Quarantine &quarantine, bool own)> store;
        /// Writes the quarantine if the store doesn't know more; tells whether it did.
        std::function<void(const Quarantine &quarantine, std::function<void(bool)> onResult)> claimTrial;
        /// A quarantine began: requests that wait may have to be refused.
        std::function<void()> begun;
    };

    /// All arguments must outlive this object.
    QuarantineDirector(boost::asio::io_context &io, const Clock &clock, MetricRegistry &metrics, Random &random);

    /// To be called before any other function.
    void connect(QuarantinePeers &peers, Callbacks callbacks);
    /// Ends the exchange with other daemons; to be called before the io context ends.
    void stop();

    [[nodiscard]] QuarantineVerdict check(const std::vector<ContentId> &contents) const
    {
        return m_table.check(contents, m_clock.now());
    }
    [[nodiscard]] const ContentQuarantine &table() const
    {
        return m_table;
    }
    /// Claims the next trial of the quarantines of \a contents, which are sorted, for one request:
    /// of all daemons, one gets it. False if it doesn't.
    http::Awaitable<bool> claimTrial(std::vector<ContentId> contents);
    void recordAnswer(const std::vector<ContentId> &contents);
    void recordCrash(const ListedEndpoint &endpoint, const std::vector<LostSend> &sends);
    /// A request was refused for a quarantine.
    void recordRefusal()
    {
        m_refusals.add();
    }

    /// Takes what another daemon knows; returns what this one does.
    [[nodiscard]] QuarantineMessage takeMessage(const QuarantineMessage &message);
    /// Takes what the store holds.
    void takeStored(const std::vector<Quarantine> &quarantines);
    /// Ends the quarantines of what has \a id at \a service, as an operator wants.
    void end(const ServiceId &service, const std::string &id);
    [[nodiscard]] const QuarantineList &list() const
    {
        return m_list;
    }

private:
    struct Claim;

    void spread();
    void publishChanges();
    void logChange(const Quarantine &quarantine) const;
    void flush();
    void send(const InstanceId &peer, QuarantineNews news);
    void takeAnswer(const InstanceId &peer, const QuarantineMessage &answer, bool complete);
    void armCompare();
    void compare();
    [[nodiscard]] QuarantineNews allQuarantines() const;
    [[nodiscard]] std::optional<InstanceId> nextPeer();

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    Random &m_random;
    QuarantinePeers *m_peers = nullptr;
    Callbacks m_callbacks;
    ContentQuarantine m_table;
    QuarantineNews m_outgoing; ///< Not sent yet.
    std::optional<boost::asio::steady_timer> m_flushTimer; ///< Absent once stopped.
    std::optional<boost::asio::steady_timer> m_compareTimer; ///< Absent once stopped.
    bool m_flushArmed = false;
    bool m_compareArmed = false;
    TimePoint m_changedAt; ///< When a quarantine changed last.
    std::vector<InstanceId> m_toCompare; ///< Peers that are still to be compared with in this round.
    std::set<ContentId> m_claims; ///< Trials that are being claimed.
    TimePoint m_noClaimBefore; ///< The store refused a claim or didn't answer.
    QuarantineList m_list;
    Gauge &m_active;
    Gauge &m_suspects;
    Counter &m_begun;
    Counter &m_ended;
    Counter &m_trials;
    Counter &m_refusals;
    Counter &m_messages;
};

} // namespace mimosahub
