// Fuzz target: any document ends in settings, objects or a list of problems that
// each say where, what was found and what is allowed.

#include "config/deployment.h"
#include "config/settings.h"

#include <cstdint>
#include <cstdlib>

namespace
{

template<typename T>
void requireTypedEnd(const mimosahub::Checked<T> &result)
{
    if (result.ok() != result.problems().empty()) {
        std::abort();
    }
    for (const auto &problem : result.problems()) {
        if (problem.file.empty() || problem.found.empty() || problem.allowed.empty()) {
            std::abort();
        }
    }
}

} // namespace

// NOLINTBEGIN(readability-identifier-naming): libFuzzer calls it by this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    requireTypedEnd(mimosahub::Settings::parse("input", text));
    requireTypedEnd(mimosahub::parseDeployment("input", text));
    return 0;
}
// NOLINTEND(readability-identifier-naming)
