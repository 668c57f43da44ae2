#pragma once

#include "libraries/codecs/fleet/token_message.hpp"
#include "libraries/core/logger.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/fleet/peer_table.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/datagram_link.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace turmeric::drivers
{

/// Moves prepaid tokens between routers when the store has none left or does
/// not answer: the lender stops counting them as its own before it sends
/// them, so a lost loan strands tokens but never doubles them. Used on the
/// control thread only.
class token_exchange
{
public:
    /// Releases up to `wanted` tokens on the traffic thread; `done` hears how
    /// many.
    using release_function =
        std::function<void(const std::string& account, std::int64_t wanted,
                           std::function<void(std::int64_t)> done)>;

    /// Precondition: all but the function outlive this.
    token_exchange(ports::datagram_link& link, const peer_table& peers,
                   const ports::clock& clock, logger& log, std::string self,
                   release_function release);

    /// Asks the peer that can spare the most, unless an answer is awaited.
    /// Precondition: `tokens` is above zero.
    void borrow(const std::string& account, std::int64_t tokens);

    /// Takes a message that came. Returns true when tokens were borrowed.
    bool handle_message(const codecs::token_message& message);

    /// Returns the tokens borrowed so far, by account.
    [[nodiscard]] const std::map<std::string, std::int64_t>& borrowed() const;

private:
    struct pending_request
    {
        std::int64_t number = 0;
        ports::steady_time requested_at;
    };

    void lend(const codecs::token_message& request);

    ports::datagram_link& m_link;
    const peer_table& m_peers;
    const ports::clock& m_clock;
    logger& m_log;
    std::string m_self;
    release_function m_release;
    std::map<std::string, pending_request> m_pending_requests;
    std::map<std::string, std::int64_t> m_borrowed;
    std::int64_t m_last_number = 0;
};

} // namespace turmeric::drivers
