#include "libraries/adapters/settings/watched_file.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using turmeric::adapters::watched_file;

TEST_GROUP(watched_file_group)
{
    std::string path = "/tmp/turmeric_watched_" + std::to_string(getpid());

    void setup() override
    {
        write("one");
    }

    void teardown() override
    {
        static_cast<void>(std::remove(path.c_str()));
    }

    void write(const std::string& text) const
    {
        std::ofstream file(path, std::ios::trunc);
        file << text;
    }
};

TEST(watched_file_group, an_unchanged_file_is_not_reported)
{
    watched_file watched(path);
    CHECK_FALSE(watched.has_settled_change());
    CHECK_FALSE(watched.has_settled_change());
}

TEST(watched_file_group, a_change_is_reported_once_when_it_has_settled)
{
    watched_file watched(path);
    write("one and a half");
    CHECK_FALSE(watched.has_settled_change());
    write("the second, whole");
    CHECK_FALSE(watched.has_settled_change());
    CHECK(watched.has_settled_change());
    CHECK_FALSE(watched.has_settled_change());
}

TEST(watched_file_group, a_missing_file_has_not_changed)
{
    watched_file watched(path);
    static_cast<void>(std::remove(path.c_str()));
    CHECK_FALSE(watched.has_settled_change());
    CHECK_FALSE(watched.has_settled_change());
    write("back again, another");
    CHECK_FALSE(watched.has_settled_change());
    CHECK(watched.has_settled_change());
}

TEST(watched_file_group, a_change_marked_as_seen_is_not_reported)
{
    watched_file watched(path);
    write("read by a signal");
    watched.mark_seen();
    CHECK_FALSE(watched.has_settled_change());
    CHECK_FALSE(watched.has_settled_change());
}
