#include "forward/stage_graph.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>
#include <set>

using namespace mimosahub;

namespace
{

std::vector<StageRule> chain(std::vector<std::vector<std::size_t>> after)
{
    std::vector<StageRule> rules;
    for (auto &it : after) {
        StageRule rule;
        rule.after = std::move(it);
        rules.push_back(std::move(rule));
    }
    return rules;
}

std::vector<ResultHandle> results(std::size_t stage, int pieces)
{
    std::vector<ResultHandle> handles;
    handles.reserve(static_cast<std::size_t>(pieces));
    for (int i = 0; i < pieces; ++i) {
        handles.emplace_back(std::to_string(stage) + "." + std::to_string(i));
    }
    return handles;
}

} // namespace

// For any order in which stages end, each stage begins once, after all stages on which
// it depends, and with exactly their results.
Test(stage_graph, runs_each_stage_once_with_its_inputs)
{
    cr_assert(rc::check([] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 7);
        std::vector<StageRule> rules(count);
        std::vector<int> pieces(count);
        for (std::size_t i = 0; i < count; ++i) {
            pieces[i] = *rc::gen::inRange(0, 4);
            for (std::size_t k = 0; k < i; ++k) {
                if (*rc::gen::inRange(0, 3) == 0) {
                    rules[i].after.push_back(k);
                }
            }
        }
        StageGraph graph(rules, pieces);
        std::set<std::size_t> begun;
        std::set<std::size_t> ended;
        std::vector<std::size_t> running;
        std::set<std::size_t> releasable;
        while (true) {
            for (const auto stage : graph.takeReady()) {
                RC_ASSERT(begun.insert(stage).second);
                std::vector<ResultHandle> expected;
                for (const auto before : rules[stage].after) {
                    RC_ASSERT(pieces[before] == 0 || ended.contains(before));
                    const auto handles = results(before, pieces[before]);
                    expected.insert(expected.end(), handles.begin(), handles.end());
                }
                RC_ASSERT(graph.inputsOf(stage) == expected);
                running.push_back(stage);
            }
            if (running.empty()) {
                break;
            }
            const auto at = *rc::gen::inRange<std::size_t>(0, running.size());
            const auto stage = running[at];
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
            ended.insert(stage);
            graph.complete(stage, results(stage, pieces[stage]));
            for (const auto it : graph.takeReleasable()) {
                RC_ASSERT(releasable.insert(it).second);
                RC_ASSERT(ended.contains(it));
                RC_ASSERT(!graph.isLast(it));
            }
        }
        RC_ASSERT(graph.done());
        for (std::size_t i = 0; i < count; ++i) {
            RC_ASSERT(begun.contains(i) == (pieces[i] > 0));
        }
    }));
}

Test(stage_graph, a_stage_without_pieces_counts_as_done)
{
    StageGraph graph(chain({{}, {0}, {}}), {0, 2, 0});
    cr_assert(graph.takeReady() == std::vector<std::size_t>{1});
    cr_assert(graph.inputsOf(1).empty());
    graph.complete(1, results(1, 2));
    cr_assert(graph.done());
    cr_assert(graph.finalInputs() == results(1, 2));
}

Test(stage_graph, finds_the_longest_remaining_path)
{
    const StageGraph graph(chain({{}, {0}, {1}, {0}}), {1, 1, 1, 1});
    cr_assert(graph.longestRemainingPath(0) == (std::vector<std::size_t>{1, 2}));
    cr_assert(graph.longestRemainingPath(2).empty());
}

Test(stage_graph, results_are_releasable_once_all_successors_are_done)
{
    StageGraph graph(chain({{}, {0}, {0}}), {1, 1, 1});
    static_cast<void>(graph.takeReady());
    graph.complete(0, results(0, 1));
    static_cast<void>(graph.takeReady());
    graph.complete(1, results(1, 1));
    cr_assert(graph.takeReleasable().empty());
    graph.complete(2, results(2, 1));
    cr_assert(graph.takeReleasable() == std::vector<std::size_t>{0});
    cr_assert(graph.takeReleasable().empty());
}
