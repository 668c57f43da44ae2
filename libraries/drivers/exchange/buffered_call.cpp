#include "libraries/drivers/exchange/buffered_call.hpp"

#include <utility>

namespace turmeric::drivers
{

namespace
{

class buffering_listener final
    : public ports::call_listener,
      public std::enable_shared_from_this<buffering_listener>
{
public:
    buffering_listener(std::size_t max_response_bytes,
                       std::function<void(buffered_response)> done,
                       std::shared_ptr<byte_budget> budget)
        : m_max_response_bytes(max_response_bytes)
        , m_done(std::move(done))
        , m_budget(std::move(budget))
    {
    }

    void begin(ports::upstream_transport& transport, ports::timer_queue& timers,
               ports::steady_time timeout_at, ports::outgoing_call call)
    {
        m_call = transport.start(std::move(call), shared_from_this());
        const std::weak_ptr<buffering_listener> weak = weak_from_this();
        m_timer = timers.schedule(timeout_at,
                                  [weak]
                                  {
                                      if (const auto self = weak.lock())
                                      {
                                          self->abort_call();
                                      }
                                  });
    }

    void on_head(const ports::response_head& head) override
    {
        m_response.status = head.status;
        m_response.fields = head.fields;
    }

    void on_part(std::string part) override
    {
        const bool has_room =
            part.size() <= m_max_response_bytes - m_response.body.size() &&
            (m_budget == nullptr || m_budget->try_take(part.size()));
        if (!has_room)
        {
            abort_call();
            return;
        }
        m_taken_bytes += part.size();
        m_response.body += part;
        m_call->read_more();
    }

    void on_end() override
    {
        finish(std::move(m_response));
    }

    void on_failure(ports::transport_failure failure) override
    {
        buffered_response response;
        response.failure = failure;
        response.defect = m_call->defect();
        m_response = {};
        finish(std::move(response));
    }

private:
    void abort_call()
    {
        const std::shared_ptr<buffering_listener> self = shared_from_this();
        m_call->cancel();
        on_failure(ports::transport_failure::broken);
    }

    void finish(buffered_response response)
    {
        m_timer.reset();
        if (m_budget != nullptr)
        {
            m_budget->give_back(std::exchange(m_taken_bytes, 0));
        }
        if (const auto done = std::exchange(m_done, nullptr))
        {
            done(std::move(response));
        }
    }

    std::size_t m_max_response_bytes;
    std::function<void(buffered_response)> m_done;
    std::shared_ptr<ports::upstream_call> m_call;
    std::unique_ptr<ports::timer> m_timer;
    /// Not set if the call shares none.
    std::shared_ptr<byte_budget> m_budget;
    std::size_t m_taken_bytes = 0;
    buffered_response m_response;
};

} // namespace

void call_buffered(ports::upstream_transport& transport,
                   ports::timer_queue& timers, const ports::clock& clock,
                   ports::outgoing_call call, std::chrono::milliseconds timeout,
                   std::size_t max_response_bytes,
                   std::function<void(buffered_response)> done,
                   std::shared_ptr<byte_budget> budget)
{
    const std::shared_ptr<buffering_listener> listener =
        std::make_shared<buffering_listener>(
            max_response_bytes, std::move(done), std::move(budget));
    listener->begin(transport, timers, clock.steady_now() + timeout,
                    std::move(call));
}

} // namespace turmeric::drivers
