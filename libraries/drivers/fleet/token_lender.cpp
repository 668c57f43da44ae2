#include "libraries/drivers/fleet/token_lender.hpp"

#include <utility>

namespace turmeric::drivers
{

namespace
{

/// How long a loan waits for a grant. Shorter than the time after which the
/// borrower asks another peer.
constexpr std::chrono::milliseconds max_grant_wait{90};

} // namespace

token_lender::token_lender(ports::datagram_link& link,
                           const ports::clock& clock,
                           ports::timer_queue& timers, std::string self,
                           take_function take, std::function<void()> on_short)
    : m_link(link)
    , m_clock(clock)
    , m_timers(timers)
    , m_self(std::move(self))
    , m_take(std::move(take))
    , m_on_short(std::move(on_short))
{
}

void token_lender::lend(loan_request request)
{
    waiting_loan loan;
    loan.request = std::move(request);
    m_loans.push_back(std::move(loan));
    take_missing(std::prev(m_loans.end()));
}

void token_lender::take_missing(loan_iterator loan)
{
    loan->is_taking = true;
    m_take(loan->request.message.account, loan->missing(),
           loan->request.is_borrower,
           [this, loan](std::int64_t tokens) { on_taken(loan, tokens); });
}

void token_lender::on_taken(loan_iterator loan, std::int64_t tokens)
{
    loan->is_taking = false;
    loan->taken += tokens;
    if (loan->missing() <= 0 || !loan->request.may_wait)
    {
        send(loan);
        return;
    }
    wait_for_grant(loan);
}

void token_lender::wait_for_grant(loan_iterator loan)
{
    if (loan->timer != nullptr)
    {
        return;
    }
    loan->timer = m_timers.schedule(m_clock.steady_now() + max_grant_wait,
                                    [this, loan]
                                    {
                                        loan->request.may_wait = false;
                                        if (!loan->is_taking)
                                        {
                                            send(loan);
                                        }
                                    });
    m_on_short();
}

void token_lender::continue_loans()
{
    for (auto loan = m_loans.begin(); loan != m_loans.end();)
    {
        // A loan that is complete is removed from the list.
        const loan_iterator current = loan++;
        if (!current->is_taking)
        {
            take_missing(current);
        }
    }
}

void token_lender::send(loan_iterator loan)
{
    const codecs::token_message& request = loan->request.message;
    if (loan->request.is_borrower)
    {
        m_lent[request.account] += loan->taken;
    }
    m_link.send(loan->request.peer_address,
                codecs::write_token_message({codecs::token_message_kind::loan,
                                             m_self, request.request_number,
                                             request.account, loan->taken}));
    m_loans.erase(loan);
}

std::int64_t token_lender::lacking(const std::string& account) const
{
    std::int64_t sum = 0;
    for (const waiting_loan& loan : m_loans)
    {
        if (loan.timer != nullptr && loan.request.message.account == account)
        {
            sum += loan.missing();
        }
    }
    return sum;
}

const std::map<std::string, std::int64_t>& token_lender::lent() const
{
    return m_lent;
}

} // namespace turmeric::drivers
