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
/// already before the stream was resumed at another upstream, and finds events
/// that are missing there. Not thread safe.
class event_splitter
{
public:
    /// Starts after the event with the id `last_id`, if it is set. No
    /// precondition.
    explicit event_splitter(std::optional<std::int64_t> last_id);

    /// Appends `bytes` to the incomplete event and returns the events that are
    /// complete now, in order and unchanged. No precondition.
    std::string feed(std::string_view bytes);

    /// Drops an incomplete event, for when its stream is aborted. What `feed`
    /// gets next is from the upstream that resumes the stream.
    void drop_partial();

    /// Returns whether the first new event after a resumption is further from
    /// the last one than any two successive events were before. Then `feed`
    /// returns nothing more until `drop_partial`.
    [[nodiscard]] bool has_gap() const;

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
    /// Records the distance of a new event's id from the last one, and whether
    /// events are missing between them.
    void record_step(std::int64_t id);

    std::optional<std::int64_t> m_last_id;
    /// The largest difference between the ids of successive events so far, if
    /// one is known.
    std::optional<std::uint64_t> m_largest_step;
    /// Whether no new event has followed the last `drop_partial`.
    bool m_is_resuming = false;
    bool m_has_gap = false;
    std::int64_t m_events = 0;
    std::string m_partial;
};

} // namespace turmeric::domain
