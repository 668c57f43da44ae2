#pragma once

#include "libraries/adapters/system/system_clock.hpp"
#include "libraries/codecs/openai/chat_request.hpp"
#include "libraries/drivers/requests/request_runner.hpp"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmeric::tests
{

/// How a scripted engine responds to one attempt. The text of token i is the
/// number i.
struct attempt_script
{
    int total = 0;
    /// The connection breaks after this many tokens.
    std::optional<int> cut_at;
    bool is_reachable = true;
    /// The caller disconnects after this many tokens.
    std::optional<int> cancel_after;

    static attempt_script complete(int total)
    {
        return {total, std::nullopt, true, std::nullopt};
    }

    static attempt_script cut_after(int tokens, int total)
    {
        return {total, tokens, true, std::nullopt};
    }

    static attempt_script unreachable()
    {
        return {0, std::nullopt, false, std::nullopt};
    }
};

class fake_upstreams final : public ports::upstream_caller
{
public:
    result<ports::upstream_completion>
    send(const std::string& address, const ports::upstream_request& request,
         const ports::upstream_response_sink& sink) override
    {
        attempt_script script = scripts.at(addresses.size());
        addresses.push_back(address);
        if (!script.is_reachable)
        {
            return error{result_code::upstream_failed, "upstream", "refused"};
        }
        std::string offset = "0";
        for (const std::pair<std::string, std::string>& header :
             request.headers)
        {
            offset = header.first == "Resume-Offset" ? header.second : offset;
        }
        resume_offsets.push_back(offset);
        return play(script, std::stoi(offset), sink);
    }

    std::vector<attempt_script> scripts;
    std::vector<std::string> addresses;
    std::vector<std::string> resume_offsets;
    /// The buffer that `cancel_after` cancels.
    drivers::response_buffer* buffer = nullptr;

private:
    result<ports::upstream_completion>
    play(const attempt_script& script, int token,
         const ports::upstream_response_sink& sink)
    {
        error broken{result_code::stream_broken, "upstream", "cut",
                     outcome::outcome_unknown};
        if (!sink.on_head({200, "text/event-stream", {}}))
        {
            return broken;
        }
        for (; token < script.total; ++token)
        {
            if (script.cut_at && token >= *script.cut_at)
            {
                return broken;
            }
            if (script.cancel_after && token + 1 == *script.cancel_after)
            {
                // The caller disconnects while this token is in transit.
                buffer->cancel(1);
                sink.on_body(event(token));
                return broken;
            }
            if (!sink.on_body(event(token)))
            {
                return broken;
            }
        }
        sink.on_body("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3}}"
                     "\n\ndata: [DONE]\n\n");
        return ports::upstream_completion{200};
    }

    static std::string event(int token)
    {
        return "data: {\"choices\":[{\"delta\":{\"content\":\"" +
               std::to_string(token) + "\"}}]}\n\n";
    }
};

class fake_ledger final : public drivers::request_ledger
{
public:
    result<drivers::ledger_hold_id>
    acquire(const drivers::request_context& /*request*/) override
    {
        if (acquire_failure)
        {
            return *acquire_failure;
        }
        return drivers::ledger_hold_id{1};
    }

    result<domain::tokens> settle(drivers::ledger_hold_id /*hold*/,
                                  domain::tokens used) override
    {
        if (settle_failure)
        {
            return *settle_failure;
        }
        settled.push_back(used);
        return used;
    }

    void release(drivers::ledger_hold_id /*hold*/) override
    {
        ++released;
    }

    status claim(const drivers::request_context& /*request*/) override
    {
        return claim_failure ? status(*claim_failure) : success();
    }

    std::optional<error> acquire_failure;
    std::optional<error> settle_failure;
    std::optional<error> claim_failure;
    std::vector<domain::tokens> settled;
    int released = 0;
};

class fake_observer final : public drivers::request_observer
{
public:
    void on_end(const drivers::request_context& /*request*/,
                const drivers::request_summary& /*summary*/) override
    {
    }

    void on_retry(const drivers::request_context& /*request*/,
                  const error& /*failure*/, std::int64_t /*offset*/) override
    {
    }

    void on_park(const drivers::request_context& /*request*/) override
    {
        on_parked();
    }

    std::function<void()> on_parked = [] {};
};

class discarding_logger final : public logger
{
public:
    void write(log_level /*level*/, log_event /*event*/,
               const std::vector<log_field>& /*fields*/) override
    {
    }
};

class counting_random final : public ports::random_source
{
public:
    std::uint64_t next() override
    {
        return ++m_last;
    }

private:
    std::uint64_t m_last = 0;
};

/// A runner that uses fakes, with one route, one version and four upstreams.
class runner_fixture
{
public:
    runner_fixture()
    {
        domain::route_declaration route;
        route.name = "ruling";
        route.versions = {{"v1", 1'000'000}};
        m_versions.apply_routes({route});
        domain::capacity_plan plan;
        plan.epoch = 1;
        for (int i = 0; i < 4; ++i)
        {
            domain::upstream_declaration upstream;
            upstream.name = "engine-" + std::to_string(i);
            upstream.address = "127.0.0.1:" + std::to_string(i + 1);
            upstream.versions = {"v1"};
            upstream.capacity = 4;
            plan.shares.push_back({upstream, 4});
        }
        m_traffic.update_capacity(plan);
    }

    void add_attempt(const attempt_script& script)
    {
        upstreams.scripts.push_back(script);
    }

    drivers::request_context make_request()
    {
        drivers::request_context request;
        request.account.name = "family";
        request.route.name = "ruling";
        request.request_id = "r1";
        request.max_tokens = 5;
        request.prompt_tokens = 3;
        request.upper_bound = 8;
        request.arrived_at = m_clock.steady_now();
        request.chat = codecs::parse_chat_request(
                           R"({"model":"ruling","stream":true,"messages":)"
                           R"([{"role":"user","content":"Hi"}]})")
                           .value();
        return request;
    }

    bool run(const drivers::request_context& request,
             drivers::response_buffer& buffer)
    {
        return m_runner.run(request, buffer);
    }

    fake_upstreams upstreams;
    fake_ledger ledger;
    fake_observer observer;

private:
    adapters::system_clock m_clock;
    counting_random m_random;
    discarding_logger m_log;
    drivers::version_guard m_versions{{}, "router-1", m_clock, m_log};
    drivers::traffic_control m_traffic{{}, m_clock, m_random, m_log};
    drivers::request_runner m_runner{
        {m_traffic, m_versions, ledger, upstreams, observer, m_clock, "dc1"},
        {std::chrono::milliseconds(1), std::chrono::milliseconds(50)}};
};

} // namespace turmeric::tests
