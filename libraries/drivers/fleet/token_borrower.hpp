#pragma once

#include "libraries/codecs/fleet/token_message.hpp"
#include "libraries/core/logger.hpp"
#include "libraries/drivers/fleet/peer_table.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/datagram_link.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace turmeric::drivers
{

/// Borrows prepaid tokens from peers, so that a request that lacks tokens need
/// not wait for the store, which may be slow, unavailable or without free
/// tokens. Each loan is accepted once, by the number of its request. Used on
/// the control thread only.
class token_borrower
{
public:
    /// A request without a loan after this time counts as lost. A loan that
    /// arrives later is still accepted.
    static constexpr std::chrono::milliseconds response_timeout{150};

    /// `self` is this router's incarnation. Precondition: the link, the peers,
    /// the clock and the logger outlive this object.
    token_borrower(ports::datagram_link& link, const peer_table& peers,
                   const ports::clock& clock, logger& log, std::string self);

    /// Requests from a peer what an account lacks beyond the requests that are
    /// pending. Does nothing if the peer is not registered.
    void borrow(const std::string& account, std::int64_t lacking,
                const std::string& lender);

    /// Accepts a loan unless it was accepted before. Returns true if it brings
    /// tokens.
    bool accept_loan(const codecs::token_message& loan);

    /// Returns the first of `lenders` that has not recently failed to lend what
    /// was requested of the account; the empty text if there is none.
    [[nodiscard]] std::string
    select_lender(const std::string& account,
                  const std::vector<std::string>& lenders) const;

    /// Returns whether any of `lenders` responds to requests, as far as known.
    [[nodiscard]] bool
    is_any_responsive(const std::vector<std::string>& lenders) const;

    /// Returns the tokens borrowed so far, by account.
    [[nodiscard]] const std::map<std::string, std::int64_t>& borrowed() const;

private:
    struct pending_request
    {
        std::string account;
        std::string lender;
        std::int64_t tokens = 0;
        ports::steady_time requested_at;
        bool is_timed_out = false;
    };

    /// Marks the requests that have timed out and forgets those whose loan can
    /// no longer arrive.
    void expire_requests();
    [[nodiscard]] std::int64_t pending_tokens(const std::string& account) const;

    ports::datagram_link& m_link;
    const peer_table& m_peers;
    const ports::clock& m_clock;
    logger& m_log;
    std::string m_self;
    /// By request number.
    std::map<std::int64_t, pending_request> m_requests;
    std::map<std::string, std::int64_t> m_borrowed;
    /// When a peer last lent less than requested, by account and incarnation.
    std::map<std::pair<std::string, std::string>, ports::steady_time>
        m_short_since;
    /// When a request to a peer last timed out, by incarnation.
    std::map<std::string, ports::steady_time> m_silent_since;
    std::int64_t m_last_number = 0;
};

} // namespace turmeric::drivers
