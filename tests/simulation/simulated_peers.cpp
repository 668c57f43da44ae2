#include "tests/simulation/simulated_peers.hpp"

#include <functional>
#include <sstream>
#include <utility>

namespace turmeric::tests
{

using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds one_way{1};

/// Parses a request that a router has written.
ports::received_request parse_request(const ports::outgoing_call& call)
{
    const std::string& bytes = call.bytes;
    ports::received_request request;
    const std::size_t head_end = bytes.find("\r\n\r\n");
    std::istringstream head(bytes.substr(0, head_end));
    std::string version;
    head >> request.head.method >> request.head.target >> version;
    std::string line;
    std::getline(head, line);
    while (std::getline(head, line))
    {
        const std::size_t colon = line.find(": ");
        const std::size_t end =
            line.ends_with('\r') ? line.size() - 1 : line.size();
        request.head.fields.push_back(
            {line.substr(0, colon), line.substr(colon + 2, end - colon - 2)});
    }
    request.body = call.body == nullptr ? std::string() : call.body->bytes;
    return request;
}

/// One request between two routers: the call of the one and the caller's
/// connection of the other.
class peer_connection final
    : public ports::upstream_call,
      public ports::caller_channel,
      public std::enable_shared_from_this<peer_connection>
{
public:
    peer_connection(event_queue& events,
                    std::shared_ptr<ports::call_listener> listener)
        : m_events(events)
        , m_listener(std::move(listener))
    {
    }

    void accept(ports::request_handler& handler,
                const ports::outgoing_call& call, ports::steady_time now)
    {
        if (m_listener == nullptr)
        {
            return;
        }
        ports::received_request request = parse_request(call);
        request.arrived_at = now;
        m_in_flight = handler.accept(std::move(request), shared_from_this());
    }

    void fail(ports::transport_failure failure)
    {
        if (const auto listener = std::exchange(m_listener, nullptr))
        {
            listener->on_failure(failure);
        }
    }

    void read_more() override
    {
        if (const auto written = std::exchange(m_written, nullptr))
        {
            m_events.run_after(one_way, written);
        }
    }

    void cancel() override
    {
        m_listener.reset();
        m_written = nullptr;
        const auto self = shared_from_this();
        m_events.run_after(one_way,
                           [self]
                           {
                               const auto left = self->m_in_flight.lock();
                               self->m_in_flight.reset();
                               if (left != nullptr && !self->m_is_complete)
                               {
                                   left->on_caller_disconnected(
                                       ports::close_reason::caller_closed);
                               }
                           });
    }

    void send_response(const ports::response_head& head,
                       std::string body) override
    {
        start_response(head);
        if (!body.empty())
        {
            send_part(std::move(body), nullptr);
        }
        finish_response();
    }

    void start_response(const ports::response_head& head) override
    {
        deliver([head](ports::call_listener& to) { to.on_head(head); });
    }

    void send_part(std::string part, std::function<void()> written) override
    {
        deliver(
            [this, part = std::move(part),
             written = std::move(written)](ports::call_listener& to)
            {
                m_written = written;
                to.on_part(part);
            });
    }

    void finish_response() override
    {
        m_is_complete = true;
        deliver(
            [this](ports::call_listener& to)
            {
                m_listener.reset();
                to.on_end();
            });
    }

    void abort_response() override
    {
        m_is_complete = true;
        const auto self = shared_from_this();
        m_events.run_after(one_way, [self]
                           { self->fail(ports::transport_failure::broken); });
    }

private:
    void deliver(std::function<void(ports::call_listener&)> event)
    {
        const auto self = shared_from_this();
        m_events.run_after(one_way,
                           [self, event = std::move(event)]
                           {
                               if (const auto listener = self->m_listener)
                               {
                                   event(*listener);
                               }
                           });
    }

    event_queue& m_events;
    std::shared_ptr<ports::call_listener> m_listener;
    /// Weak, since the request owns its channel, which this is.
    std::weak_ptr<ports::exchange_in_flight> m_in_flight;
    std::function<void()> m_written;
    bool m_is_complete = false;
};

} // namespace

simulated_peers::simulated_peers(event_queue& events, const ports::clock& clock)
    : m_events(events)
    , m_clock(clock)
{
}

void simulated_peers::add(const std::string& address,
                          ports::request_handler& handler)
{
    m_routers[address] = &handler;
}

void simulated_peers::remove(const std::string& address)
{
    m_routers[address] = nullptr;
}

bool simulated_peers::is_router(const std::string& address) const
{
    return m_routers.contains(address);
}

std::shared_ptr<ports::upstream_call>
simulated_peers::start_call(ports::outgoing_call call,
                            std::shared_ptr<ports::call_listener> listener)
{
    ++calls;
    const auto connection =
        std::make_shared<peer_connection>(m_events, std::move(listener));
    m_events.run_after(
        one_way,
        [this, connection, call = std::move(call)]
        {
            ports::request_handler* const handler = m_routers.at(call.address);
            if (handler == nullptr)
            {
                connection->fail(ports::transport_failure::not_connected);
                return;
            }
            connection->accept(*handler, call, m_clock.steady_now());
        });
    return connection;
}

} // namespace turmeric::tests
