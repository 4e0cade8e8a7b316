#include "daemon/request_settings.h"

#include <criterion/criterion.h>

using namespace mimosahub;

Test(request_settings, decide_the_silence_of_streams_and_the_expiry_of_keys)
{
    Settings settings;
    settings.timeouts.stageProgress = std::chrono::milliseconds(700);
    settings.timeouts.clockSkew = std::chrono::milliseconds(1300);
    cr_assert(requestOptionsOf(settings).streamStallTimeout == settings.timeouts.stageProgress);
    cr_assert(idempotencyOptionsOf(settings).clockSkew == settings.timeouts.clockSkew);
}

Test(request_settings, default_to_the_options_own_defaults)
{
    cr_assert(requestOptionsOf({}).streamStallTimeout == RequestOptions().streamStallTimeout);
    cr_assert(idempotencyOptionsOf({}).clockSkew == IdempotencyOptions().clockSkew);
}
