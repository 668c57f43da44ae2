#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/domain/capacity/link_meter.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/upstream_transport.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace turmeric::adapters
{

class upstream_connection;

/// Carries calls to upstreams over pooled connections. A connection is reused
/// only if the request was sent completely, and the response was complete, the
/// only one, repeats the request's id, is without further bytes after it, and
/// allows keep-alive, and not for another request with the same id. Used on the
/// thread of its event loop only.
class upstream_connection_pool final : public ports::upstream_transport
{
public:
    /// Precondition: `loop` and `clock` outlive the pool.
    upstream_connection_pool(asio::io_context& loop, const ports::clock& clock);
    ~upstream_connection_pool() override;

    std::shared_ptr<ports::upstream_call>
    start(ports::outgoing_call call,
          std::shared_ptr<ports::call_listener> listener) override;

    void probe(ports::path_probe sent,
               std::function<void(ports::probe_result result)> done) override;

    void close_idle_connections(const std::string& address) override;

    /// Measures with `meter` what the connections read and write. Precondition:
    /// `meter` outlives the pool and is used on the thread of its event loop.
    void set_meter(domain::link_meter& meter);

    /// Returns how many connections were created since the start.
    [[nodiscard]] std::uint64_t opened_connections() const;

private:
    friend class upstream_connection;

    using idle_connections = std::deque<std::shared_ptr<upstream_connection>>;

    [[nodiscard]] std::shared_ptr<upstream_connection>
    take_idle_connection(const ports::outgoing_call& call);
    /// Makes a connection available for later calls.
    void add_idle_connection(std::shared_ptr<upstream_connection> connection);
    /// Removes a connection; without effect if it is not idle.
    void remove_idle_connection(const upstream_connection& connection);

    asio::io_context& m_loop;
    const ports::clock& m_clock;
    std::map<std::string, idle_connections> m_idle;
    std::uint64_t m_opened_connections = 0;
    /// May be null.
    domain::link_meter* m_meter = nullptr;
};

} // namespace turmeric::adapters
