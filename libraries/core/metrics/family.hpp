#pragma once

#include "libraries/core/metrics/family_base.hpp"
#include "libraries/core/metrics/family_options.hpp"
#include "libraries/core/metrics/text_format.hpp"

#include <array>
#include <atomic>
#include <cassert>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace turmeric::metrics
{

/// Metrics that share a name and differ in their label values, limited in
/// number. They are kept in a hash table of linked lists. As label sets are
/// never removed, a list only grows at its front, and no lock is needed. Thread
/// safe.
template <class Metric>
class family final : public family_base
{
public:
    /// Makes an empty family. Precondition: `max_label_sets` is at least 1.
    explicit family(family_options options)
        : m_options(std::move(options))
    {
        assert(m_options.max_label_sets > 0);
    }

    ~family() override
    {
        for (std::atomic<entry*>& head : m_list_heads)
        {
            entry* next = head.load(std::memory_order_relaxed);
            while (next != nullptr)
            {
                const std::unique_ptr<entry> owned(next);
                next = owned->next;
            }
        }
    }

    /// Returns the metric of a label set and adds it if it is new. The
    /// reference stays valid as long as the family lives, so that code on a
    /// hot path may keep it. Once the family has `max_label_sets` label sets,
    /// a new one gets the metric whose label values are all "other".
    /// Precondition: there are as many values as label names. Thread safe.
    Metric& with_labels(const std::vector<std::string>& values)
    {
        assert(values.size() == m_options.label_names.size());
        entry* existing =
            find(list_head_of(values).load(std::memory_order_acquire), values);
        if (existing != nullptr)
        {
            return existing->metric;
        }
        if (m_count.fetch_add(1, std::memory_order_relaxed) <
            m_options.max_label_sets)
        {
            const auto [metric, is_added] = insert(values);
            m_count.fetch_sub(is_added ? 0 : 1, std::memory_order_relaxed);
            return *metric;
        }
        m_count.fetch_sub(1, std::memory_order_relaxed);
        return *insert(std::vector<std::string>(values.size(), "other")).first;
    }

    /// Appends all lines of the family, sorted by labels. Thread safe.
    void render(std::string& out) const override
    {
        std::map<std::string, const Metric*> ordered;
        for (const std::atomic<entry*>& head : m_list_heads)
        {
            for (const entry* next = head.load(std::memory_order_acquire);
                 next != nullptr; next = next->next)
            {
                ordered[format_labels(m_options.label_names, next->values)] =
                    &next->metric;
            }
        }
        append_header(out, m_options, Metric::type_name);
        for (const auto& [labels, metric] : ordered)
        {
            append_samples(out, m_options, labels, *metric);
        }
    }

private:
    struct entry
    {
        std::vector<std::string> values;
        Metric metric;
        entry* next = nullptr;
    };

    static constexpr std::size_t list_count = 128;

    std::atomic<entry*>& list_head_of(const std::vector<std::string>& values)
    {
        constexpr std::size_t multiplier = 31;
        std::size_t digest = 0;
        for (const std::string& value : values)
        {
            digest = digest * multiplier + std::hash<std::string>{}(value);
        }
        return m_list_heads[digest % list_count];
    }

    static entry* find(entry* first, const std::vector<std::string>& values)
    {
        while (first != nullptr && first->values != values)
        {
            first = first->next;
        }
        return first;
    }

    /// Returns the metric of a label set and whether this call added it; if
    /// not, another thread has added it since the caller's search.
    std::pair<Metric*, bool> insert(const std::vector<std::string>& values)
    {
        std::atomic<entry*>& head = list_head_of(values);
        auto new_entry = std::make_unique<entry>();
        new_entry->values = values;
        new_entry->next = head.load(std::memory_order_acquire);
        do
        {
            entry* existing = find(new_entry->next, values);
            if (existing != nullptr)
            {
                return {&existing->metric, false};
            }
        } while (!head.compare_exchange_weak(new_entry->next, new_entry.get(),
                                             std::memory_order_acq_rel));
        return {&new_entry.release()->metric, true};
    }

    const family_options m_options;
    std::atomic<std::size_t> m_count{0};
    std::array<std::atomic<entry*>, list_count> m_list_heads{};
};

} // namespace turmeric::metrics
