#include "services/controller/duty_thread.hpp"

#include <utility>

namespace turmeric::controller
{

duty_thread::duty_thread(const drivers::leadership& leader, work round,
                         std::chrono::milliseconds period)
    : m_leader(leader)
    , m_round(std::move(round))
    , m_period(period)
    , m_thread([this] { run(); })
{
}

duty_thread::~duty_thread()
{
    m_stop.request_stop();
    m_thread.join();
}

void duty_thread::run()
{
    do
    {
        if (m_leader.fencing())
        {
            m_round(m_leader);
        }
    } while (m_stop.sleep_for(m_period));
}

} // namespace turmeric::controller
