#include "libraries/drivers/exchange/upstream_attempt.hpp"

#include <string>

namespace turmeric::drivers
{

void upstream_attempt::record_notices(const ports::response_head& head)
{
    record_leaving(head);
    record_pause(head);
    record_brittle(head);
}

void upstream_attempt::reject_notice(const std::string& notice,
                                     const error& failure)
{
    const domain::upstream_entry& upstream = m_chosen_placement.upstream;
    m_state.dependencies.metrics.notices
        .with_labels({upstream.service, notice, "rejected"})
        .add();
    m_state.dependencies.log.write(log_level::warning,
                                   log_event::upstream_notice_rejected,
                                   {{"upstream", upstream.id},
                                    {"notice", notice},
                                    {"field", failure.field},
                                    {"reason", failure.detail}});
}

void upstream_attempt::record_leaving(const ports::response_head& head)
{
    const std::string notice = "leaving";
    const result<bool> leaving =
        m_state.dependencies.dialect.read_leaving(head);
    if (!leaving)
    {
        reject_notice(notice, leaving.failure());
        return;
    }
    if (!leaving.value())
    {
        return;
    }
    const domain::upstream_entry& upstream = m_chosen_placement.upstream;
    m_state.dependencies.metrics.notices
        .with_labels({upstream.service, notice, "read"})
        .add();
    if (m_state.notices.record_leaving(domain::incarnation_of(upstream),
                                       m_state.dependencies.clock.steady_now()))
    {
        m_state.dependencies.log.write(
            log_level::info, log_event::upstream_notice_read,
            {{"upstream", upstream.id}, {"notice", notice}});
        close_connections_if_leaving();
    }
}

void upstream_attempt::record_pause(const ports::response_head& head)
{
    const std::string notice = "pause";
    const result<std::optional<std::chrono::milliseconds>> pause =
        m_state.dependencies.dialect.read_pause(head);
    if (!pause)
    {
        reject_notice(notice, pause.failure());
        return;
    }
    if (!pause.value())
    {
        return;
    }
    const domain::upstream_entry& upstream = m_chosen_placement.upstream;
    m_state.dependencies.metrics.notices
        .with_labels({upstream.service, notice, "read"})
        .add();
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    if (m_state.notices.record_pause(domain::incarnation_of(upstream),
                                     now + *pause.value(), now))
    {
        m_state.dependencies.log.write(
            log_level::info, log_event::upstream_notice_read,
            {{"upstream", upstream.id},
             {"notice", notice},
             {"pause_ms", static_cast<std::int64_t>(pause.value()->count())}});
        m_state.schedule_pause_end();
    }
}

void upstream_attempt::record_brittle(const ports::response_head& head)
{
    const std::string notice = "brittle";
    const result<std::optional<std::int64_t>> max_rejections =
        m_state.dependencies.dialect.read_brittle(head);
    if (!max_rejections)
    {
        reject_notice(notice, max_rejections.failure());
        return;
    }
    const domain::upstream_entry& upstream = m_chosen_placement.upstream;
    const std::uint64_t incarnation = domain::incarnation_of(upstream);
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    if (max_rejections.value())
    {
        m_state.dependencies.metrics.notices
            .with_labels({upstream.service, notice, "read"})
            .add();
    }
    if (m_state.brittle.record_response(incarnation, max_rejections.value(),
                                        m_sent_at, now))
    {
        constexpr std::int64_t sound = -1;
        m_state.dependencies.log.write(
            log_level::info, log_event::upstream_notice_read,
            {{"upstream", upstream.id},
             {"notice", notice},
             {"max_rejections", max_rejections.value().value_or(sound)}});
    }
    const bool is_rejection =
        m_state.dependencies.dialect.classify_response(head).is_not_executed;
    if (is_rejection && m_state.brittle.record_rejection(incarnation, now))
    {
        m_state.schedule_pause_end();
        if (m_state.rejection_handler)
        {
            m_state.rejection_handler();
        }
    }
}

void upstream_attempt::close_connections_if_leaving()
{
    const domain::upstream_entry& upstream = m_chosen_placement.upstream;
    if (m_state.notices.is_leaving(domain::incarnation_of(upstream)))
    {
        m_state.dependencies.transport.close_idle_connections(upstream.address);
    }
}

} // namespace turmeric::drivers
