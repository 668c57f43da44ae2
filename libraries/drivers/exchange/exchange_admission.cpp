#include "libraries/drivers/exchange/exchange.hpp"
#include "libraries/drivers/exchange/peer_attempt.hpp"
#include "libraries/drivers/exchange/upstream_attempt.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// A request waits for a slot for at most its objective divided by this number,
/// so that its caller still has time to try another router or to retry later.
constexpr int queue_time_divisor = 2;
/// Minimum wait for a slot, also for a request that is enqueued when its usual
/// time limit has nearly passed.
constexpr std::chrono::milliseconds min_queue_time{50};
constexpr std::chrono::milliseconds max_token_wait{400};
constexpr std::chrono::milliseconds tokens_retry_after{300};
/// Long enough for a short network partition to end, or for the caller to try
/// another router.
constexpr std::chrono::milliseconds no_tokens_retry_after{1'000};
/// Short, because another router may have tokens available now, in time for the
/// objective.
constexpr std::chrono::milliseconds pacing_retry_after{80};

ports::steady_time deadline_of(const exchange::request_context& context)
{
    std::chrono::milliseconds timeout = context.route->timeout;
    if (context.parsed_request.timeout)
    {
        timeout = std::min(timeout, *context.parsed_request.timeout);
    }
    return context.request.arrived_at + timeout;
}

std::shared_ptr<const ports::request_body>
take_body(ports::received_request& request)
{
    return std::make_shared<const ports::request_body>(ports::request_body{
        std::move(request.body), std::move(request.memory)});
}

} // namespace

exchange::exchange(traffic_state& state, request_context context)
    : m_state(state)
    , m_context(std::move(context))
    , m_memory(state.dependencies.memory, memory_kind::requests)
    , m_body(take_body(m_context.request))
    , m_deadline(deadline_of(m_context))
    , m_events(m_context.parsed_request.resume_after)
{
    m_memory.resize(m_state.settings.exchange_bytes);
}

exchange::~exchange() = default;

void exchange::start()
{
    m_service = pick_service();
    if (!m_context.parsed_request.forwarded_attempts)
    {
        // The router that forwarded the request has counted it.
        m_state.retry_limiter.record_request(
            m_service, m_state.dependencies.clock.steady_now());
    }
    if (forward_if_cut_off())
    {
        return;
    }
    if (m_context.parsed_request.prompt)
    {
        m_suspect_ids =
            domain::list_shared_parts(*m_context.parsed_request.prompt);
    }
    m_is_trial = m_state.crashing_parts.judge(
                     suspect_ids(), m_state.dependencies.clock.steady_now()) ==
                 domain::crash_verdict::trial;
    if (!refuse_blocked_request())
    {
        hold_tokens();
    }
}

bool exchange::refuse_blocked_request()
{
    const std::optional<domain::suspect_id> blocked =
        m_is_trial ? std::nullopt
                   : m_state.crashing_parts.find_blocked(suspect_ids());
    if (!blocked)
    {
        return false;
    }
    error failure =
        blocked->kind == domain::suspect_kind::request
            ? error{result_code::request_blocked, "body",
                    "upstreams ended as they began responses to this request"}
            : error{result_code::prompt_blocked, "prompt",
                    "upstreams ended as they began responses to prompts with "
                    "one of this prompt's parts"};
    if (m_is_response_started)
    {
        abort_response(failure.detail);
        return true;
    }
    // No Retry-After: a retry of the same request gets the same response.
    failure.effect =
        m_may_have_run ? outcome::outcome_unknown : outcome::not_run;
    refuse(std::move(failure));
    return true;
}

std::int64_t exchange::needed_tokens() const
{
    const bool is_prepaid = m_context.account != nullptr &&
                            m_context.account->prepaid_tokens.has_value();
    if (!is_prepaid || !m_context.parsed_request.prompt)
    {
        return 0;
    }
    return m_context.parsed_request.prompt->max_total_tokens();
}

void exchange::hold_tokens()
{
    const std::int64_t tokens = needed_tokens();
    if (tokens == 0)
    {
        place_or_wait();
        return;
    }
    const std::string& account = m_context.account->name;
    // The holders of the account spread its tokens over an outage; what they
    // have lent is meant for the requests that wait here.
    const bool may_hold =
        !m_state.is_holder(account) ||
        m_state.pacer.allows(account, m_state.ledger.balance(account),
                             m_state.dependencies.clock.steady_now());
    if (may_hold && m_state.ledger.hold(account, tokens))
    {
        m_held_tokens = tokens;
        place_or_wait();
        return;
    }
    if (const std::optional<error> refusal = find_token_refusal(may_hold))
    {
        refuse(*refusal);
        return;
    }
    wait_for_tokens();
}

std::optional<error> exchange::find_token_refusal(bool may_hold) const
{
    const std::string& account = m_context.account->name;
    if (!may_hold)
    {
        return error{result_code::grant_unavailable, "account",
                     "the store is unavailable, and this router spreads "
                     "its prepaid tokens over the expected outage",
                     outcome::not_run, pacing_retry_after};
    }
    if (!m_state.prepaid_total_covers(account, needed_tokens()))
    {
        return error{result_code::budget_exhausted, "account",
                     "the remaining prepaid tokens do not cover the "
                     "maximum token count of the request"};
    }
    if (!m_state.may_obtain_tokens(account, needed_tokens()))
    {
        return error{result_code::grant_unavailable, "account",
                     "this router has no prepaid tokens left, and neither "
                     "the store nor a peer can provide any now",
                     outcome::not_run, no_tokens_retry_after};
    }
    return std::nullopt;
}

void exchange::wait_for_tokens()
{
    if (m_token_wait_deadline)
    {
        // The request waits already; it keeps its position and its time limit.
        return;
    }
    m_phase = exchange_phase::waiting_for_tokens;
    m_state.pending_holds[m_context.account->name].push_back(
        {shared_from_this(), needed_tokens()});
    m_state.request_tokens();
    m_token_wait_deadline = std::min(
        m_deadline, m_state.dependencies.clock.steady_now() + max_token_wait);
    schedule(*m_token_wait_deadline);
}

bool exchange::retry_hold()
{
    if (m_phase == exchange_phase::waiting_for_tokens && !forward_if_cut_off())
    {
        hold_tokens();
    }
    return m_phase != exchange_phase::waiting_for_tokens;
}

void exchange::refuse_for_tokens()
{
    if (m_phase == exchange_phase::waiting_for_tokens)
    {
        refuse({result_code::grant_unavailable, "account",
                "the routers that hold the account's tokens lend too few now",
                outcome::not_run, tokens_retry_after});
    }
}

const std::string& exchange::pick_service() const
{
    const std::vector<domain::service_share>& services =
        m_context.route->services;
    std::uint64_t total = 0;
    for (const domain::service_share& share : services)
    {
        total += static_cast<std::uint64_t>(share.weight);
    }
    assert(total > 0);
    std::uint64_t drawn = m_state.dependencies.random.next() % total;
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
    if (m_context.account != nullptr && m_context.account->urgency)
    {
        return *m_context.account->urgency;
    }
    return m_context.route->urgency;
}

domain::placement_request exchange::make_placement_request() const
{
    domain::placement_request request;
    request.service = m_service;
    request.prompt = m_context.parsed_request.prompt
                         ? &*m_context.parsed_request.prompt
                         : nullptr;
    request.tried = m_tried_upstreams;
    request.limits = &m_state.rate_limits;
    request.notices = &m_state.notices;
    request.brittle = &m_state.brittle;
    request.cold = &m_state.cold;
    request.has_queue = m_state.queue.size_of(m_service) > 0;
    request.versions = m_state.versions.regular_choice(m_service);
    return request;
}

domain::placement_choice
exchange::choose_upstream(const domain::upstream_service& service) const
{
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    domain::placement_request request = make_placement_request();
    const std::optional<std::string> trial =
        m_tried_upstreams.empty()
            ? m_state.versions.trial_version(m_service, m_context.route->name)
            : std::nullopt;
    if (trial)
    {
        domain::placement_request trial_request = request;
        trial_request.versions = {*trial, ""};
        domain::placement_choice choice =
            m_state.load_balancer.choose(trial_request, service, now);
        if (std::holds_alternative<domain::placement>(choice))
        {
            return choice;
        }
    }
    return m_state.load_balancer.choose(request, service, now);
}

void exchange::place_or_wait()
{
    m_phase = exchange_phase::waiting_for_place;
    if (!try_place())
    {
        wait_for_place();
    }
}

bool exchange::is_limited_beyond_deadline() const
{
    const std::optional<double> rate = m_state.load_balancer.limited_rate(
        make_placement_request(), m_state.dependencies.clock.steady_now());
    const std::chrono::duration<double> time_left =
        queue_deadline() - m_state.dependencies.clock.steady_now();
    const double position =
        static_cast<double>(m_state.queue.size_of(m_service) + 1);
    return rate && *rate * time_left.count() < position;
}

bool exchange::is_paused_beyond_deadline() const
{
    const std::optional<ports::steady_time> end =
        m_state.load_balancer.earliest_pause_end(
            make_placement_request(), m_state.dependencies.clock.steady_now());
    return end && *end >= queue_deadline();
}

bool exchange::try_place()
{
    if (refuse_blocked_request() || forward_if_cut_off())
    {
        return true;
    }
    const domain::upstream_service* service =
        m_context.routes->find_service(m_service);
    if (service == nullptr)
    {
        fail(result_code::no_upstream, "the route's service is not declared");
        return true;
    }
    const domain::placement_choice choice = choose_upstream(*service);
    if (const domain::placement* chosen_placement =
            std::get_if<domain::placement>(&choice))
    {
        start_attempt(*chosen_placement);
        return true;
    }
    const domain::placement_refusal refusal =
        std::get<domain::placement_refusal>(choice);
    if (refusal == domain::placement_refusal::none_left)
    {
        if (m_failed_connects > 0 && try_forward("not_connected"))
        {
            return true;
        }
        fail(result_code::no_upstream,
             "all upstreams of the service were tried");
        return true;
    }
    if (is_paused_beyond_deadline())
    {
        fail(result_code::upstream_overloaded,
             "all upstreams want no request for longer than this one can wait");
        return true;
    }
    return false;
}

void exchange::wait_for_place()
{
    if (is_limited_beyond_deadline())
    {
        fail(result_code::upstream_overloaded,
             "the limits that all upstreams have named leave no room in time");
        return;
    }
    domain::waiting_request waiting;
    waiting.id = m_context.exchange_id;
    waiting.service = m_service;
    waiting.urgency = urgency();
    waiting.due = m_context.request.arrived_at + m_context.route->objective;
    m_state.queue.add(waiting);
    schedule(queue_deadline());
}

ports::steady_time exchange::queue_deadline() const
{
    const ports::steady_time regular =
        m_context.request.arrived_at +
        m_context.route->objective / queue_time_divisor;
    const ports::steady_time earliest =
        m_state.dependencies.clock.steady_now() + min_queue_time;
    return std::min(m_deadline, std::max(regular, earliest));
}

void exchange::schedule(ports::steady_time at)
{
    const std::weak_ptr<exchange> weak = weak_from_this();
    m_timer = m_state.dependencies.timers.schedule(
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
                "too few prepaid tokens were granted or lent in time",
                outcome::not_run, tokens_retry_after});
        return;
    case exchange_phase::waiting_for_place:
        fail(result_code::queue_timeout, "no upstream had a free slot in time");
        return;
    case exchange_phase::sent:
    case exchange_phase::relaying:
        if (m_attempt != nullptr)
        {
            m_attempt->record_timeout();
        }
        if (m_is_response_started)
        {
            abort_response("deadline");
            return;
        }
        fail(result_code::upstream_timeout,
             "the upstream did not complete its response before the deadline");
        return;
    case exchange_phase::ended:
        return;
    }
}

} // namespace turmeric::drivers
