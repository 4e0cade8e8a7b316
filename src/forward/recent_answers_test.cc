#include "forward/recent_answers.h"

#include <criterion/criterion.h>

#include <string>

using namespace mimosahub;

namespace
{

std::vector<PieceResult> answer(const std::string &handle)
{
    return {{PieceOutcome::Failed, {}}, {PieceOutcome::Done, ResultHandle(handle)}};
}

} // namespace

Test(recent_answers, knows_an_answer_that_comes_again)
{
    RecentAnswers recent(10);
    cr_assert(!recent.contains(answer("a")));
    recent.record(answer("a"));
    cr_assert(recent.contains(answer("a")));
    cr_assert(!recent.contains(answer("b")));
}

// Such answers may be the same without being a copy.
Test(recent_answers, never_knows_an_answer_without_results)
{
    const std::vector<PieceResult> none = {{PieceOutcome::MemoryFull, {}}};
    RecentAnswers recent(10);
    recent.record(none);
    cr_assert(!recent.contains(none));
    cr_assert(!RecentAnswers::isRecognizable(none));
    cr_assert(RecentAnswers::isRecognizable(answer("a")));
}

Test(recent_answers, forgets_the_oldest_answer_beyond_its_capacity)
{
    RecentAnswers recent(2);
    for (const auto *handle : {"a", "b", "b", "c"}) {
        recent.record(answer(handle));
    }
    cr_assert(!recent.contains(answer("a")));
    cr_assert(recent.contains(answer("b")) && recent.contains(answer("c")));
}
