#include "libraries/drivers/fleet/token_exchange.hpp"

#include <utility>

namespace turmeric::drivers
{

namespace
{

/// A request without a loan after this time counts as lost.
constexpr std::chrono::milliseconds response_timeout{150};

} // namespace

token_exchange::token_exchange(ports::datagram_link& link,
                               const peer_table& peers,
                               const ports::clock& clock, logger& log,
                               std::string self, release_function release)
    : m_link(link)
    , m_peers(peers)
    , m_clock(clock)
    , m_log(log)
    , m_self(std::move(self))
    , m_release(std::move(release))
{
}

void token_exchange::borrow(const std::string& account, std::int64_t tokens)
{
    const ports::steady_time now = m_clock.steady_now();
    const auto pending = m_pending_requests.find(account);
    if (pending != m_pending_requests.end() &&
        now - pending->second.requested_at < response_timeout)
    {
        return;
    }
    const std::optional<std::string> address =
        m_peers.find_lender(account, now);
    if (!address)
    {
        return;
    }
    m_pending_requests[account] = {++m_last_number, now};
    m_link.send(*address, codecs::write_token_message(
                              {codecs::token_message_kind::request, m_self,
                               m_last_number, account, tokens}));
}

bool token_exchange::handle_message(const codecs::token_message& message)
{
    if (message.kind == codecs::token_message_kind::request)
    {
        lend(message);
        return false;
    }
    const auto pending = m_pending_requests.find(message.account);
    if (pending == m_pending_requests.end() ||
        pending->second.request_number != message.request_number)
    {
        // A late or duplicate loan is dropped. The lender no longer counts
        // its tokens, so they may be stranded but never counted twice.
        return false;
    }
    m_pending_requests.erase(pending);
    m_borrowed[message.account] += message.tokens;
    m_log.write(log_level::info, log_event::tokens_lent,
                {{"account", message.account},
                 {"tokens", message.tokens},
                 {"lender", message.sender}});
    return message.tokens > 0;
}

void token_exchange::lend(const codecs::token_message& request)
{
    const std::optional<std::string> address =
        m_peers.address_of(request.sender);
    if (!address)
    {
        return;
    }
    m_release(request.account, request.tokens,
              [this, request, address = *address](std::int64_t released)
              {
                  m_link.send(address, codecs::write_token_message(
                                           {codecs::token_message_kind::loan,
                                            m_self, request.request_number,
                                            request.account, released}));
              });
}

const std::map<std::string, std::int64_t>& token_exchange::borrowed() const
{
    return m_borrowed;
}

} // namespace turmeric::drivers
