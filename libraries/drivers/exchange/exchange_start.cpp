#include "libraries/drivers/exchange/exchange.hpp"
#include "libraries/drivers/exchange/upstream_attempt.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// A request waits at the router for at most this part of its objective;
/// then its caller does better elsewhere or later.
constexpr int objective_parts_in_line = 2;
/// Also a request that comes late into the line gets so much.
constexpr std::chrono::milliseconds least_wait_in_line{50};
constexpr std::chrono::milliseconds longest_wait_for_tokens{400};
constexpr std::chrono::milliseconds tokens_retry_after{300};
/// Long enough for a short cut to end, or for the caller to go elsewhere.
constexpr std::chrono::milliseconds hopeless_retry_after{1'000};
/// Another router may have tokens to spend now, in time for the objective.
constexpr std::chrono::milliseconds paced_retry_after{80};

ports::steady_time deadline_of(const exchange::subject& about)
{
    std::chrono::milliseconds timeout = about.route->timeout;
    if (about.read.timeout)
    {
        timeout = std::min(timeout, *about.read.timeout);
    }
    return about.request.arrived_at + timeout;
}

} // namespace

exchange::exchange(traffic_state& state, subject about)
    : m_state(state)
    , m_subject(std::move(about))
    , m_deadline(deadline_of(m_subject))
    , m_events(m_subject.read.resume_after)
{
}

exchange::~exchange() = default;

void exchange::start()
{
    m_service = pick_service();
    m_state.retries.record_request(m_service, m_state.parts.clock.steady_now());
    hold_tokens();
}

std::int64_t exchange::needed_tokens() const
{
    const bool is_prepaid = m_subject.account != nullptr &&
                            m_subject.account->prepaid_tokens.has_value();
    if (!is_prepaid || !m_subject.read.prompt)
    {
        return 0;
    }
    return m_subject.read.prompt->max_total_tokens();
}

void exchange::hold_tokens()
{
    const std::int64_t tokens = needed_tokens();
    if (tokens == 0)
    {
        seek_place();
        return;
    }
    const std::string& account = m_subject.account->name;
    const bool may_draw =
        m_state.pacer.allows(account, m_state.ledger.balance(account),
                             m_state.parts.clock.steady_now());
    if (may_draw && m_state.ledger.hold(account, tokens))
    {
        m_held = tokens;
        seek_place();
        return;
    }
    if (const std::optional<error> refusal = find_token_refusal(may_draw))
    {
        refuse(*refusal);
        return;
    }
    wait_for_tokens();
}

std::optional<error> exchange::find_token_refusal(bool may_draw) const
{
    const std::string& account = m_subject.account->name;
    if (!may_draw)
    {
        return error{result_code::grant_unavailable, "account",
                     "the store is silent, and this router spreads its "
                     "prepaid tokens over the time until it may answer",
                     outcome::not_run, paced_retry_after};
    }
    if (!m_state.covers(account, needed_tokens()))
    {
        return error{result_code::budget_exhausted, "account",
                     "the rest of the prepaid tokens does not cover the "
                     "request at its largest"};
    }
    if (!m_state.may_get(account, needed_tokens()))
    {
        return error{result_code::grant_unavailable, "account",
                     "this router has no prepaid tokens left, and neither "
                     "the store nor a peer can give any now",
                     outcome::not_run, hopeless_retry_after};
    }
    return std::nullopt;
}

void exchange::wait_for_tokens()
{
    if (m_tokens_deadline)
    {
        // Waits already, and keeps its turn.
        return;
    }
    m_phase = exchange_phase::waiting_for_tokens;
    m_state.waiting_holds[m_subject.account->name].push_back(
        {shared_from_this(), needed_tokens()});
    m_state.ask_for_tokens();
    m_tokens_deadline = std::min(m_deadline, m_state.parts.clock.steady_now() +
                                                 longest_wait_for_tokens);
    schedule(*m_tokens_deadline);
}

bool exchange::retry_hold()
{
    if (m_phase == exchange_phase::waiting_for_tokens)
    {
        hold_tokens();
    }
    return m_phase != exchange_phase::waiting_for_tokens;
}

const std::string& exchange::pick_service() const
{
    const std::vector<domain::service_share>& services =
        m_subject.route->services;
    std::uint64_t total = 0;
    for (const domain::service_share& share : services)
    {
        total += static_cast<std::uint64_t>(share.weight);
    }
    assert(total > 0);
    std::uint64_t drawn = m_state.parts.random.next() % total;
    for (const domain::service_share& share : services)
    {
        const std::uint64_t weight = static_cast<std::uint64_t>(share.weight);
        if (drawn < weight)
        {
            return share.service;
        }
        drawn -= weight;
    }
    return services.back().service;
}

std::int32_t exchange::urgency() const
{
    if (m_subject.account != nullptr && m_subject.account->urgency)
    {
        return *m_subject.account->urgency;
    }
    return m_subject.route->urgency;
}

domain::placement_request exchange::placement() const
{
    domain::placement_request request;
    request.service = m_service;
    request.prompt = m_subject.read.prompt ? &*m_subject.read.prompt : nullptr;
    request.tried = m_tried;
    return request;
}

void exchange::seek_place()
{
    m_phase = exchange_phase::waiting_for_place;
    if (!try_place())
    {
        wait_in_line();
    }
}

bool exchange::try_place()
{
    const domain::upstream_service* service =
        m_subject.routes->find_service(m_service);
    if (service == nullptr)
    {
        fail(result_code::no_upstream, "the route's service is not declared");
        return true;
    }
    const domain::placement_choice choice = m_state.board.choose(
        placement(), *service, m_state.parts.clock.steady_now());
    if (const domain::placement* chosen =
            std::get_if<domain::placement>(&choice))
    {
        send_to(*chosen);
        return true;
    }
    const domain::placement_refusal refusal =
        std::get<domain::placement_refusal>(choice);
    if (refusal == domain::placement_refusal::none_left)
    {
        fail(result_code::no_upstream,
             "all upstreams of the service were tried");
        return true;
    }
    return false;
}

void exchange::wait_in_line()
{
    domain::waiting_request waiting;
    waiting.id = m_subject.number;
    waiting.service = m_service;
    waiting.urgency = urgency();
    waiting.due = m_subject.request.arrived_at + m_subject.route->objective;
    m_state.line.add(waiting);
    schedule(line_deadline());
}

ports::steady_time exchange::line_deadline() const
{
    const ports::steady_time usual =
        m_subject.request.arrived_at +
        m_subject.route->objective / objective_parts_in_line;
    const ports::steady_time least =
        m_state.parts.clock.steady_now() + least_wait_in_line;
    return std::min(m_deadline, std::max(usual, least));
}

void exchange::schedule(ports::steady_time at)
{
    const std::weak_ptr<exchange> weak = weak_from_this();
    m_timer = m_state.parts.timers.schedule(
        at,
        [weak]
        {
            if (const std::shared_ptr<exchange> self = weak.lock())
            {
                self->on_deadline();
            }
        });
}

void exchange::on_deadline()
{
    switch (m_phase)
    {
    case exchange_phase::waiting_for_tokens:
        refuse({result_code::grant_unavailable, "account",
                "no prepaid tokens could be had from the store in time",
                outcome::not_run, tokens_retry_after});
        return;
    case exchange_phase::waiting_for_place:
        fail(result_code::queue_timeout, "no upstream had room in time");
        return;
    case exchange_phase::sent:
    case exchange_phase::relaying:
        if (m_is_answer_started)
        {
            abort_response("deadline");
            return;
        }
        fail(result_code::upstream_timeout,
             "the upstream did not answer before the deadline");
        return;
    case exchange_phase::ended:
        return;
    }
}

} // namespace turmeric::drivers
