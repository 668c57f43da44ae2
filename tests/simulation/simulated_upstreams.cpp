#include "tests/simulation/simulated_upstreams.hpp"

#include <utility>

namespace turmeric::tests
{

using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds one_way{1};
constexpr std::chrono::milliseconds event_interval{60};
constexpr int events_of_response = 4;
constexpr std::chrono::milliseconds restart_time{2'500};
/// An entry expires after three heartbeats that are missing.
constexpr std::chrono::milliseconds entry_expiry{3'600};
constexpr std::string_view key_prefix = "upstreams/";

/// Returns the value of a header field of a request, or an empty text.
std::string field_of(const std::string& request, const std::string& name)
{
    const std::string start = "\r\n" + name + ": ";
    const std::size_t found = request.find(start);
    if (found == std::string::npos)
    {
        return std::string();
    }
    const std::size_t begin = found + start.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

} // namespace

/// A call in progress. It ends when it is cancelled or its upstream ends.
class simulated_upstreams::running_call final : public ports::upstream_call
{
public:
    running_call(int router, ports::outgoing_call call,
                 std::shared_ptr<ports::call_listener> listener)
        : router(router)
        , sent(std::move(call))
        , listener(std::move(listener))
    {
    }

    void read_more() override {}

    void cancel() override
    {
        listener.reset();
    }

    void fail(ports::transport_failure failure)
    {
        if (const std::shared_ptr<ports::call_listener> receiver =
                std::exchange(listener, nullptr))
        {
            receiver->on_failure(failure);
        }
    }

    int router;
    ports::outgoing_call sent;
    std::shared_ptr<ports::call_listener> listener;
    std::size_t upstream = 0;
    std::string incarnation;
};

simulated_upstreams::simulated_upstreams(event_queue& events,
                                         fakes::manual_clock& clock,
                                         fake_asynchronous_store& store,
                                         fakes::seeded_random& random,
                                         std::size_t count, std::int32_t slots)
    : m_events(events)
    , m_clock(clock)
    , m_store(store)
    , m_random(random)
    , m_upstreams(count)
    , m_slots(slots)
{
    for (std::size_t number = 0; number < count; ++number)
    {
        m_upstreams[number].number = number;
        register_upstream(number);
    }
}

simulated_upstreams::~simulated_upstreams()
{
    // A call and its listener own each other until one of them ends the call.
    for (const std::weak_ptr<running_call>& started : m_started_calls)
    {
        if (const std::shared_ptr<running_call> call = started.lock())
        {
            call->cancel();
        }
    }
}

void simulated_upstreams::register_upstream(std::size_t number)
{
    upstream& started = m_upstreams[number];
    started.id = "i-" + std::to_string(++m_incarnations);
    started.is_up = true;
    started.limit.reset();
    started.is_leaving = false;
    started.pause.reset();
    started.rejected_at.clear();
    m_store.put(std::string(key_prefix) + started.id,
                std::to_string(number) + " " + std::to_string(m_slots) + " " +
                    started.version);
}

void simulated_upstreams::start_version(const std::string& version,
                                        std::size_t count)
{
    for (std::size_t started = 0; started < count; ++started)
    {
        const std::size_t number = m_upstreams.size();
        m_upstreams.emplace_back();
        m_upstreams[number].number = number;
        m_upstreams[number].version = version;
        register_upstream(number);
    }
}

void simulated_upstreams::stop_version(const std::string& version)
{
    for (const upstream& one : m_upstreams)
    {
        if (one.version == version && one.is_up)
        {
            end_upstream(one.number);
            m_store.erase(std::string(key_prefix) + one.id);
        }
    }
}

void simulated_upstreams::set_version_fault(
    const simulated_version_fault& fault)
{
    m_version_fault = fault;
}

bool simulated_upstreams::draw_bad_response(const upstream& called)
{
    const ports::steady_time now = m_clock.steady_now();
    const bool is_faulty = m_version_fault &&
                           m_version_fault->version == called.version &&
                           now >= m_version_fault->from;
    if (!is_faulty || m_random.next() % 100 >= m_version_fault->bad_percent)
    {
        return false;
    }
    bad_responses.push_back(now);
    return true;
}

void simulated_upstreams::send_failure(
    const std::shared_ptr<running_call>& call)
{
    constexpr int status_internal_error = 500;
    if (const std::shared_ptr<ports::call_listener> listener =
            std::exchange(call->listener, nullptr))
    {
        listener->on_head({status_internal_error, "Internal Server Error", {}});
        listener->on_end();
    }
}

simulated_upstreams::upstream&
simulated_upstreams::upstream_at(const std::string& address)
{
    return m_upstreams.at(std::stoul(address.substr(address.find(':') + 1)));
}

std::shared_ptr<ports::upstream_call>
simulated_upstreams::start_call(int router, ports::outgoing_call call,
                                std::shared_ptr<ports::call_listener> listener)
{
    const std::shared_ptr<running_call> started =
        std::make_shared<running_call>(router, std::move(call),
                                       std::move(listener));
    m_started_calls.push_back(started);
    m_events.run_after(one_way, [this, started] { answer(started); });
    return started;
}

void simulated_upstreams::probe(int router, const ports::path_probe& sent,
                                std::function<void(ports::probe_result)> done)
{
    ++probes;
    const simulated_cut how = cut_of(router);
    const bool is_answered =
        upstream_at(sent.address).is_up && how == simulated_cut::none;
    ports::probe_result result = is_answered ? ports::probe_result::answered
                                             : ports::probe_result::failed;
    std::chrono::milliseconds took = 2 * one_way;
    if (how == simulated_cut::silent)
    {
        took = sent.connect_timeout;
    }
    if (how == simulated_cut::mute)
    {
        result = ports::probe_result::silent;
        took = sent.response_timeout;
    }
    m_events.run_after(took,
                       [result, done = std::move(done)] { done(result); });
}

simulated_cut simulated_upstreams::cut_of(int router) const
{
    const auto found = m_cuts.find(router);
    return found == m_cuts.end() ? simulated_cut::none : found->second;
}

void simulated_upstreams::cut(int router, simulated_cut how)
{
    m_cuts[router] = how;
    if (how == simulated_cut::none || how == simulated_cut::silent ||
        how == simulated_cut::mute)
    {
        return;
    }
    for (upstream& one : m_upstreams)
    {
        for (const std::weak_ptr<running_call>& running : one.calls)
        {
            const std::shared_ptr<running_call> call = running.lock();
            if (call != nullptr && call->router == router)
            {
                m_events.run_after(
                    one_way,
                    [call] { call->fail(ports::transport_failure::broken); });
            }
        }
    }
}

bool simulated_upstreams::fail_by_cut(const std::shared_ptr<running_call>& call)
{
    const simulated_cut how = cut_of(call->router);
    if (how == simulated_cut::none)
    {
        return false;
    }
    if (how == simulated_cut::mute)
    {
        return true;
    }
    if (how == simulated_cut::silent)
    {
        m_events.run_after(
            call->sent.connect_timeout,
            [call] { call->fail(ports::transport_failure::not_connected); });
        return true;
    }
    call->fail(how == simulated_cut::reset
                   ? ports::transport_failure::broken
                   : ports::transport_failure::not_connected);
    return true;
}

void simulated_upstreams::answer(const std::shared_ptr<running_call>& call)
{
    if (fail_by_cut(call))
    {
        return;
    }
    upstream& called = upstream_at(call->sent.address);
    const bool is_expected =
        field_of(call->sent.bytes, "X-Expect-Instance") == called.id;
    if (!called.is_up || !is_expected)
    {
        call->fail(ports::transport_failure::not_connected);
        return;
    }
    const std::string parts = field_of(call->sent.bytes, "X-Prompt-Prefix");
    const bool is_plain = parts.empty();
    const bool is_crashing =
        is_plain
            ? call->sent.body != nullptr &&
                  call->sent.body->bytes == crashing_body
            : parts.find(std::string(crashing_part) + ":") != std::string::npos;
    const std::string request_line =
        call->sent.bytes.substr(0, call->sent.bytes.find('\r'));
    arrivals.push_back({m_clock.steady_now(), call->router, called.number,
                        is_crashing, request_line, called.version});
    call->upstream = called.number;
    call->incarnation = called.id;
    if (m_max_rejections && is_full(called, m_slots))
    {
        m_events.run_after(one_way, [this, call] { reject(call); });
        called.rejected_at.push_back(m_clock.steady_now());
        ++rejections;
        fall_if_overloaded(called);
        return;
    }
    if (called.pause)
    {
        m_events.run_after(one_way, [this, call] { turn_away(call); });
        return;
    }
    called.calls.push_back(call);
    const std::chrono::milliseconds usual_time(50 + m_random.next() % 150);
    const bool is_bad = draw_bad_response(called);
    const bool is_failure = is_bad && !m_version_fault->is_slow;
    constexpr int slowdown = 6;
    const std::chrono::milliseconds reading_time =
        is_bad && !is_failure ? slowdown * usual_time : usual_time;
    m_events.run_after(
        reading_time,
        [this, call, is_crashing, is_plain, is_failure, request_line]
        {
            if (is_failure)
            {
                send_failure(call);
                return;
            }
            if (is_crashing && call->listener != nullptr)
            {
                crashes.push_back({m_clock.steady_now(), request_line});
                crash(call->upstream);
                return;
            }
            if (is_plain)
            {
                send_plain_response(call);
                return;
            }
            send_event(call, 1);
        });
}

bool simulated_upstreams::is_full(upstream& called, std::int32_t slots)
{
    std::erase_if(called.calls,
                  [](const std::weak_ptr<running_call>& one)
                  {
                      const std::shared_ptr<running_call> call = one.lock();
                      return call == nullptr || call->listener == nullptr;
                  });
    return called.calls.size() >= static_cast<std::size_t>(slots);
}

void simulated_upstreams::reject(const std::shared_ptr<running_call>& call)
{
    constexpr int status_unavailable = 503;
    if (call->listener == nullptr)
    {
        return;
    }
    ports::response_head head{
        status_unavailable, "Service Unavailable", {{"X-Not-Executed", "1"}}};
    if (m_announced_rejections)
    {
        head.fields.push_back(
            {"Server-Brittle", std::to_string(*m_announced_rejections)});
    }
    const std::shared_ptr<ports::call_listener> listener =
        std::exchange(call->listener, nullptr);
    listener->on_head(head);
    listener->on_end();
}

void simulated_upstreams::fall_if_overloaded(upstream& called)
{
    const ports::steady_time now = m_clock.steady_now();
    std::erase_if(called.rejected_at,
                  [now](ports::steady_time at) { return now - at > 1s; });
    if (static_cast<std::int64_t>(called.rejected_at.size()) >
        *m_max_rejections)
    {
        ++falls;
        crash(called.number);
    }
}

void simulated_upstreams::turn_away(const std::shared_ptr<running_call>& call)
{
    const std::optional<std::chrono::milliseconds> pause =
        m_upstreams[call->upstream].pause;
    if (call->listener == nullptr || !pause)
    {
        call->fail(ports::transport_failure::broken);
        return;
    }
    constexpr int status_unavailable = 503;
    const ports::steady_time now = m_clock.steady_now();
    received_pauses.push_back(
        {now, now + *pause, call->router, call->upstream});
    const std::string seconds =
        std::to_string(std::chrono::duration<double>(*pause).count());
    const std::shared_ptr<ports::call_listener> listener =
        std::exchange(call->listener, nullptr);
    listener->on_head({status_unavailable,
                       "Service Unavailable",
                       {{"X-Not-Executed", "1"}, {"Retry-After", seconds}}});
    listener->on_end();
}

ports::response_head simulated_upstreams::make_head(const running_call& call)
{
    const upstream& sender = m_upstreams[call.upstream];
    const ports::steady_time now = m_clock.steady_now();
    ports::response_head head{200, "OK", {{"X-Server-Stamp", "s"}}};
    if (sender.limit)
    {
        head.fields.push_back({"Server-Limit", *sender.limit});
        passed_on_limits.push_back({now, call.router, call.upstream});
    }
    if (m_announced_rejections)
    {
        head.fields.push_back(
            {"Server-Brittle", std::to_string(*m_announced_rejections)});
    }
    if (sender.is_leaving)
    {
        head.fields.push_back({"Server-Leaving", "1"});
        passed_on_leavings.push_back({now, call.router, call.upstream});
    }
    return head;
}

void simulated_upstreams::send_plain_response(
    const std::shared_ptr<running_call>& call)
{
    if (call->listener == nullptr ||
        cut_of(call->router) != simulated_cut::none)
    {
        return;
    }
    const std::shared_ptr<ports::call_listener> listener =
        std::exchange(call->listener, nullptr);
    listener->on_head(make_head(*call));
    listener->on_part("done");
    listener->on_end();
}

void simulated_upstreams::send_event(const std::shared_ptr<running_call>& call,
                                     int event)
{
    if (call->listener == nullptr ||
        cut_of(call->router) != simulated_cut::none)
    {
        return;
    }
    if (event == 1)
    {
        call->listener->on_head(make_head(*call));
    }
    if (event > events_of_response)
    {
        std::exchange(call->listener, nullptr)->on_end();
        return;
    }
    const std::shared_ptr<ports::call_listener> listener = call->listener;
    listener->on_part("id: " + std::to_string(event) + "\ndata: x\n\n");
    m_events.run_after(event_interval,
                       [this, call, event] { send_event(call, event + 1); });
}

void simulated_upstreams::end_upstream(std::size_t number)
{
    upstream& ended = m_upstreams[number];
    ended.is_up = false;
    for (const std::weak_ptr<running_call>& one :
         std::exchange(ended.calls, {}))
    {
        if (const std::shared_ptr<running_call> call = one.lock())
        {
            m_events.run_after(
                one_way,
                [call] { call->fail(ports::transport_failure::broken); });
        }
    }
}

void simulated_upstreams::crash(std::size_t number)
{
    if (!m_upstreams[number].is_up)
    {
        return;
    }
    end_upstream(number);
    const std::string key = std::string(key_prefix) + m_upstreams[number].id;
    m_events.run_after(entry_expiry, [this, key] { m_store.erase(key); });
    m_events.run_after(restart_time,
                       [this, number] { register_upstream(number); });
}

void simulated_upstreams::name_limit(std::size_t number,
                                     std::optional<std::string> limit)
{
    m_upstreams[number].limit = std::move(limit);
}

void simulated_upstreams::announce_leaving(std::size_t number)
{
    m_upstreams[number].is_leaving = true;
}

void simulated_upstreams::set_brittle(std::int64_t max_rejections)
{
    m_max_rejections = max_rejections;
}

void simulated_upstreams::announce_brittle(
    std::optional<std::int64_t> max_rejections)
{
    m_announced_rejections = max_rejections;
}

void simulated_upstreams::set_pause(
    std::size_t number, std::optional<std::chrono::milliseconds> pause)
{
    m_upstreams[number].pause = pause;
}

result<domain::upstream_entry> read_simulated_upstream(std::string_view key,
                                                       std::string_view value)
{
    const std::size_t separator = value.find(' ');
    const std::size_t last_separator = value.rfind(' ');
    domain::upstream_entry entry;
    entry.id = std::string(key.substr(key_prefix.size()));
    entry.service = "s";
    entry.address = "10.0.0.1:" + std::string(value.substr(0, separator));
    entry.data_centre = "east";
    entry.slots = std::stoi(std::string(value.substr(separator + 1)));
    entry.version = std::string(value.substr(last_separator + 1));
    return entry;
}

} // namespace turmeric::tests
