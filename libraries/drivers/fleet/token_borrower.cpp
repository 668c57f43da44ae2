#include "libraries/drivers/fleet/token_borrower.hpp"

#include <optional>

namespace turmeric::drivers
{

namespace
{

/// A loan that takes longer than this has been lost.
constexpr std::chrono::milliseconds max_loan_delay{5'000};
/// How long a peer that lent less than requested is asked after all others.
constexpr std::chrono::milliseconds short_period{200};
/// The same for a peer that did not respond.
constexpr std::chrono::milliseconds silent_period{600};

bool is_within(ports::steady_time start, std::chrono::milliseconds period,
               ports::steady_time now)
{
    return now - start < period;
}

} // namespace

token_borrower::token_borrower(ports::datagram_link& link,
                               const peer_table& peers,
                               const ports::clock& clock, logger& log,
                               std::string self)
    : m_link(link)
    , m_peers(peers)
    , m_clock(clock)
    , m_log(log)
    , m_self(std::move(self))
{
}

void token_borrower::borrow(const std::string& account, std::int64_t lacking,
                            const std::string& lender)
{
    expire_requests();
    const std::int64_t tokens = lacking - pending_tokens(account);
    const std::optional<std::string> address = m_peers.address_of(lender);
    if (tokens <= 0 || !address)
    {
        return;
    }
    m_requests[++m_last_number] = {account, lender, tokens,
                                   m_clock.steady_now()};
    m_link.send(*address, codecs::write_token_message(
                              {codecs::token_message_kind::request, m_self,
                               m_last_number, account, tokens}));
}

void token_borrower::expire_requests()
{
    const ports::steady_time now = m_clock.steady_now();
    for (auto& [number, request] : m_requests)
    {
        if (!request.is_timed_out &&
            !is_within(request.requested_at, response_timeout, now))
        {
            request.is_timed_out = true;
            m_silent_since[request.lender] = now;
        }
    }
    std::erase_if(
        m_requests, [now](const auto& entry)
        { return !is_within(entry.second.requested_at, max_loan_delay, now); });
}

std::int64_t token_borrower::pending_tokens(const std::string& account) const
{
    std::int64_t sum = 0;
    for (const auto& [number, request] : m_requests)
    {
        const bool is_pending =
            !request.is_timed_out && request.account == account;
        sum += is_pending ? request.tokens : 0;
    }
    return sum;
}

bool token_borrower::accept_loan(const codecs::token_message& loan)
{
    const auto found = m_requests.find(loan.request_number);
    if (found == m_requests.end() || found->second.account != loan.account ||
        found->second.lender != loan.sender)
    {
        // A duplicate loan is dropped, and so is one that arrives after its
        // request was forgotten. The lender no longer counts its tokens, so
        // they may be stranded but never counted twice.
        return false;
    }
    const bool is_short = loan.tokens < found->second.tokens;
    m_requests.erase(found);
    m_silent_since.erase(loan.sender);
    if (is_short)
    {
        m_short_since[{loan.account, loan.sender}] = m_clock.steady_now();
    }
    m_borrowed[loan.account] += loan.tokens;
    m_log.write(log_level::info, log_event::tokens_lent,
                {{"account", loan.account},
                 {"tokens", loan.tokens},
                 {"lender", loan.sender}});
    return loan.tokens > 0;
}

std::string
token_borrower::select_lender(const std::string& account,
                              const std::vector<std::string>& lenders) const
{
    const ports::steady_time now = m_clock.steady_now();
    for (const std::string& lender : lenders)
    {
        const auto silent = m_silent_since.find(lender);
        const auto lent_less = m_short_since.find({account, lender});
        const bool is_silent = silent != m_silent_since.end() &&
                               is_within(silent->second, silent_period, now);
        const bool is_short = lent_less != m_short_since.end() &&
                              is_within(lent_less->second, short_period, now);
        if (!is_silent && !is_short)
        {
            return lender;
        }
    }
    return "";
}

bool token_borrower::is_any_responsive(
    const std::vector<std::string>& lenders) const
{
    const ports::steady_time now = m_clock.steady_now();
    for (const std::string& lender : lenders)
    {
        const auto silent = m_silent_since.find(lender);
        if (silent == m_silent_since.end() ||
            !is_within(silent->second, silent_period, now))
        {
            return true;
        }
    }
    return false;
}

const std::map<std::string, std::int64_t>& token_borrower::borrowed() const
{
    return m_borrowed;
}

} // namespace turmeric::drivers
