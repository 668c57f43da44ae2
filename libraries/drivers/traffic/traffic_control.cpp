#include "libraries/drivers/traffic/traffic_control.hpp"

namespace turmeric::drivers
{

namespace
{

constexpr std::chrono::milliseconds expiry_check_interval{20};

error stopping_error()
{
    return {result_code::router_stopping, "router", "the router is stopping",
            outcome::not_run, std::chrono::seconds(1)};
}

} // namespace

traffic_control::traffic_control(const traffic_limits& limits,
                                 const ports::clock& clock,
                                 ports::random_source& random, logger& log)
    : m_clock(clock)
    , m_log(log)
    , m_selector(limits.selector)
    , m_queue(limits.admission)
    , m_retry(limits.retry, random)
    , m_control(expiry_check_interval, [this] { refuse_expired(); })
{
}

traffic_control::~traffic_control()
{
    m_control.post(
        [this]
        {
            m_is_stopping = true;
            for (auto& [id, waiting] : m_waiters)
            {
                waiting.promise->set_value(stopping_error());
            }
            m_waiters.clear();
        });
    m_control.stop();
}

result<domain::upstream_choice>
traffic_control::admit(domain::admission_ticket ticket,
                       domain::choice_request choice)
{
    admit_promise promise;
    std::future<result<domain::upstream_choice>> admitted =
        promise.get_future();
    m_control.post([this, &ticket, &choice, &promise]
                   { start_admission(std::move(ticket), choice, promise); });
    return admitted.get();
}

void traffic_control::finish(const domain::upstream_choice& choice,
                             domain::call_result outcome)
{
    m_control.post(
        [this, choice, outcome]
        {
            m_selector.finish(choice, outcome, m_clock.steady_now());
            serve_all_lanes();
        });
}

void traffic_control::record_request(const std::string& account,
                                     const std::string& upstream)
{
    m_control.post([this, account, upstream]
                   { m_retry.record_request(account, upstream); });
}

domain::retry_decision
traffic_control::decide(const domain::failed_attempt& attempt)
{
    return m_control.run_and_wait(
        [this, &attempt]
        { return m_retry.decide(attempt, m_clock.steady_now()); });
}

void traffic_control::update_capacity(domain::capacity_plan plan)
{
    m_control.post(
        [this, plan = std::move(plan)]
        {
            m_selector.update(plan);
            serve_all_lanes();
        });
}

void traffic_control::update_load(domain::load_report report)
{
    m_control.post([this, report = std::move(report)]
                   { m_selector.update_load(report); });
}

void traffic_control::mark_leaving(const std::string& upstream)
{
    m_control.post(
        [this, upstream]
        {
            m_log.write(log_level::info, log_event::upstream_leaving,
                        {{"upstream", upstream}});
            m_selector.mark_leaving(upstream);
        });
}

domain::epoch_number traffic_control::acknowledge()
{
    return m_control.run_and_wait([this] { return m_selector.acknowledge(); });
}

traffic_counts traffic_control::counts()
{
    return m_control.run_and_wait(
        [this]
        {
            return traffic_counts{m_queue.size(), m_queue.bytes(),
                                  m_selector.total_share()};
        });
}

void traffic_control::start_admission(domain::admission_ticket ticket,
                                      const domain::choice_request& choice,
                                      admit_promise& promise)
{
    if (m_is_stopping)
    {
        promise.set_value(stopping_error());
        return;
    }
    ports::steady_time now = m_clock.steady_now();
    ticket.id = m_next_ticket++;
    result<domain::upstream_choice> chosen = choose(choice, now);
    // A router that has just joined gets its shares within seconds, so its
    // requests wait in the queue instead of being refused.
    if (!chosen && !m_selector.is_served(choice.version))
    {
        promise.set_value(chosen);
        return;
    }
    result<domain::admission> admitted =
        m_queue.offer(ticket, chosen.has_value(), now);
    if (admitted && admitted.value() == domain::admission::admitted)
    {
        promise.set_value(chosen);
        return;
    }
    if (chosen)
    {
        // Earlier requests of the lane wait, and one of them gets the slot.
        m_selector.finish(chosen.value(), domain::call_result::cancelled, now);
    }
    if (!admitted)
    {
        promise.set_value(admitted.failure());
        return;
    }
    m_waiters.emplace(ticket.id, waiter{choice, &promise});
    if (chosen)
    {
        serve_lane(ticket.lane);
    }
}

result<domain::upstream_choice>
traffic_control::choose(const domain::choice_request& choice,
                        ports::steady_time now)
{
    result<domain::upstream_choice> chosen = m_selector.choose(choice, now);
    bool may_relax = !chosen && !choice.excluded.empty() &&
                     chosen.failure().code == result_code::no_upstream;
    if (!may_relax)
    {
        return chosen;
    }
    domain::choice_request relaxed = choice;
    relaxed.excluded.clear();
    return m_selector.choose(relaxed, now);
}

void traffic_control::serve_lane(const std::string& lane)
{
    ports::steady_time now = m_clock.steady_now();
    while (true)
    {
        domain::choice_request any;
        any.version = lane;
        result<domain::upstream_choice> slot = m_selector.choose(any, now);
        if (!slot)
        {
            return;
        }
        // Reserving a slot only shows that one is free. The next request in
        // the queue reserves one by its own prefix and exclusions.
        m_selector.finish(slot.value(), domain::call_result::cancelled, now);
        std::optional<domain::admission_ticket> next = m_queue.next(lane, now);
        if (!next)
        {
            return;
        }
        auto found = m_waiters.find(next->id);
        result<domain::upstream_choice> chosen =
            choose(found->second.choice, now);
        found->second.promise->set_value(chosen);
        m_waiters.erase(found);
    }
}

void traffic_control::serve_all_lanes()
{
    if (m_queue.size() == 0)
    {
        return;
    }
    for (const std::string& lane : m_queue.lanes())
    {
        serve_lane(lane);
    }
}

void traffic_control::refuse_expired()
{
    for (const domain::refused_ticket& refused :
         m_queue.expire(m_clock.steady_now()))
    {
        auto found = m_waiters.find(refused.ticket.id);
        found->second.promise->set_value(refused.failure);
        m_waiters.erase(found);
    }
    serve_all_lanes();
}

} // namespace turmeric::drivers
