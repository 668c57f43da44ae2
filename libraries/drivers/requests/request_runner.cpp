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

/// The outcome of one attempt at an upstream.
enum class attempt_end : std::uint8_t
{
    complete,
    failed,
    /// The caller has disconnected.
    cancelled,
    /// The reader is slow, so the upstream was released.
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
    if (end == attempt_end::complete)
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

/// The state of one run. Used by one thread.
class request_runner::request_run
{
public:
    request_run(const request_runner_dependencies& dependencies,
                const slow_reader_limits& reader_limits,
                const request_context& request, response_buffer& buffer)
        : m_dependencies(dependencies)
        , m_reader_limits(reader_limits)
        , m_request(request)
        , m_buffer(buffer)
        , m_exchange(make_exchange(request))
    {
    }

    bool run()
    {
        result<ledger_hold_id> hold = m_dependencies.ledger.acquire(m_request);
        if (!hold)
        {
            return end_with_failure(hold.failure());
        }
        m_hold = hold.value();
        while (true)
        {
            std::optional<bool> is_retained = make_attempt();
            if (is_retained)
            {
                return *is_retained;
            }
        }
    }

private:
    /// Makes one attempt. Returns nothing when a further attempt follows; else
    /// the run has ended, and the value says whether to retain the buffer.
    std::optional<bool> make_attempt()
    {
        std::string version = m_dependencies.versions.pick(
            m_request.route.name, m_request.request_id);
        result<domain::upstream_choice> choice = admit(version);
        if (!choice)
        {
            return release_and_fail(with_possible_effect(choice.failure()));
        }
        status claimed = claim_unless_idempotent();
        if (!claimed)
        {
            m_dependencies.traffic.finish(choice.value(),
                                          domain::call_result::cancelled);
            return release_and_fail(claimed.failure());
        }
        m_summary.version = version;
        m_summary.upstream = choice.value().upstream;
        ++m_summary.attempts;
        attempt_end end = dispatch(choice.value());
        m_dependencies.traffic.finish(choice.value(),
                                      call_result_of(end, m_failure));
        record_observation(version, end);
        switch (end)
        {
        case attempt_end::complete:
            return bill_complete_response();
        case attempt_end::cancelled:
            return bill_partial_response();
        case attempt_end::parked:
            return wait_for_parked_reader();
        case attempt_end::failed:
            break;
        }
        return retry_or_fail(choice.value().upstream);
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
        choice.data_centre = m_dependencies.data_centre;
        choice.excluded = m_excluded_upstreams;
        if (m_request.chat)
        {
            choice.prefix = m_request.chat->prefix_digest;
        }
        return m_dependencies.traffic.admit(ticket, choice);
    }

    status claim_unless_idempotent()
    {
        if (m_request.is_idempotent || m_is_claimed)
        {
            return success();
        }
        status claimed = m_dependencies.ledger.claim(m_request);
        m_is_claimed = claimed.has_value();
        return claimed;
    }

    attempt_end dispatch(const domain::upstream_choice& choice)
    {
        m_attempt_end = attempt_end::complete;
        m_dispatched_at = m_dependencies.clock.steady_now();
        m_last_piece_at.reset();
        m_summary.timing = domain::request_observation();
        ports::upstream_request request =
            m_exchange->start_attempt(m_summary.version);
        if (m_summary.attempts == 1)
        {
            m_dependencies.traffic.record_request(m_request.account.name,
                                                  choice.upstream);
        }
        ports::upstream_response_sink sink;
        sink.on_head = [this](const ports::upstream_response_head& head)
        { return handle(m_exchange->accept_head(head)); };
        sink.on_body = [this](std::string_view bytes)
        { return handle(m_exchange->accept(bytes)); };
        result<ports::upstream_completion> ended =
            m_dependencies.upstreams.send(choice.address, request, sink);
        if (m_attempt_end != attempt_end::complete)
        {
            return m_attempt_end;
        }
        if (!ended)
        {
            return record_attempt_failure(ended.failure());
        }
        handle(m_exchange->finish_attempt());
        return m_attempt_end;
    }

    attempt_end record_attempt_failure(const error& failure)
    {
        m_failure = failure;
        m_may_have_run =
            m_may_have_run || failure.effect == outcome::outcome_unknown;
        m_attempt_end = attempt_end::failed;
        return m_attempt_end;
    }

    bool handle(const status& accepted)
    {
        if (!accepted)
        {
            record_attempt_failure(accepted.failure());
            return false;
        }
        m_may_have_run = true;
        return true;
    }

    bool handle(const result<std::vector<std::string>>& pieces)
    {
        if (!pieces)
        {
            record_attempt_failure(pieces.failure());
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
        if (m_buffer.is_cancelled())
        {
            m_attempt_end = attempt_end::cancelled;
            return true;
        }
        return false;
    }

    /// Appends the pieces to the buffer. A piece that does not fit stays in
    /// `m_unwritten`, so that no piece is lost when the stream is parked.
    bool write_pieces()
    {
        while (!m_unwritten.empty())
        {
            record_piece_time();
            if (!m_buffer.append(m_unwritten.front(),
                                 m_reader_limits.park_after))
            {
                m_attempt_end = m_buffer.is_cancelled() ? attempt_end::cancelled
                                                        : attempt_end::parked;
                return false;
            }
            m_unwritten.erase(m_unwritten.begin());
        }
        return true;
    }

    void record_piece_time()
    {
        ports::steady_time now = m_dependencies.clock.steady_now();
        if (!m_has_head)
        {
            m_has_head = true;
            relayed_response_head head = m_exchange->head();
            head.version = m_summary.version;
            head.upstream = m_summary.upstream;
            m_buffer.set_head(std::move(head));
            m_time_to_first_piece = now - m_request.arrived_at;
        }
        using std::chrono::microseconds;
        if (m_last_piece_at)
        {
            microseconds gap = std::chrono::duration_cast<microseconds>(
                now - *m_last_piece_at);
            m_summary.timing.worst_gap =
                std::max(m_summary.timing.worst_gap.value_or(gap), gap);
        }
        else
        {
            m_summary.timing.first_token =
                std::chrono::duration_cast<microseconds>(now - m_dispatched_at);
        }
        m_last_piece_at = now;
    }

    void record_observation(const std::string& version, attempt_end end)
    {
        bool is_inconclusive =
            end == attempt_end::cancelled || end == attempt_end::parked ||
            (end == attempt_end::failed &&
             m_failure.code == result_code::upstream_overloaded);
        if (!is_inconclusive)
        {
            m_summary.timing.is_failure = end == attempt_end::failed;
            m_dependencies.versions.record(m_request.route.name, version,
                                           m_summary.timing);
        }
    }

    std::optional<bool> retry_or_fail(const std::string& upstream)
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
        domain::retry_decision decision = m_dependencies.traffic.decide(failed);
        if (decision.action == domain::retry_action::give_up)
        {
            return release_and_fail(
                with_possible_effect(decision.failure.value_or(m_failure)));
        }
        m_excluded_upstreams.push_back(upstream);
        m_dependencies.observer.on_retry(m_request, m_failure, decision.offset);
        std::this_thread::sleep_for(decision.delay);
        return std::nullopt;
    }

    std::optional<bool> wait_for_parked_reader()
    {
        m_dependencies.observer.on_park(m_request);
        bool has_caught_up =
            m_buffer.wait_for_reader(m_reader_limits.max_park_time);
        if (m_buffer.is_cancelled())
        {
            return bill_partial_response();
        }
        if (!has_caught_up)
        {
            return release_and_fail(
                error{result_code::slow_reader_limit, "connection",
                      "the caller did not read its response",
                      outcome::outcome_unknown});
        }
        write_pieces();
        return std::nullopt;
    }

    std::optional<bool> bill_complete_response()
    {
        response_end end = m_exchange->bill();
        result<domain::tokens> billed =
            m_dependencies.ledger.settle(m_hold, end.billed);
        if (!billed)
        {
            return end_with_failure(with_possible_effect(billed.failure()));
        }
        end.billed = billed.value();
        m_summary.billed = end.billed;
        m_summary.delivered = end.completion_tokens;
        report_end();
        m_buffer.finish(std::move(end));
        return true;
    }

    /// Bills the part of the response that was delivered before the caller
    /// disconnected. The buffer ends with the failure `caller_gone`.
    std::optional<bool> bill_partial_response()
    {
        response_end end = m_exchange->bill();
        error caller_gone{result_code::caller_gone, "connection",
                          "the caller closed before the response was complete",
                          outcome::outcome_unknown};
        if (m_exchange->delivered() == 0)
        {
            m_dependencies.ledger.release(m_hold);
            return end_with_failure(caller_gone);
        }
        result<domain::tokens> billed =
            m_dependencies.ledger.settle(m_hold, end.billed);
        m_summary.billed = billed ? billed.value() : 0;
        m_summary.delivered = end.completion_tokens;
        return end_with_failure(caller_gone);
    }

    /// Releases the hold and ends the run. Returns whether to retain the
    /// buffer.
    bool release_and_fail(const error& failure)
    {
        m_dependencies.ledger.release(m_hold);
        return end_with_failure(failure);
    }

    /// Ends the run and the buffer. Returns whether to retain the buffer.
    bool end_with_failure(const error& failure)
    {
        m_summary.failure = failure;
        report_end();
        m_buffer.fail(failure);
        // A call that may run at most once must not run again when the caller
        // repeats it: the retained buffer then gives the same failure.
        return !m_request.is_idempotent &&
               failure.effect == outcome::outcome_unknown;
    }

    void report_end()
    {
        // The time to the first token counts from the request's arrival and
        // includes all attempts.
        if (m_has_head)
        {
            m_summary.timing.first_token =
                std::chrono::duration_cast<std::chrono::microseconds>(
                    m_time_to_first_piece);
        }
        m_dependencies.observer.on_end(m_request, m_summary);
    }

    [[nodiscard]] error with_possible_effect(error failure) const
    {
        if (m_may_have_run)
        {
            failure.effect = outcome::outcome_unknown;
        }
        return failure;
    }

    const request_runner_dependencies& m_dependencies;
    const slow_reader_limits& m_reader_limits;
    const request_context& m_request;
    response_buffer& m_buffer;
    std::unique_ptr<upstream_exchange> m_exchange;
    ledger_hold_id m_hold = 0;
    bool m_is_claimed = false;
    bool m_may_have_run = false;
    bool m_has_head = false;
    attempt_end m_attempt_end = attempt_end::complete;
    error m_failure{result_code::upstream_failed, "", ""};
    std::vector<std::string> m_unwritten;
    std::vector<std::string> m_excluded_upstreams;
    ports::steady_time m_dispatched_at;
    std::optional<ports::steady_time> m_last_piece_at;
    ports::steady_time::duration m_time_to_first_piece{};
    request_summary m_summary;
};

request_runner::request_runner(request_runner_dependencies dependencies,
                               slow_reader_limits reader_limits)
    : m_dependencies(std::move(dependencies))
    , m_reader_limits(reader_limits)
{
}

bool request_runner::run(const request_context& request,
                         response_buffer& buffer)
{
    return request_run(m_dependencies, m_reader_limits, request, buffer).run();
}

} // namespace turmeric::drivers
