// The loop before a store whose long reads bring nothing until they are begun anew.

#include "gateway/rollout_status_loop.h"

#include "http/spawn.h"

#include <utility>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const RolloutOrder kOrder{ServiceId("s"), VersionId("v2"), 15s};
const RolloutRecord kRecord(5);

/// Documents of one service, which hold nothing but "running".
class Documents : public DocumentReader
{
public:
    DocumentName documentName(std::string_view /*key*/) const override
    {
        return {};
    }
    absl::StatusOr<std::shared_ptr<const GatewayConfiguration>>
    configuration(std::string_view /*document*/) const override
    {
        return absl::UnimplementedError("");
    }
    absl::StatusOr<RolloutOrder> rollout(std::string_view /*document*/) const override
    {
        return absl::UnimplementedError("");
    }
    absl::StatusOr<ListedEndpoint> endpoint(std::string_view /*key*/, std::string_view /*document*/) const override
    {
        return absl::UnimplementedError("");
    }
    std::string statusKey(const ServiceId &service) const override
    {
        return service.str();
    }
    std::string statusDocument(const RolloutReport & /*status*/) const override
    {
        return "running";
    }
    absl::StatusOr<RolloutReport> status(std::string_view key, std::string_view /*document*/) const override
    {
        return RolloutReport{ServiceId(key), kOrder.target, RolloutStage::Running, kRecord};
    }
};

class Store : public KeyedStore
{
public:
    http::Awaitable<absl::StatusOr<KeyedPage>> newest(StoreTable /*table*/, std::string /*afterKey*/) override
    {
        ++pages;
        onPage();
        co_return KeyedPage();
    }
    http::Awaitable<KeyedReadResult> read(StoreTable /*table*/, StoreOffset from, Duration /*wait*/) override
    {
        if (records.size() <= from.value()) {
            boost::asio::steady_timer never(co_await boost::asio::this_coro::executor);
            co_await http::sleepOn(never);
        }
        KeyedRun run;
        run.records.assign(records.begin() + static_cast<std::ptrdiff_t>(from.value()), records.end());
        run.next = StoreOffset(records.size());
        co_return run;
    }
    http::Awaitable<AppendResult> append(StoreTable /*table*/, std::string /*key*/,
                                         std::optional<std::string> /*value*/,
                                         std::optional<StoreOffset> expectedEnd) override
    {
        ++appends;
        if (std::exchange(losesAppend, false)) {
            boost::asio::steady_timer never(co_await boost::asio::this_coro::executor);
            co_await http::sleepOn(never);
        }
        co_return expectedEnd == StoreOffset(records.size()) ? AppendResult::Appended : AppendResult::Conflict;
    }

    std::vector<KeyedRecord> records;
    std::function<void()> onPage = [] {};
    int pages = 0;
    int appends = 0;
    bool losesAppend = false; ///< The next one gets no answer.
};

class Fixture : public KeyedFollower::Listener
{
public:
    Fixture()
    {
        loop.takeOrder(kOrder, kRecord);
        io.run_for(50ms); // The empty table is read, and a read that waits is in flight.
    }
    ~Fixture() override
    {
        loop.stop();
        io.poll();
    }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    void tableChanged(StoreTable /*table*/, std::vector<KeyedChange> changes, bool complete) override
    {
        loop.takeChanges(changes, complete);
        ++changed;
    }
    void storeReached(StoreTable /*table*/) override
    {
    }
    void storeFailed(StoreTable /*table*/, const absl::Status & /*status*/) override
    {
    }
    void want(RolloutStage stage = RolloutStage::Running)
    {
        loop.want({{kOrder.service, kOrder.target, kRecord}, stage, true});
        io.restart();
        io.run_for(500ms);
    }

    boost::asio::io_context io{1};
    ManualClock clock{TimePoint(100h)};
    Store store;
    Documents documents;
    Random random{1};
    int changed = 0;
    RolloutStatusLoop loop{io, clock, store, documents, *this, random};
};

} // namespace

// A daemon whose long read missed a record tried to write its status for as long as that read
// lasted, six times a second, and didn't take part in the rollout meanwhile.
Test(rollout_status_loop, a_conflict_reads_the_table_again)
{
    Fixture it;
    it.store.records.push_back({"s", "running", StoreOffset(0)}); // The read in flight doesn't bring it.
    it.want();
    cr_assert_eq(it.store.appends, 1);
    cr_assert(it.loop.list().at(0).status == RolloutStage::Running);
}

// Two coordinators write at the same time: before a deadline the second one can't wait for long.
Test(rollout_status_loop, a_write_that_met_another_record_is_made_again_at_once)
{
    Fixture it;
    it.store.records.push_back({"other", "running", StoreOffset(0)});
    it.want();
    cr_assert_eq(it.store.appends, 2);
}

// The store was silent for a moment at the verdict: the status was written again after the call's timeout, when
// the deadline had passed.
Test(rollout_status_loop, a_final_status_without_an_answer_is_written_again_soon)
{
    Fixture it;
    it.store.losesAppend = true;
    it.want(RolloutStage::Completed);
    cr_assert_eq(it.store.appends, 2);
}

Test(rollout_status_loop, the_time_of_the_store_is_measured)
{
    Fixture it;
    http::spawn(it.io, it.loop.measureStore());
    it.store.onPage = [&] { it.clock.advance(200ms); };
    it.want();
    cr_assert_eq(it.store.pages, 2);
    cr_assert(it.loop.storeTime() == Duration(200ms));
}
