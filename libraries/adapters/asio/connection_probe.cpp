#include "libraries/adapters/asio/connection_probe.hpp"

#include <utility>

namespace turmeric::adapters
{

connection_probe::connection_probe(
    asio::io_context& loop,
    std::function<void(ports::probe_result result)> done)
    : m_timer(loop)
    , m_done(std::move(done))
{
}

void connection_probe::begin(const std::shared_ptr<ports::upstream_call>& call,
                             std::chrono::milliseconds timeout)
{
    m_call = call;
    m_timer.set(timeout, [this] { finish(ports::probe_result::silent); });
}

void connection_probe::on_head(const ports::response_head& /*head*/)
{
    finish(ports::probe_result::answered);
}

void connection_probe::on_part(std::string /*part*/) {}

void connection_probe::on_end() {}

void connection_probe::on_failure(ports::transport_failure /*failure*/)
{
    finish(ports::probe_result::failed);
}

void connection_probe::finish(ports::probe_result result)
{
    m_timer.cancel();
    const std::function<void(ports::probe_result)> done =
        std::exchange(m_done, nullptr);
    // This may release the last reference to this object.
    if (const std::shared_ptr<ports::upstream_call> call = m_call.lock())
    {
        call->cancel();
    }
    if (done != nullptr)
    {
        done(result);
    }
}

} // namespace turmeric::adapters
