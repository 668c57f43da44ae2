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

/// Lends prepaid tokens between routers, so that a request that lacks tokens
/// need not wait for the store, which may be slow, unavailable or without free
/// tokens. The lender stops counting the tokens as its own before it sends
/// them, so a lost loan strands tokens but never duplicates them. Used on the
/// control thread only.
class token_exchange
{
public:
    /// Releases up to `requested` tokens on the traffic thread and calls `done`
    /// with the number released.
    using release_function =
        std::function<void(const std::string& account, std::int64_t requested,
                           std::function<void(std::int64_t)> done)>;

    /// `self` is this router's incarnation. Precondition: the link, the peers,
    /// the clock and the logger outlive this object.
    token_exchange(ports::datagram_link& link, const peer_table& peers,
                   const ports::clock& clock, logger& log, std::string self,
                   release_function release);

    /// Requests tokens from the peer with the most free tokens, unless a
    /// request for the account is pending and has not timed out. Precondition:
    /// `tokens` is positive.
    void borrow(const std::string& account, std::int64_t tokens);

    /// Handles a peer's request or loan. Returns true if tokens were borrowed.
    bool handle_message(const codecs::token_message& message);

    /// Returns the tokens borrowed so far, by account.
    [[nodiscard]] const std::map<std::string, std::int64_t>& borrowed() const;

private:
    struct pending_request
    {
        std::int64_t request_number = 0;
        ports::steady_time requested_at;
    };

    /// Releases tokens and sends them to the requesting peer.
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
