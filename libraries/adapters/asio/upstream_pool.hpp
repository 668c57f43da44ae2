#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/upstream_transport.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace turmeric::adapters
{

class upstream_connection;

/// Carries calls over connections that are kept while they are sound: one is
/// used again only after an answer that was exactly whole. Used on its
/// loop's thread only.
class upstream_pool final : public ports::upstream_transport
{
public:
    /// Precondition: `loop` and `clock` outlive the pool.
    upstream_pool(asio::io_context& loop, const ports::clock& clock);
    ~upstream_pool() override;

    std::shared_ptr<ports::upstream_call>
    start(ports::outgoing_call call,
          std::shared_ptr<ports::call_listener> listener) override;

    void close_idle_connections(const std::string& address) override;

    /// Returns how many connections were opened in all.
    [[nodiscard]] std::uint64_t opened() const;

private:
    friend class upstream_connection;

    using idle_connections = std::deque<std::shared_ptr<upstream_connection>>;

    [[nodiscard]] std::shared_ptr<upstream_connection>
    take_idle(const std::string& address, std::chrono::milliseconds max_idle);
    void keep(std::shared_ptr<upstream_connection> connection);
    void drop(const upstream_connection& connection);

    asio::io_context& m_loop;
    const ports::clock& m_clock;
    std::map<std::string, idle_connections> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace turmeric::adapters
