#include "libraries/drivers/exchange/buffered_call.hpp"

#include <utility>

namespace turmeric::drivers
{

namespace
{

class collecting_listener final
    : public ports::call_listener,
      public std::enable_shared_from_this<collecting_listener>
{
public:
    collecting_listener(std::size_t most_bytes,
                        std::function<void(buffered_answer)> done)
        : m_most_bytes(most_bytes)
        , m_done(std::move(done))
    {
    }

    void begin(ports::upstream_transport& transport, ports::timer_queue& timers,
               ports::steady_time timeout_at, ports::outgoing_call call)
    {
        m_call = transport.start(std::move(call), shared_from_this());
        const std::weak_ptr<collecting_listener> weak = weak_from_this();
        m_timer = timers.schedule(timeout_at,
                                  [weak]
                                  {
                                      if (const auto self = weak.lock())
                                      {
                                          self->give_up();
                                      }
                                  });
    }

    void on_head(const ports::response_head& head) override
    {
        m_answer.status = head.status;
    }

    void on_part(std::string part) override
    {
        m_answer.body += part;
        if (m_answer.body.size() > m_most_bytes)
        {
            give_up();
            return;
        }
        m_call->read_more();
    }

    void on_end() override
    {
        finish(std::move(m_answer));
    }

    void on_failure(ports::transport_failure failure) override
    {
        buffered_answer answer;
        answer.failure = failure;
        finish(std::move(answer));
    }

private:
    void give_up()
    {
        const std::shared_ptr<collecting_listener> self = shared_from_this();
        m_call->cancel();
        on_failure(ports::transport_failure::broken);
    }

    void finish(buffered_answer answer)
    {
        m_timer.reset();
        if (const auto done = std::exchange(m_done, nullptr))
        {
            done(std::move(answer));
        }
    }

    std::size_t m_most_bytes;
    std::function<void(buffered_answer)> m_done;
    std::shared_ptr<ports::upstream_call> m_call;
    std::unique_ptr<ports::timer> m_timer;
    buffered_answer m_answer;
};

} // namespace

void call_buffered(ports::upstream_transport& transport,
                   ports::timer_queue& timers, const ports::clock& clock,
                   ports::outgoing_call call, std::chrono::milliseconds timeout,
                   std::size_t most_bytes,
                   std::function<void(buffered_answer)> done)
{
    const std::shared_ptr<collecting_listener> listener =
        std::make_shared<collecting_listener>(most_bytes, std::move(done));
    listener->begin(transport, timers, clock.steady_now() + timeout,
                    std::move(call));
}

} // namespace turmeric::drivers
