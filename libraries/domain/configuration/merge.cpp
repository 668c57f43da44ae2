#include "libraries/domain/configuration/merge.hpp"

#include <array>
#include <map>

namespace turmeric::domain
{

namespace
{

template <class Declaration>
bool is_same(const Declaration* left, const Declaration* right)
{
    if (left == nullptr || right == nullptr)
    {
        return left == right;
    }
    return *left == *right;
}

template <class Declaration>
class list_merger
{
public:
    explicit list_merger(const object_list<Declaration>& objects)
        : m_objects(objects)
    {
    }

    void add_side(const configuration& owner, std::size_t side)
    {
        for (const Declaration& object : owner.*m_objects.list)
        {
            m_sides[object.*m_objects.name].objects[side] = &object;
        }
    }

    void merge_into(merge_result& outcome) const
    {
        for (const auto& [name, sides] : m_sides)
        {
            const auto [base, current, wanted] = sides.objects;
            const bool is_changed = !is_same(base, wanted);
            const bool is_conflict = is_changed && !is_same(base, current) &&
                                     !is_same(current, wanted);
            if (is_conflict)
            {
                outcome.conflicts.push_back({m_objects.kind, name});
            }
            const Declaration* chosen = is_changed ? wanted : current;
            if (chosen != nullptr)
            {
                (outcome.merged.*m_objects.list).push_back(*chosen);
            }
        }
    }

private:
    struct object_sides
    {
        std::array<const Declaration*, 3> objects{};
    };

    object_list<Declaration> m_objects;
    std::map<std::string, object_sides> m_sides;
};

} // namespace

merge_result merge(const configuration& base, const configuration& current,
                   const configuration& wanted)
{
    merge_result outcome;
    outcome.merged.version = current.version;
    visit_object_lists(
        [&](const auto& objects)
        {
            list_merger merger(objects);
            merger.add_side(base, 0);
            merger.add_side(current, 1);
            merger.add_side(wanted, 2);
            merger.merge_into(outcome);
        });
    return outcome;
}

} // namespace turmeric::domain
