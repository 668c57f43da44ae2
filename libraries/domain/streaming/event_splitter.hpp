#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::domain
{

/// Splits a stream of server-sent events into complete events, so that an
/// incomplete event is never passed on. Drops events that were passed on
/// already before the stream was resumed at another upstream. Not thread safe.
class event_splitter
{
public:
    /// Starts after the event with the id `last_id`, if it is set. No
    /// precondition.
    explicit event_splitter(std::optional<std::int64_t> last_id);

    /// Appends `bytes` to the incomplete event and returns the events that are
    /// complete now, in order and unchanged. No precondition.
    std::string feed(std::string_view bytes);

    /// Drops an incomplete event, for when its stream is aborted.
    void drop_partial();

    /// Returns whether the beginning of an incomplete event is held.
    [[nodiscard]] bool has_partial() const;

    /// Returns the size of the incomplete event in bytes.
    [[nodiscard]] std::size_t partial_size() const;

    /// Returns the id of the last complete event that had one, or the id given
    /// to the constructor before the first such event.
    [[nodiscard]] std::optional<std::int64_t> last_id() const;

    /// Returns how many events `feed` has returned.
    [[nodiscard]] std::int64_t events() const;

private:
    void append_event(std::string_view event, std::string& out);

    std::optional<std::int64_t> m_last_id;
    std::int64_t m_events = 0;
    std::string m_partial;
};

} // namespace turmeric::domain
