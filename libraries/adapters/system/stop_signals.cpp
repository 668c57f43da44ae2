#include "libraries/adapters/system/stop_signals.hpp"

#include <csignal>
#include <ctime>

namespace turmeric::adapters
{

namespace
{

sigset_t stop_set()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

stop_signals::stop_signals()
{
    sigset_t set = stop_set();
    ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
    ::signal(SIGPIPE, SIG_IGN);
}

void stop_signals::wait()
{
    sigset_t set = stop_set();
    int received = 0;
    ::sigwait(&set, &received);
}

bool stop_signals::wait_for(std::chrono::milliseconds time)
{
    constexpr std::chrono::milliseconds second{1000};
    sigset_t set = stop_set();
    timespec limit{};
    limit.tv_sec = time / second;
    limit.tv_nsec = std::chrono::nanoseconds(time % second).count();
    return ::sigtimedwait(&set, nullptr, &limit) > 0;
}

} // namespace turmeric::adapters
