#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::domain
{

/// Splits a stream of server-sent events into whole events, so that a part
/// of an event is never passed on, and drops events that were passed on
/// before the stream was resumed elsewhere. Not thread safe.
class event_splitter
{
public:
    /// Starts after event `last_id`, if there is one. No precondition.
    explicit event_splitter(std::optional<std::int64_t> last_id);

    /// Takes bytes and returns the whole events among them and what was
    /// kept, in order and unchanged. No precondition.
    std::string feed(std::string_view bytes);

    /// Drops a kept part of an event, as its stream broke off.
    void drop_partial();

    /// Tells whether a part of an event is kept.
    [[nodiscard]] bool has_partial() const;

    /// Returns the id of the last whole event, if one had an id.
    [[nodiscard]] std::optional<std::int64_t> last_id() const;

    /// Returns how many events were passed on.
    [[nodiscard]] std::int64_t events() const;

private:
    void append_event(std::string_view event, std::string& out);

    std::optional<std::int64_t> m_last_id;
    std::int64_t m_events = 0;
    std::string m_partial;
};

} // namespace turmeric::domain
