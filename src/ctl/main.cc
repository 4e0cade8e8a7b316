// mimosahubctl: the operators' tool. See --help for commands and exit codes.

#include "ctl/session.h"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace
{

class ThreadSleeper : public mimosahub::ctl::Sleeper
{
public:
    void sleep(mimosahub::Duration duration) override
    {
        std::this_thread::sleep_for(duration);
    }
};

} // namespace

int main(int argc, char **argv)
{
    const mimosahub::SystemClock clock;
    ThreadSleeper sleeper;
    const char *const user = std::getenv("USER");
    const mimosahub::ctl::Environment environment{std::cout, std::cerr, clock, sleeper, user ? user : ""};
    return static_cast<int>(mimosahub::ctl::runTool({argv + 1, argv + argc}, environment));
}
