#include "libraries/adapters/settings/settings_file.hpp"
#include "libraries/codecs/configuration/configuration_codec.hpp"
#include "libraries/domain/configuration/validation.hpp"
#include "services/controller/controller_settings.hpp"
#include "utilities/turmericctl/declaration_folder.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace turmeric;

namespace
{

const std::string examples = TURMERIC_SOURCE_DIR "/examples/";

domain::configuration read_example(const std::string& team)
{
    const result<ctl::folder_content> content =
        ctl::read_declaration_folder(examples + team + "/declarations");
    CHECK(content.has_value());
    domain::configuration declared;
    for (const json& declaration : content.value().declarations)
    {
        CHECK(
            codecs::decode_declaration(declaration, "", declared).has_value());
    }
    return declared;
}

/// A temporary folder that is removed at the end of the test.
struct temporary_folder
{
    temporary_folder()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "turmericXXXXXX")
                .string();
        path = ::mkdtemp(pattern.data());
    }

    ~temporary_folder()
    {
        std::filesystem::remove_all(path);
    }

    void write(const std::string& name, const std::string& text) const
    {
        std::ofstream(path / name) << text;
    }

    [[nodiscard]] std::string error_field() const
    {
        const result<ctl::folder_content> content =
            ctl::read_declaration_folder(path.string());
        return content ? "" : content.failure().field;
    }

    std::filesystem::path path;
};

} // namespace

TEST_GROUP(examples){};

TEST(examples, declarations_of_both_teams_are_valid_and_complete)
{
    const domain::configuration hlaupabraut = read_example("hlaupabraut");
    CHECK(domain::validate(hlaupabraut).empty());
    LONGS_EQUAL(10, hlaupabraut.accounts.size());
    LONGS_EQUAL(9 + 3, hlaupabraut.upstreams.size());
    const domain::configuration cedarbin = read_example("cedarbin");
    CHECK(domain::validate(cedarbin).empty());
    LONGS_EQUAL(10, cedarbin.accounts.size());
    LONGS_EQUAL(9 + 4, cedarbin.upstreams.size());
}

TEST(examples, settings_of_the_controllers_are_valid)
{
    for (const std::string team : {"hlaupabraut", "cedarbin"})
    {
        CHECK(adapters::read_settings(examples + team +
                                          "/settings/controller.json",
                                      controller::controller_settings_schema())
                  .has_value());
    }
}

TEST(examples, an_error_names_file_and_field)
{
    const temporary_folder folder;
    STRCMP_EQUAL(folder.path.c_str(), folder.error_field().c_str());
    folder.write("a.json", R"([{"kind": "vm", "name": "one"},
                               {"kind": "vm", "state": "gone"}])");
    const std::string file = (folder.path / "a.json").string();
    STRCMP_EQUAL((file + "[1].name").c_str(), folder.error_field().c_str());
    folder.write("a.json", R"({"kind": "vm", "name": "one", "state": "gone"})");
    STRCMP_EQUAL((file + ".state").c_str(), folder.error_field().c_str());
    folder.write("a.json", "{");
    STRCMP_EQUAL(file.c_str(), folder.error_field().c_str());
    folder.write("a.json", R"({"kind": "vm", "name": "one"})");
    folder.write("b.json", R"({"kind": "vm", "name": "one"})");
    STRCMP_EQUAL((folder.path / "b.json").c_str(),
                 folder.error_field().c_str());
    folder.write("b.json", "[]");
    folder.write(".version", "many");
    STRCMP_EQUAL((folder.path / ".version").c_str(),
                 folder.error_field().c_str());
}

TEST(examples, a_written_folder_reads_back)
{
    const temporary_folder folder;
    const ctl::folder_content written{
        {json::parse(R"({"kind": "vm", "name": "one"})")}, 7};
    CHECK(ctl::write_declaration_folder(folder.path.string(), written)
              .has_value());
    const result<ctl::folder_content> read =
        ctl::read_declaration_folder(folder.path.string());
    CHECK(read.has_value());
    CHECK(read.value().declarations == written.declarations);
    LONGS_EQUAL(7, read.value().base_version);
}
