// Streams of scripted endpoints under an account whose room comes and goes.

#include "gateway/forwarded_stream.h"

#include "http/spawn.h"

#include <boost/asio/post.hpp>

#include <rapidcheck.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t kKiB = 1024;

/// One event of the stream that all endpoints would make.
struct Event {
    int id = 0;
    std::string text;
};

Event eventOf(int id, std::size_t bytes, bool withId = true)
{
    const auto field = withId ? "id: " + std::to_string(id) + "\n" : std::string();
    return {id, field + "data: " + std::to_string(id) + std::string(bytes, 'x') + "\n\n"};
}

std::vector<Event> eventsOf(int count, std::size_t bytes)
{
    std::vector<Event> events;
    for (int id = 1; id <= count; ++id) {
        events.push_back(eventOf(id, bytes));
    }
    return events;
}

/// An answer that comes in pieces and breaks off where it is told to.
struct Answer {
    std::string bytes;
    std::size_t pieceBytes = http::kLongestReadBytes; ///< Of each read.
    bool whole = true; ///< Otherwise it breaks off behind its bytes.
};

class ScriptedSource : public StreamSource
{
public:
    /// \a beforeRead is called before each read.
    ScriptedSource(Answer answer, std::function<void()> beforeRead)
        : m_answer(std::move(answer)), m_beforeRead(std::move(beforeRead))
    {
    }

    http::Awaitable<absl::StatusOr<std::string>> read() override
    {
        m_beforeRead();
        if (m_closed || (m_at == m_answer.bytes.size() && !m_answer.whole)) {
            co_return absl::UnavailableError("broken off");
        }
        const auto piece = m_answer.bytes.substr(m_at, m_answer.pieceBytes);
        m_at += piece.size();
        co_return piece;
    }
    void close() override
    {
        m_closed = true;
    }
    [[nodiscard]] Duration left() const override
    {
        return 10s;
    }

private:
    Answer m_answer;
    std::function<void()> m_beforeRead;
    std::size_t m_at = 0;
    bool m_closed = false;
};

/// What the caller gets.
struct CallerSide : StreamSink {
    http::Awaitable<bool> start() override
    {
        ++starts;
        co_return true;
    }
    http::Awaitable<bool> write(std::string_view events) override
    {
        text += events;
        co_return true;
    }
    http::Awaitable<void> finish() override
    {
        finished = true;
        co_return;
    }

    int starts = 0;
    std::string text;
    bool finished = false;
};

struct Observer : StreamObserver {
    void eventsCame() override
    {
    }
    void pauseBegan() override
    {
        ++pauses;
    }
    void pauseEnded(Duration /*paused*/, bool goesOn) override
    {
        ++(goesOn ? continued : givenUp);
    }

    int pauses = 0;
    int continued = 0;
    int givenUp = 0;
};

/// One caller's stream, and what the account holds for it.
class Stream
{
public:
    Stream(boost::asio::io_context &io, http::MemoryAccount &account)
        : m_io(io), m_memory(io.get_executor(), account, [] {}), m_stream(m_memory, m_observer)
    {
        cr_assert(m_memory.reserveStream());
    }

    /// Begins to pass on \a answer; ended() holds once that is done.
    void begin(
        Answer answer, std::function<void()> beforeRead = [] {})
    {
        m_end.reset();
        m_source = std::make_unique<ScriptedSource>(std::move(answer), std::move(beforeRead));
        http::spawn(m_io, relay());
    }
    [[nodiscard]] const std::optional<StreamEnd> &end() const
    {
        return m_end;
    }
    [[nodiscard]] const ForwardedStream &stream() const
    {
        return m_stream;
    }
    [[nodiscard]] const CallerSide &caller() const
    {
        return m_caller;
    }
    [[nodiscard]] const Observer &observer() const
    {
        return m_observer;
    }
    AnswerMemory &memory()
    {
        return m_memory;
    }

private:
    http::Awaitable<void> relay()
    {
        m_end = co_await m_stream.relay(*m_source, m_caller);
    }

    boost::asio::io_context &m_io;
    AnswerMemory m_memory;
    Observer m_observer;
    ForwardedStream m_stream;
    CallerSide m_caller;
    std::unique_ptr<ScriptedSource> m_source;
    std::optional<StreamEnd> m_end;
};

/// An account, and what others hold of it.
struct Account {
    explicit Account(std::uint64_t budget, Duration roomWait = 20ms)
        : account(clock, {.budget = budget, .roomWait = roomWait}), others(account, http::MemoryUse::Request, nullptr)
    {
    }
    /// Lets others take all but \a bytes.
    void leave(std::uint64_t bytes)
    {
        const auto free = account.options().budget - std::min(account.options().budget, account.held());
        others.holdReceived(others.bytes() + free - std::min(free, bytes));
    }
    void run()
    {
        io.restart();
        io.run();
    }

    boost::asio::io_context io;
    SystemClock clock;
    http::MemoryAccount account;
    http::MemoryHold others;
};

std::string textOf(const std::vector<Event> &events, std::size_t begin = 0)
{
    std::string text;
    for (std::size_t i = begin; i < events.size(); ++i) {
        text += events[i].text;
    }
    return text;
}

/// What an endpoint makes behind the event \a lastId; faulty ones begin one event too early.
std::string textBehind(const std::vector<Event> &events, const std::optional<std::string> &lastId, bool early)
{
    auto begin = lastId ? static_cast<std::size_t>(std::stoi(*lastId)) : 0;
    begin -= early && begin > 0 ? 1 : 0;
    return textOf(events, begin);
}

bool isPrefixOfEvents(const std::string &text, const std::vector<Event> &events)
{
    std::size_t at = 0;
    for (const auto &event : events) {
        if (at == text.size()) {
            return true;
        }
        if (text.compare(at, event.text.size(), event.text) != 0) {
            return false;
        }
        at += event.text.size();
    }
    return at == text.size();
}

std::vector<Event> drawEvents()
{
    std::vector<Event> events;
    const auto count = *rc::gen::inRange(0, 10);
    const bool allWithId = *rc::gen::element(true, true, false);
    for (int id = 1; id <= count; ++id) {
        const auto bytes = *rc::gen::element<std::size_t>(0, 100, 3000, 20'000, 60'000);
        events.push_back(eventOf(id, bytes, allWithId || *rc::gen::arbitrary<bool>()));
    }
    return events;
}

Answer drawAnswer(std::string bytes)
{
    Answer answer;
    answer.whole = *rc::gen::element(true, false);
    if (!answer.whole) {
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    }
    answer.bytes = std::move(bytes);
    answer.pieceBytes = *rc::gen::element<std::size_t>(50, 1000, http::kLongestReadBytes);
    return answer;
}

} // namespace

// Guards against a stream that ends as complete with an event missing or double, whatever room, losses
// and endpoints do.
Test(forwarded_stream, a_caller_gets_a_prefix_of_the_events_and_all_if_it_is_told_so)
{
    cr_assert(rc::check("prefix", [] {
        const auto events = drawEvents();
        Account it(http::kStreamOverheadBytes + *rc::gen::element<std::uint64_t>(0, 100, 30 * kKiB, 300 * kKiB), 1ms);
        Stream stream(it.io, it.account);
        for (int sends = *rc::gen::inRange(1, 4); sends > 0; --sends) {
            const bool early = *rc::gen::element(false, false, true);
            const auto &lastId = stream.stream().position().lastId();
            const auto room =
                *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 100'000));
            std::size_t reads = 0;
            stream.begin(drawAnswer(textBehind(events, lastId, early)), [&] {
                if (!room.empty()) {
                    it.others.shrinkTo(0);
                    it.leave(room[reads++ % room.size()]);
                }
            });
            it.run();
            RC_ASSERT(stream.end().has_value());
            const auto loss = stream.end()->loss;
            const bool lost = loss == SendLoss::BrokenOff || loss == SendLoss::Silence;
            if (!lost || (stream.stream().begun() && !stream.stream().position().resumable())) {
                break;
            }
        }
        const auto &caller = stream.caller();
        RC_ASSERT(caller.starts <= 1);
        RC_ASSERT(isPrefixOfEvents(caller.text, events));
        RC_ASSERT(!caller.finished || caller.text == textOf(events));
        RC_ASSERT(caller.finished == (stream.end()->loss == SendLoss::None));
    }));
}

// Guards against the loss of events in the moment in which the account is full: they were read, and are passed
// on, however the reads cut them.
Test(forwarded_stream, events_that_were_read_are_passed_on_without_room)
{
    const auto events = eventsOf(5, 2000);
    for (const std::size_t pieceBytes : {events.front().text.size(), std::size_t(3000), std::size_t(700)}) {
        Account it(http::kStreamOverheadBytes);
        Stream stream(it.io, it.account);
        stream.begin({textOf(events), pieceBytes});
        it.run();
        cr_expect(stream.caller().finished && stream.caller().text == textOf(events), "%zu", pieceBytes);
        cr_expect_eq(stream.observer().pauses, 0);
    }
}

// The endpoint waits behind its connection; nothing is lost once others have given room back.
Test(forwarded_stream, a_stream_pauses_for_the_rest_of_an_event_and_goes_on)
{
    const auto events = eventsOf(3, 40'000);
    Account it(http::kStreamOverheadBytes + 200 * kKiB, 5s);
    Stream stream(it.io, it.account);
    it.leave(100);
    stream.begin({textOf(events)});
    boost::asio::steady_timer timer(it.io, 30ms);
    timer.async_wait([&](auto) {
        cr_expect(!stream.end() && stream.observer().pauses == 1 && stream.caller().text.empty());
        it.others.shrinkTo(0);
    });
    it.run();
    cr_expect(stream.caller().finished && stream.caller().text == textOf(events));
    cr_expect(stream.observer().continued == 1 && stream.observer().givenUp == 0);
}

Test(forwarded_stream, a_stream_that_finds_no_room_is_given_up_and_gives_back_what_it_held)
{
    const auto events = eventsOf(3, 40'000);
    Account it(http::kStreamOverheadBytes + 200 * kKiB);
    Stream stream(it.io, it.account);
    it.leave(100);
    stream.begin({textOf(events)});
    it.run();
    cr_assert(stream.end().has_value());
    cr_expect(stream.end()->loss == SendLoss::NoMemory && !stream.caller().finished);
    cr_expect_eq(stream.caller().starts, 0);
    cr_expect_eq(stream.observer().givenUp, 1);
    cr_expect_eq(it.account.held(), it.others.bytes());
}

// Streams that hold what the others wait for: one after the other gives way, and the last are whole.
Test(forwarded_stream, streams_that_wait_for_each_other_do_not_wait_without_end)
{
    const auto events = eventsOf(2, 60'000);
    Account it(4 * http::kStreamOverheadBytes);
    std::vector<std::unique_ptr<Stream>> streams;
    for (int i = 0; i < 4; ++i) {
        streams.push_back(std::make_unique<Stream>(it.io, it.account));
        streams.back()->begin({textOf(events)});
    }
    it.run();
    int whole = 0;
    for (const auto &stream : streams) {
        cr_assert(stream->end().has_value());
        cr_expect(isPrefixOfEvents(stream->caller().text, events));
        cr_expect(!stream->caller().finished || stream->caller().text == textOf(events));
        whole += stream->caller().finished ? 1 : 0;
    }
    cr_expect(whole >= 1 && whole < 4, "%d whole", whole);
}

// A planned stop doesn't wait for the room of a stream that it gives up.
Test(forwarded_stream, a_pause_ends_when_the_request_is_given_up)
{
    Account it(http::kStreamOverheadBytes + 200 * kKiB, 1h);
    Stream stream(it.io, it.account);
    it.leave(100);
    stream.begin({textOf(eventsOf(1, 40'000))});
    boost::asio::post(it.io, [&] { boost::asio::post(it.io, [&] { stream.memory().interruptWait(); }); });
    it.run();
    cr_assert(stream.end().has_value());
    cr_expect(stream.end()->loss == SendLoss::NoMemory);
}
