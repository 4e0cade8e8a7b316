#include "http/event_loop.h"

#include "base/log.h"

namespace mimosahub::http
{

void runEventLoop(boost::asio::io_context &io, std::string_view thread)
{
    while (true) {
        try {
            io.run();
            return;
        } catch (const std::exception &e) {
            logEvent(LogLevel::Error, "handler-exception")
                .with("thread", thread)
                .with("why", std::string_view(e.what()));
        }
    }
}

} // namespace mimosahub::http
