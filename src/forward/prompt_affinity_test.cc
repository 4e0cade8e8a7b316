#include "forward/prompt_affinity.h"

#include <criterion/criterion.h>

using namespace mimosahub;

namespace
{

std::vector<PromptPart> prompt(const std::string &shared, const std::string &last)
{
    return {{"system", 100}, {shared, 50}, {last, 10}};
}

} // namespace

Test(prompt_affinity, a_part_that_never_repeats_is_the_request_s_own)
{
    PromptAffinity affinity;
    for (int i = 0; i < 200; ++i) {
        cr_assert(affinity.take(prompt("session", std::to_string(i))) == "session");
    }
}

// One of many daemons sees requests of the same session only rarely.
Test(prompt_affinity, last_parts_that_repeat_are_shared)
{
    PromptAffinity affinity;
    std::string taken;
    for (int i = 0; i < 400; ++i) {
        const auto session = "s" + std::to_string(i % 10 == 9 ? i - 9 : i);
        taken = affinity.take(prompt("template", session));
    }
    cr_assert(taken.starts_with("s"), "%s", taken.c_str());
}

Test(prompt_affinity, handles_short_prompts)
{
    PromptAffinity affinity;
    cr_assert(affinity.take({}).empty());
    cr_assert(affinity.take({{"only", 5}}) == "only");
}
