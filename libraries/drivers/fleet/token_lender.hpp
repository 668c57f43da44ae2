#pragma once

#include "libraries/codecs/fleet/token_message.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/datagram_link.hpp"
#include "libraries/ports/timer_queue.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace turmeric::drivers
{

/// A peer's request for a loan, as this router answers it.
struct loan_request
{
    codecs::token_message message;
    std::string peer_address;
    /// Whether the peer holds no tokens of the account itself.
    bool is_borrower = false;
    /// Whether the loan waits a short time for a grant of the store if too few
    /// tokens are free.
    bool may_wait = false;
};

/// Lends prepaid tokens to peers. A lent token no longer counts as this
/// router's before it is sent, so a lost loan strands tokens but never
/// duplicates them. Used on the control thread only.
class token_lender
{
public:
    /// Takes up to `requested` free tokens on the traffic thread, for a
    /// borrower or for another holder, and calls `done` with their number.
    using take_function = std::function<void(
        const std::string& account, std::int64_t requested, bool is_borrower,
        std::function<void(std::int64_t)> done)>;

    /// `self` is this router's incarnation. `on_short` is called when a loan
    /// waits for a grant. Precondition: the link, the clock and the timers
    /// outlive this object.
    token_lender(ports::datagram_link& link, const ports::clock& clock,
                 ports::timer_queue& timers, std::string self,
                 take_function take, std::function<void()> on_short);

    /// Takes the requested tokens and sends them, at once or, if the loan
    /// may wait, when enough are granted or the wait is over.
    void lend(loan_request request);

    /// Completes the loans that wait, after new grants.
    void continue_loans();

    /// Returns the tokens that the waiting loans of an account lack.
    [[nodiscard]] std::int64_t lacking(const std::string& account) const;

    /// Returns the tokens lent so far to peers that hold none of the account
    /// themselves, by account.
    [[nodiscard]] const std::map<std::string, std::int64_t>& lent() const;

private:
    struct waiting_loan
    {
        loan_request request;
        std::int64_t taken = 0;
        bool is_taking = false;
        std::unique_ptr<ports::timer> timer;

        [[nodiscard]] std::int64_t missing() const
        {
            return request.message.tokens - taken;
        }
    };

    using loan_iterator = std::list<waiting_loan>::iterator;

    void take_missing(loan_iterator loan);
    void on_taken(loan_iterator loan, std::int64_t tokens);
    void wait_for_grant(loan_iterator loan);
    void send(loan_iterator loan);

    ports::datagram_link& m_link;
    const ports::clock& m_clock;
    ports::timer_queue& m_timers;
    std::string m_self;
    take_function m_take;
    std::function<void()> m_on_short;
    std::list<waiting_loan> m_loans;
    std::map<std::string, std::int64_t> m_lent;
};

} // namespace turmeric::drivers
