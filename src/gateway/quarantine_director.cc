// News goes to some peers at once, and from there on to others, so that all daemons have
// it within a few hops, also where two zones can't reach each other but a third one
// reaches both. While there are quarantines, each daemon besides compares what it knows
// with one peer after the other: that finds who was cut off or has just started.

#include "gateway/quarantine_director.h"

#include "base/log.h"

#include <absl/strings/str_join.h>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace mimosahub
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration kFlushDelay = 20ms; ///< News of one crash goes out together.
constexpr std::size_t kFanout = 5; ///< Peers to which news goes at once.
constexpr std::size_t kMaxReports = 128; ///< Crashes, and answers, of one message.
constexpr Duration kCompareInterval = 300ms;
constexpr Duration kCompareIntervalAtRest = 3s;
constexpr double kCompareSpread = 0.2;
constexpr Duration kRestAfter = 30s; ///< Since the last change of a quarantine.
constexpr Duration kClaimPatience = 500ms; ///< With the store.
constexpr Duration kClaimPause = 2s; ///< After a claim that failed.

template<typename Report>
void appendBounded(std::vector<Report> &to, std::vector<Report> from)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
    if (to.size() > kMaxReports) {
        to.erase(to.begin(), to.end() - kMaxReports);
    }
}

std::int64_t secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<std::chrono::seconds>(to - from).count();
}

} // namespace

/// A claim whose result is still to come.
struct QuarantineDirector::Claim {
    explicit Claim(boost::asio::io_context &io) : timer(io)
    {
    }
    boost::asio::steady_timer timer;
    bool granted = false;
};

void QuarantineList::set(std::vector<Quarantine> quarantines)
{
    const std::lock_guard lock(m_mutex);
    m_quarantines = std::move(quarantines);
}

std::string QuarantineList::render(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    boost::json::array list;
    for (const auto &it : m_quarantines) {
        list.push_back(boost::json::object{{"service", it.content.service.str()},
                                           {"part", it.content.id},
                                           {"kind", std::string(contentKindName(it.content.kind))},
                                           {"with", boost::json::value_from(it.with)},
                                           {"active", !it.ended},
                                           {"number", it.number},
                                           {"crashes", it.crashes},
                                           {"trials", it.trials},
                                           {"answered_before", it.answeredBefore},
                                           {"age_s", secondsBetween(it.since, now)},
                                           {"changed_s", secondsBetween(it.changedAt, now)}});
    }
    return boost::json::serialize(boost::json::object{{"quarantines", std::move(list)}});
}

QuarantineDirector::QuarantineDirector(boost::asio::io_context &io, const Clock &clock, MetricRegistry &metrics,
                                       Random &random)
    : m_io(io),
      m_clock(clock),
      m_random(random),
      m_flushTimer(io),
      m_compareTimer(io),
      m_active(metrics.gauge("mimosahub_quarantines", "Content whose requests are refused.")),
      m_suspects(metrics.gauge("mimosahub_quarantine_suspects", "Content that is looked at after crashes.")),
      m_begun(metrics.counter("mimosahub_quarantines_begun_total", "Quarantines of which this daemon learnt.")),
      m_ended(metrics.counter("mimosahub_quarantines_ended_total", "Quarantines whose end this daemon learnt.")),
      m_trials(metrics.counter("mimosahub_quarantine_trials_total", "Trials that this daemon claimed.")),
      m_refusals(metrics.counter("mimosahub_quarantine_refusals_total", "Requests refused for a quarantine.")),
      m_messages(metrics.counter("mimosahub_quarantine_messages_total", "Messages on quarantines to other daemons."))
{
}

void QuarantineDirector::connect(QuarantinePeers &peers, Callbacks callbacks)
{
    m_peers = &peers;
    m_callbacks = std::move(callbacks);
}

void QuarantineDirector::stop()
{
    m_flushTimer.reset();
    m_compareTimer.reset();
}

void QuarantineDirector::recordAnswer(const std::vector<ContentId> &contents)
{
    m_table.recordAnswer(contents, m_clock.now());
    spread();
}

void QuarantineDirector::recordCrash(const ListedEndpoint &endpoint, const std::vector<LostSend> &sends)
{
    std::vector<CrashedRequest> requests;
    requests.reserve(sends.size());
    auto crashedAt = m_clock.now();
    for (const auto &send : sends) {
        requests.push_back({send.contents, send.sentAt, send.events});
        crashedAt = std::min(crashedAt, send.lostAt);
    }
    m_table.recordCrash(startOf(endpoint), std::move(requests), crashedAt);
    spread();
}

QuarantineMessage QuarantineDirector::takeMessage(const QuarantineMessage &message)
{
    m_table.merge(message.news, m_clock.now());
    spread();
    const auto digest = m_table.digest();
    return {digest, digest == message.digest ? QuarantineNews() : allQuarantines()};
}

void QuarantineDirector::takeStored(const std::vector<Quarantine> &quarantines)
{
    m_table.merge({{}, {}, quarantines}, m_clock.now());
    spread();
    const auto known = m_table.quarantines();
    for (const auto &stored : quarantines) {
        const auto it = std::find_if(known.begin(), known.end(),
                                     [&](const auto &other) { return other.content == stored.content; });
        if (it != known.end() && it->supersedes(stored)) {
            m_callbacks.store(*it, /*own=*/false);
        }
    }
}

void QuarantineDirector::end(const ServiceId &service, const std::string &id)
{
    for (const auto kind : {ContentKind::SharedPart, ContentKind::OwnPart, ContentKind::Request}) {
        m_table.end({service, id, kind}, m_clock.now());
    }
    spread();
}

// The first one's claim stands for all: requests with the same content compete for it.
http::Awaitable<bool> QuarantineDirector::claimTrial(std::vector<ContentId> contents)
{
    const auto content = contents.front();
    QuarantineNews trial; // As it is now: the store may tell of the claim before its result is here.
    for (const auto &tried : contents) {
        if (const auto quarantine = m_table.withTrial(tried, m_clock.now())) {
            trial.quarantines.push_back(*quarantine);
        }
    }
    const bool allActive = trial.quarantines.size() == contents.size();
    if (!allActive || m_clock.now() < m_noClaimBefore || !m_claims.insert(content).second) {
        co_return false;
    }
    // The caller may leave meanwhile, which destroys this coroutine.
    const std::shared_ptr<void> claimed(nullptr, [this, content](void *) { m_claims.erase(content); });
    const auto claim = std::make_shared<Claim>(m_io);
    claim->timer.expires_after(kClaimPatience);
    m_callbacks.claimTrial(trial.quarantines.front(), [&io = m_io, claim](bool granted) {
        boost::asio::post(io, [claim, granted] {
            claim->granted = granted;
            claim->timer.cancel();
        });
    });
    co_await claim->timer.async_wait(http::kTuple);
    if (!claim->granted) {
        m_noClaimBefore = m_clock.now() + kClaimPause;
        co_return false;
    }
    m_trials.add();
    m_table.merge(trial, m_clock.now());
    spread();
    co_return true;
}

/// Hands on what the table has learnt.
void QuarantineDirector::spread()
{
    auto news = m_table.takeNews();
    publishChanges();
    if (news.empty()) {
        return;
    }
    m_suspects.set(static_cast<double>(m_table.suspects()));
    appendBounded(m_outgoing.crashes, std::move(news.crashes));
    appendBounded(m_outgoing.answers, std::move(news.answers));
    m_outgoing.quarantines.insert(m_outgoing.quarantines.end(), news.quarantines.begin(), news.quarantines.end());
    if (m_flushArmed || !m_flushTimer) {
        return;
    }
    m_flushArmed = true;
    m_flushTimer->expires_after(kFlushDelay);
    m_flushTimer->async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            m_flushArmed = false;
            flush();
        }
    });
}

void QuarantineDirector::publishChanges()
{
    const auto changes = m_table.takeChanges();
    if (changes.empty()) {
        return;
    }
    m_changedAt = m_clock.now();
    bool begun = false;
    for (const auto &[quarantine, decidedHere] : changes) {
        logChange(quarantine);
        if (quarantine.ended) {
            m_ended.add();
        } else if (quarantine.trials == 0) {
            m_begun.add();
        }
        begun = begun || !quarantine.ended;
        m_callbacks.store(quarantine, decidedHere);
    }
    auto all = m_table.quarantines();
    m_active.set(static_cast<double>(std::count_if(all.begin(), all.end(), [](const auto &it) { return !it.ended; })));
    m_list.set(std::move(all));
    if (m_compareTimer) {
        m_compareTimer->cancel(); // The interval is shorter now.
    }
    m_compareArmed = false;
    armCompare();
    if (begun) {
        m_callbacks.begun();
    }
}

void QuarantineDirector::logChange(const Quarantine &quarantine) const
{
    logEvent(LogLevel::Warning, "quarantine")
        .with("service", quarantine.content.service)
        .with("part", std::string_view(quarantine.content.id))
        .with("kind", contentKindName(quarantine.content.kind))
        .with("with", absl::StrJoin(quarantine.with, ","))
        .with("state",
              quarantine.ended            ? std::string_view("ended")
                  : quarantine.trials > 0 ? std::string_view("trial")
                                          : std::string_view("begun"))
        .with("number", quarantine.number)
        .with("crashes", quarantine.crashes)
        .with("endpoints",
              absl::StrJoin(m_table.crashedEndpoints(quarantine.content), ",",
                            [](std::string *out, const EndpointId &id) { out->append(id.str()); }))
        .with("trials", quarantine.trials)
        .with("answered_before", quarantine.answeredBefore)
        .with("age", Duration(m_clock.now() - quarantine.since));
}

void QuarantineDirector::flush()
{
    auto peers = m_peers->peers();
    std::shuffle(peers.begin(), peers.end(), m_random.engine());
    peers.resize(std::min(peers.size(), kFanout));
    const auto news = std::exchange(m_outgoing, {});
    for (const auto &peer : peers) {
        send(peer, news);
    }
}

void QuarantineDirector::send(const InstanceId &peer, QuarantineNews news)
{
    m_messages.add();
    m_peers->exchangeQuarantines(peer, {m_table.digest(), std::move(news)}, [this, peer](const auto &answer) {
        if (answer) {
            takeAnswer(peer, *answer, /*complete=*/false);
        }
    });
}

/// \a complete: \a peer has got all that this daemon knows.
void QuarantineDirector::takeAnswer(const InstanceId &peer, const QuarantineMessage &answer, bool complete)
{
    m_table.merge(answer.news, m_clock.now());
    spread();
    if (complete || m_table.digest() == answer.digest) {
        return;
    }
    m_messages.add();
    m_peers->exchangeQuarantines(peer, {m_table.digest(), allQuarantines()}, [this, peer](const auto &last) {
        if (last) {
            takeAnswer(peer, *last, /*complete=*/true);
        }
    });
}

QuarantineNews QuarantineDirector::allQuarantines() const
{
    return {{}, {}, m_table.quarantines()};
}

void QuarantineDirector::armCompare()
{
    if (m_compareArmed || !m_compareTimer || m_table.digest() == 0) {
        return;
    }
    m_compareArmed = true;
    const bool atRest = m_clock.now() - m_changedAt > kRestAfter;
    m_compareTimer->expires_after(m_random.jitter(atRest ? kCompareIntervalAtRest : kCompareInterval, kCompareSpread));
    m_compareTimer->async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            m_compareArmed = false;
            compare();
        }
    });
}

void QuarantineDirector::compare()
{
    if (const auto peer = nextPeer()) {
        send(*peer, {});
    }
    armCompare();
}

std::optional<InstanceId> QuarantineDirector::nextPeer()
{
    if (m_toCompare.empty()) {
        m_toCompare = m_peers->peers();
        std::shuffle(m_toCompare.begin(), m_toCompare.end(), m_random.engine());
    }
    if (m_toCompare.empty()) {
        return std::nullopt;
    }
    auto peer = std::move(m_toCompare.back());
    m_toCompare.pop_back();
    return peer;
}

} // namespace mimosahub
