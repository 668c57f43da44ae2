#pragma once

#include "libraries/adapters/asio/one_shot_timer.hpp"
#include "libraries/ports/upstream_transport.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace turmeric::adapters
{

/// Reports whether a call gets a response in time, and then ends the call. Used
/// on the thread of its event loop only.
class connection_probe final : public ports::call_listener
{
public:
    /// Precondition: `loop` outlives the probe, and `done` is not empty.
    connection_probe(asio::io_context& loop,
                     std::function<void(ports::probe_result result)> done);

    /// Sets the call, and for how long its response is awaited. Called once.
    void begin(const std::shared_ptr<ports::upstream_call>& call,
               std::chrono::milliseconds timeout);

    void on_head(const ports::response_head& head) override;
    void on_part(std::string part) override;
    void on_end() override;
    void on_failure(ports::transport_failure failure) override;

private:
    void finish(ports::probe_result result);

    one_shot_timer m_timer;
    std::function<void(ports::probe_result)> m_done;
    /// Lives until its connection ends, and owns this object.
    std::weak_ptr<ports::upstream_call> m_call;
};

} // namespace turmeric::adapters
