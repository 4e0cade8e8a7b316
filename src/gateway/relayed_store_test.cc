// A store and a relay that answer as the test says.

#include "gateway/relayed_store.h"

#include "http/spawn.h"

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

/// The documents are "VERSION SEQUENCE".
class PlainDocuments : public DocumentReader
{
public:
    [[nodiscard]] DocumentName documentName(std::string_view /*key*/) const override
    {
        return {};
    }
    [[nodiscard]] absl::StatusOr<std::shared_ptr<const GatewayConfiguration>>
    configuration(std::string_view /*document*/) const override
    {
        return absl::UnimplementedError("");
    }
    [[nodiscard]] absl::StatusOr<RolloutOrder> rollout(std::string_view /*document*/) const override
    {
        return absl::UnimplementedError("");
    }
    [[nodiscard]] absl::StatusOr<ListedEndpoint> endpoint(std::string_view key,
                                                          std::string_view document) const override
    {
        ListedEndpoint it;
        it.info.id = EndpointId(key);
        it.info.version = VersionId(document.substr(0, document.find(' ')));
        it.sequence = std::stoull(std::string(document.substr(document.find(' ') + 1)));
        return it;
    }
    [[nodiscard]] std::string statusKey(const ServiceId & /*service*/) const override
    {
        return "";
    }
    [[nodiscard]] std::string statusDocument(const RolloutReport & /*status*/) const override
    {
        return "";
    }
    [[nodiscard]] absl::StatusOr<RolloutReport> status(std::string_view /*key*/,
                                                       std::string_view /*document*/) const override
    {
        return absl::UnimplementedError("");
    }
};

struct FixedStore : KeyedStore {
    explicit FixedStore(int &reads) : m_reads(reads)
    {
    }
    http::Awaitable<absl::StatusOr<KeyedPage>> newest(StoreTable /*table*/, std::string /*afterKey*/) override
    {
        co_return page;
    }
    http::Awaitable<KeyedReadResult> read(StoreTable /*table*/, StoreOffset from, Duration /*wait*/) override
    {
        ++m_reads;
        KeyedRun run;
        run.records = {{"e", "v1 1", from}, {"e", "v1 2", from.next()}, {"e", "v2 3", from.next().next()}};
        run.next = from.next().next().next();
        co_return run;
    }
    http::Awaitable<AppendResult> append(StoreTable /*table*/, std::string /*key*/,
                                         std::optional<std::string> /*value*/,
                                         std::optional<StoreOffset> /*expectedEnd*/) override
    {
        co_return AppendResult::Refused;
    }
    int &m_reads;
    KeyedPage page;
};

struct FixedAsker : TableQueryClient {
    std::optional<TableAnswer> answer;
    bool silent = false;

    void queryTable(StoreTable /*table*/, StoreOffset /*from*/, AnswerCallback onAnswer) override
    {
        if (!silent) {
            onAnswer(answer);
        }
    }
};

struct Fixture {
    boost::asio::io_context io{1};
    SystemClock clock;
    PlainDocuments documents;
    FixedAsker asker;
    TableRelay relay;
    int storeReads = 0;
    RelayedStore store{
        io, clock, std::make_unique<FixedStore>(storeReads), documents, asker, relay, {300ms, 250ms, 20ms}};

    KeyedRun read(std::uint64_t from)
    {
        KeyedRun result;
        const auto loop = [&]() -> http::Awaitable<void> {
            result = *(co_await store.read(StoreTable::Endpoints, StoreOffset(from), 0ms));
        };
        http::spawn(io, loop());
        io.run();
        io.restart();
        return result;
    }
};

TableAnswer answerOf(Duration age)
{
    TableAnswer answer;
    answer.run.records = {{"e", "v9 7", StoreOffset(4)}};
    answer.run.next = StoreOffset(5);
    answer.age = age;
    return answer;
}

} // namespace

Test(relayed_store, a_fresh_answer_of_another_daemon_saves_a_read)
{
    Fixture it;
    it.asker.answer = answerOf(300ms);
    const auto run = it.read(4);
    cr_assert_eq(it.storeReads, 0);
    cr_assert(run.next == StoreOffset(5) && run.nextReadDelay == Duration(250ms));
}

Test(relayed_store, an_old_answer_is_followed_by_a_read_of_the_store)
{
    Fixture it;
    it.asker.answer = answerOf(301ms);
    const auto run = it.read(4);
    cr_assert_eq(it.storeReads, 1);
    cr_assert(run.next == StoreOffset(7) && !run.nextReadDelay);
}

namespace
{

http::Awaitable<void> readInNewEra(RelayedStore &store, StoreOffset from)
{
    static_cast<void>(co_await store.newest(StoreTable::Endpoints, ""));
    static_cast<void>(co_await store.read(StoreTable::Endpoints, from, 0ms));
}

} // namespace

// The copy has the endpoint, but a daemon that follows this one may have seen it lapse.
Test(relayed_store, the_first_entry_of_an_endpoint_in_a_new_era_is_handed_on)
{
    const StoreEra era(1);
    Fixture it;
    auto store = std::make_unique<FixedStore>(it.storeReads);
    store->page = {{{"e", "v1 0", StoreOffset(0, era)}}, false, StoreOffset(1, era), "e"};
    RelayedStore relayed(it.io, it.clock, std::move(store), it.documents, it.asker, it.relay, {300ms, 250ms, 20ms});
    http::spawn(it.io, readInNewEra(relayed, StoreOffset(1, era)));
    it.io.run();
    const auto answer = it.relay.answer(StoreOffset(1, era), it.clock.now());
    cr_assert(answer && answer->run.records.size() == 2);
    cr_assert(answer->run.records[0].value == "v1 1");
}

// Records of another era are of another log, even at the offset that was asked for.
Test(relayed_store, another_daemon_that_is_in_a_later_era_ends_this_one)
{
    Fixture it;
    it.asker.answer = answerOf(900ms);
    it.asker.answer->run.next = StoreOffset(5, StoreEra(1));
    const auto run = it.read(4);
    cr_assert_eq(it.storeReads, 0);
    cr_assert(run.dropped && run.records.empty() && run.next == StoreOffset(0, StoreEra(1)));
}

Test(relayed_store, a_daemon_that_does_not_answer_delays_a_read_but_little)
{
    Fixture it;
    it.asker.silent = true;
    static_cast<void>(it.read(4));
    cr_assert_eq(it.storeReads, 1);
}

Test(relayed_store, what_only_shows_that_an_endpoint_lives_is_not_handed_on)
{
    Fixture it;
    const auto run = it.read(10);
    cr_assert_eq(run.records.size(), 3);
    const auto answer = it.relay.answer(StoreOffset(10), it.clock.now());
    cr_assert(answer.has_value());
    cr_assert_eq(answer->run.records.size(), 2);
    cr_assert(answer->run.records[1].value == "v2 3" && answer->run.next == StoreOffset(13));
    cr_assert(it.read(13).nextReadDelay == Duration(250ms)); // Others rely on it now.
}

// Seen on krytjie-hq-grown, hunt-6dca-3: the read that waited for documents was lost,
// and endpoints' entries came from another daemon.
Test(relayed_store, documents_that_another_daemon_knows_twice_are_missing_here)
{
    Fixture it;
    it.asker.answer = answerOf(100ms);
    it.asker.answer->documents = StoreOffset(9);
    static_cast<void>(it.read(4));
    cr_assert(!it.store.documentsMissing(StoreOffset(8))); // The answer may be on its way.
    static_cast<void>(it.read(5));
    cr_assert(!it.store.documentsMissing(StoreOffset(9)));
    cr_assert(it.store.documentsMissing(StoreOffset(8)));
    cr_assert(!it.store.documentsMissing(StoreOffset(8))); // Once is enough.
}
