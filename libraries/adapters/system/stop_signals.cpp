#include "libraries/adapters/system/stop_signals.hpp"

#include <csignal>
#include <ctime>

namespace turmeric::adapters
{

namespace
{

sigset_t stop_signal_set()
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
    sigset_t set = stop_signal_set();
    ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
    ::signal(SIGPIPE, SIG_IGN);
}

void stop_signals::wait()
{
    sigset_t set = stop_signal_set();
    int received = 0;
    ::sigwait(&set, &received);
}

bool stop_signals::wait_for(std::chrono::milliseconds timeout)
{
    constexpr std::chrono::milliseconds second{1000};
    sigset_t set = stop_signal_set();
    timespec wait_time{};
    wait_time.tv_sec = timeout / second;
    wait_time.tv_nsec = std::chrono::nanoseconds(timeout % second).count();
    return ::sigtimedwait(&set, nullptr, &wait_time) > 0;
}

} // namespace turmeric::adapters
