#include "libraries/drivers/requests/request_runner.hpp"

#include "libraries/drivers/requests/engine_exchange.hpp"
#include "libraries/drivers/requests/service_exchange.hpp"

#include <algorithm>
#include <memory>
#include <thread>

namespace turmeric::drivers
{

namespace
{

/// How one attempt at an upstream ended.
enum class attempt_end : std::uint8_t
{
    whole,
    failed,
    /// The caller is gone.
    cancelled,
    /// The reader is slow; the upstream was freed.
    parked,
};

std::unique_ptr<upstream_exchange> make_exchange(const request_context& request)
{
    if (request.route.kind == domain::route_kind::engine)
    {
        return std::make_unique<engine_exchange>(request);
    }
    return std::make_unique<service_exchange>(request);
}

domain::call_result call_result_of(attempt_end end, const error& failure)
{
    if (end == attempt_end::whole)
    {
        return domain::call_result::succeeded;
    }
    if (end != attempt_end::failed)
    {
        return domain::call_result::cancelled;
    }
    return failure.code == result_code::upstream_overloaded
               ? domain::call_result::overloaded
               : domain::call_result::failed;
}

} // namespace

/// The state of one run; used by one thread.
class request_runner::one_run
{
public:
    one_run(const runner_parts& parts, const runner_patience& patience,
            const request_context& request, answer_record& record)
        : m_parts(parts)
        , m_patience(patience)
        , m_request(request)
        , m_record(record)
        , m_exchange(make_exchange(request))
    {
    }

    bool run()
    {
        result<ledger_hold> hold = m_parts.ledger.acquire(m_request);
        if (!hold)
        {
            return end_with(hold.failure());
        }
        m_hold = hold.value();
        while (true)
        {
            std::optional<bool> is_kept = try_once();
            if (is_kept)
            {
                return *is_kept;
            }
        }
    }

private:
    /// Makes one attempt; returns whether the record is kept when the run is
    /// over, or nothing to go on.
    std::optional<bool> try_once()
    {
        std::string version =
            m_parts.versions.pick(m_request.route.name, m_request.request_id);
        result<domain::upstream_choice> choice = admit(version);
        if (!choice)
        {
            return give_up(with_effect(choice.failure()));
        }
        status claimed = claim_once();
        if (!claimed)
        {
            m_parts.traffic.finish(choice.value(),
                                   domain::call_result::cancelled);
            return give_up(claimed.failure());
        }
        m_summary.version = version;
        m_summary.upstream = choice.value().upstream;
        ++m_summary.attempts;
        attempt_end end = call(choice.value());
        m_parts.traffic.finish(choice.value(), call_result_of(end, m_failure));
        observe(version, end);
        switch (end)
        {
        case attempt_end::whole:
            return settle();
        case attempt_end::cancelled:
            return settle_partly();
        case attempt_end::parked:
            return wait_for_reader();
        case attempt_end::failed:
            break;
        }
        return decide(choice.value().upstream);
    }

    result<domain::upstream_choice> admit(const std::string& version)
    {
        domain::admission_ticket ticket;
        ticket.account = m_request.account.name;
        ticket.weight = m_request.account.weight;
        ticket.priority = m_request.account.priority;
        ticket.lane = version;
        ticket.cost = std::max<domain::tokens>(m_request.upper_bound, 1);
        ticket.bytes = m_request.body.size();
        ticket.deadline = m_request.deadline;
        domain::choice_request choice;
        choice.route = m_request.route.name;
        choice.version = version;
        choice.data_centre = m_parts.data_centre;
        choice.excluded = m_excluded;
        if (m_request.chat)
        {
            choice.prefix = m_request.chat->prefix_digest;
        }
        return m_parts.traffic.admit(ticket, choice);
    }

    status claim_once()
    {
        if (m_request.is_idempotent || m_is_claimed)
        {
            return success();
        }
        status claimed = m_parts.ledger.claim(m_request);
        m_is_claimed = claimed.has_value();
        return claimed;
    }

    attempt_end call(const domain::upstream_choice& choice)
    {
        m_end = attempt_end::whole;
        m_dispatched = m_parts.clock.steady_now();
        m_last_piece.reset();
        m_summary.timing = domain::request_observation();
        ports::upstream_request request =
            m_exchange->start_attempt(m_summary.version);
        if (m_summary.attempts == 1)
        {
            m_parts.traffic.record_request(m_request.account.name,
                                           choice.upstream);
        }
        ports::upstream_response_sink sink;
        sink.on_head = [this](const ports::upstream_response_head& head)
        { return take(m_exchange->accept_head(head)); };
        sink.on_body = [this](std::string_view bytes)
        { return take(m_exchange->accept(bytes)); };
        result<ports::upstream_completion> ended =
            m_parts.upstreams.send(choice.address, request, sink);
        if (m_end != attempt_end::whole)
        {
            return m_end;
        }
        if (!ended)
        {
            return fail_attempt(ended.failure());
        }
        take(m_exchange->finish_attempt());
        return m_end;
    }

    attempt_end fail_attempt(const error& failure)
    {
        m_failure = failure;
        m_may_have_run =
            m_may_have_run || failure.effect == outcome::outcome_unknown;
        m_end = attempt_end::failed;
        return m_end;
    }

    bool take(const status& accepted)
    {
        if (!accepted)
        {
            fail_attempt(accepted.failure());
            return false;
        }
        m_may_have_run = true;
        return true;
    }

    bool take(const result<std::vector<std::string>>& pieces)
    {
        if (!pieces)
        {
            fail_attempt(pieces.failure());
            return false;
        }
        for (const std::string& piece : pieces.value())
        {
            m_unwritten.push_back(piece);
        }
        return write_pieces() && !is_caller_gone();
    }

    bool is_caller_gone()
    {
        if (m_record.is_cancelled())
        {
            m_end = attempt_end::cancelled;
            return true;
        }
        return false;
    }

    /// Hands the pieces to the reader; a piece that does not fit stays here,
    /// so that parking loses nothing.
    bool write_pieces()
    {
        while (!m_unwritten.empty())
        {
            note_piece();
            if (!m_record.append(m_unwritten.front(), m_patience.park_after))
            {
                m_end = m_record.is_cancelled() ? attempt_end::cancelled
                                                : attempt_end::parked;
                return false;
            }
            m_unwritten.erase(m_unwritten.begin());
        }
        return true;
    }

    void note_piece()
    {
        ports::steady_time now = m_parts.clock.steady_now();
        if (!m_has_head)
        {
            m_has_head = true;
            answer_head head = m_exchange->head();
            head.version = m_summary.version;
            head.upstream = m_summary.upstream;
            m_record.set_head(std::move(head));
            m_first_piece = now - m_request.arrived;
        }
        using std::chrono::microseconds;
        if (m_last_piece)
        {
            microseconds gap =
                std::chrono::duration_cast<microseconds>(now - *m_last_piece);
            m_summary.timing.worst_gap =
                std::max(m_summary.timing.worst_gap.value_or(gap), gap);
        }
        else
        {
            m_summary.timing.first_token =
                std::chrono::duration_cast<microseconds>(now - m_dispatched);
        }
        m_last_piece = now;
    }

    void observe(const std::string& version, attempt_end end)
    {
        bool says_nothing =
            end == attempt_end::cancelled || end == attempt_end::parked ||
            (end == attempt_end::failed &&
             m_failure.code == result_code::upstream_overloaded);
        if (!says_nothing)
        {
            m_summary.timing.is_failure = end == attempt_end::failed;
            m_parts.versions.record(m_request.route.name, version,
                                    m_summary.timing);
        }
    }

    std::optional<bool> decide(const std::string& upstream)
    {
        domain::failed_attempt failed;
        failed.account = m_request.account.name;
        failed.upstream = upstream;
        failed.attempts = m_summary.attempts;
        failed.is_idempotent = m_request.is_idempotent;
        failed.can_resume = m_exchange->can_resume();
        failed.delivered = m_exchange->delivered();
        failed.failure = m_failure;
        failed.deadline = m_request.deadline;
        domain::retry_decision decision = m_parts.traffic.decide(failed);
        if (decision.action == domain::retry_action::give_up)
        {
            return give_up(with_effect(decision.failure.value_or(m_failure)));
        }
        m_excluded.push_back(upstream);
        m_parts.observer.on_retry(m_request, m_failure, decision.offset);
        std::this_thread::sleep_for(decision.delay);
        return std::nullopt;
    }

    std::optional<bool> wait_for_reader()
    {
        m_parts.observer.on_park(m_request);
        bool is_back = m_record.wait_for_reader(m_patience.longest_park);
        if (m_record.is_cancelled())
        {
            return settle_partly();
        }
        if (!is_back)
        {
            return give_up(error{result_code::slow_reader_limit, "connection",
                                 "the caller did not read its answer",
                                 outcome::outcome_unknown});
        }
        write_pieces();
        return std::nullopt;
    }

    std::optional<bool> settle()
    {
        answer_end end = m_exchange->bill();
        result<domain::tokens> billed =
            m_parts.ledger.settle(m_hold, end.billed);
        if (!billed)
        {
            return end_with(with_effect(billed.failure()));
        }
        end.billed = billed.value();
        m_summary.billed = end.billed;
        m_summary.delivered = end.completion_tokens;
        report();
        m_record.finish(std::move(end));
        return true;
    }

    /// Bills what a caller got that has gone; the record ends as cancelled.
    std::optional<bool> settle_partly()
    {
        answer_end end = m_exchange->bill();
        error gone{result_code::caller_gone, "connection",
                   "the caller closed before the answer was whole",
                   outcome::outcome_unknown};
        if (m_exchange->delivered() == 0)
        {
            m_parts.ledger.release(m_hold);
            return end_with(gone);
        }
        result<domain::tokens> billed =
            m_parts.ledger.settle(m_hold, end.billed);
        m_summary.billed = billed ? billed.value() : 0;
        m_summary.delivered = end.completion_tokens;
        return end_with(gone);
    }

    bool give_up(const error& failure)
    {
        m_parts.ledger.release(m_hold);
        return end_with(failure);
    }

    bool end_with(const error& failure)
    {
        m_summary.failure = failure;
        report();
        m_record.fail(failure);
        // A call that may run at most once must not run anew when repeated.
        return !m_request.is_idempotent &&
               failure.effect == outcome::outcome_unknown;
    }

    void report()
    {
        // The caller's wait counts from its arrival, over all attempts.
        if (m_has_head)
        {
            m_summary.timing.first_token =
                std::chrono::duration_cast<std::chrono::microseconds>(
                    m_first_piece);
        }
        m_parts.observer.on_end(m_request, m_summary);
    }

    [[nodiscard]] error with_effect(error failure) const
    {
        if (m_may_have_run)
        {
            failure.effect = outcome::outcome_unknown;
        }
        return failure;
    }

    const runner_parts& m_parts;
    const runner_patience& m_patience;
    const request_context& m_request;
    answer_record& m_record;
    std::unique_ptr<upstream_exchange> m_exchange;
    ledger_hold m_hold = 0;
    bool m_is_claimed = false;
    bool m_may_have_run = false;
    bool m_has_head = false;
    attempt_end m_end = attempt_end::whole;
    error m_failure{result_code::upstream_failed, "", ""};
    std::vector<std::string> m_unwritten;
    std::vector<std::string> m_excluded;
    ports::steady_time m_dispatched;
    std::optional<ports::steady_time> m_last_piece;
    ports::steady_time::duration m_first_piece{};
    request_summary m_summary;
};

request_runner::request_runner(runner_parts parts, runner_patience patience)
    : m_parts(std::move(parts))
    , m_patience(patience)
{
}

bool request_runner::run(const request_context& request, answer_record& record)
{
    return one_run(m_parts, m_patience, request, record).run();
}

} // namespace turmeric::drivers
