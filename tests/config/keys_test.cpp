// The operator's file: read strictly, each complaint with its place, one table for checks, defaults and the
// page.
#include "config/keys.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/operator.h"

namespace sumackeel::config {
namespace {

class OperatorFile : public ::testing::Test {
  protected:
    OperatorFile() {
        std::string form = (std::filesystem::temp_directory_path() / "sumackeel-XXXXXX").string();
        folder_ = mkdtemp(form.data());
        std::ofstream(folder_ + "/keys.json") << R"({"keys":[]})";
    }
    ~OperatorFile() override { std::filesystem::remove_all(folder_); }

    Operator load(const std::string& text) const {
        std::ofstream(folder_ + "/op.toml") << text;
        return load_operator(folder_ + "/op.toml");
    }
    // The complaints without the folder's name.
    std::vector<std::string> complaints(const std::string& text) const {
        try {
            load(text);
        } catch (const ValidationErrors& all) {
            std::vector<std::string> lines;
            for (const std::string& line : all.lines) lines.push_back(line.substr(folder_.size() + 1));
            return lines;
        } catch (const ConfigError& one) {
            return {std::string(one.what()).substr(folder_.size() + 1)};
        }
        return {};
    }
    std::string folder_;
};

using Lines = std::vector<std::string>;

}  // namespace

TEST_F(OperatorFile, EachSectionIsReadAndPathsAreTakenFromItsFolder) {
    const Operator all = load(R"(
# a comment
redis = "127.0.0.1:6379"
[signed_front]
listen = "127.0.0.1:8080"
host = "h"
audience = "a"
link_issuers = ["l"]
leeway_s = 2.5
keys = "keys.json"
[discovery]
sources = ["127.0.0.1:1", "127.0.0.1:2"]
follow = 2
longest_wait_ms = 9_000
[saved_list]
folder = "list"
site = "school"
careful_until_s = 60
)");
    EXPECT_FALSE(all.old_form);
    EXPECT_EQ(all.redis, "127.0.0.1:6379");
    EXPECT_EQ(all.signed_url_server->leeway_s, 2.5);
    EXPECT_EQ(all.signed_url_server->connections, 128);  // the table's default
    EXPECT_EQ(all.discovery->sources.size(), 2u);
    EXPECT_EQ(all.discovery->longest_wait, 9'000'000);
    EXPECT_EQ(all.endpoint_snapshot->folder, folder_ + "/list");
    EXPECT_EQ(all.endpoint_snapshot->unverified_until, 60'000'000);
    EXPECT_EQ(all.endpoint_snapshot->full_until, 5'000'000);
    EXPECT_FALSE(all.store);
}

// Guards: a misspelt key was taken for a sound file, and the setting it meant for its default.
TEST_F(OperatorFile, WhatTheTableDoesNotListIsAFault) {
    EXPECT_EQ(complaints(R"({"x":1})"), Lines{"op.toml:1:6: x: no such key"});
    EXPECT_EQ(complaints("[saved_list]\nfolder = \"l\"\nsite = \"s\"\n  carefull_until_s = 3\n"),
              Lines{"op.toml:4:3: saved_list.carefull_until_s: no such key, did you mean careful_until_s?"});
    EXPECT_EQ(complaints("[save_list]\nfolder = \"l\"\n"),
              Lines{"op.toml:1:2: save_list: no such key, did you mean saved_list?"});
}

TEST_F(OperatorFile, AllFaultsAreNamedWithTheirPlaces) {
    EXPECT_EQ(
        complaints("redis = \"nowhere\"\n[saved_list]\nfolder = 7\nfull_until_s = 61\nsave_every_ms = 1.5\n"),
        (Lines{"op.toml:1:9: redis: 'nowhere' is no address like 127.0.0.1:9090",
               "op.toml:2:2: saved_list.site: is missing",
               "op.toml:3:10: saved_list.folder: a string is wanted, this is a whole number",
               "op.toml:4:16: saved_list.full_until_s: 61 is not from 0 to 60",
               "op.toml:5:17: saved_list.save_every_ms: a whole number is wanted, this is a number"}));
    EXPECT_EQ(
        complaints("[discovery]\nsources = [\"127.0.0.1:1\", 2]\njitter = nan\n"),
        (Lines{"op.toml:2:11: discovery.sources: a list of strings is wanted, with a whole number in it",
               "op.toml:3:10: discovery.jitter: nan is not from 0 to 1"}));
    EXPECT_EQ(complaints("saved_list = 3\n"),
              Lines{"op.toml:1:14: saved_list: a table is wanted, this is a whole number"});
    EXPECT_EQ(complaints("[discovery]\nsources = [\"256.0.0.1:1\"]\n"),
              Lines{"op.toml:2:11: discovery.sources: '256.0.0.1:1' is no address like 127.0.0.1:9090"});
}

TEST_F(OperatorFile, WhatIsNoTomlIsNamedWithItsPlace) {
    const Lines lines = complaints("[saved_list]\nfolder = \"l\nsite = \"s\"\n");
    ASSERT_EQ(lines.size(), 1u);
    EXPECT_TRUE(lines[0].starts_with("op.toml:2:")) << lines[0];
    EXPECT_EQ(complaints("redis = 2026-12-01\n"), Lines{"op.toml:1:9: dates and times are no settings"});
}

TEST_F(OperatorFile, ValuesThatDoNotGoTogetherAreNamed) {
    EXPECT_EQ(complaints("[saved_list]\nfolder = \"l\"\nsite = \"s\"\ncareful_until_s = 1\n"),
              Lines{"op.toml:4:19: saved_list.careful_until_s: shorter than full_until_s"});
    EXPECT_EQ(
        complaints("[store]\nlisten = \"127.0.0.1:1\"\n"),
        Lines{"op.toml:2:10: store.listen: given, and [agreed] is missing: the store lies in the agreed log "
              "since 0.3"});
}

TEST_F(OperatorFile, TheJsonFormOfEarlierVersionsIsStillRead) {
    const Operator old = load(R"({"signed_front": {"listen": "127.0.0.1:8080", "host": "h", "audience": "a",
        "link_issuers": ["l"], "keys": "keys.json"}})");
    EXPECT_TRUE(old.old_form);
    EXPECT_EQ(old.signed_url_server->link_issuers, Lines{"l"});
    EXPECT_EQ(complaints("{\n  \"signed_front\": {\"listen\": 3}}\n")[0],
              "op.toml:2:19: signed_front.host: is missing");
}

// Guards: a key whose default would itself be refused, or is not of the key's type.
TEST(Keys, EveryDefaultIsSound) {
    for (const Key& key : keys()) {
        if (!*key.otherwise) continue;
        std::string text = *key.section ? std::string("[") + key.section + "]\n" : "";
        text += std::string(key.name) + " = " + key.otherwise + "\n";
        try {
            check(read_toml(text, "f"), "f");
        } catch (const ValidationErrors& all) {
            for (const std::string& line : all.lines)
                EXPECT_TRUE(line.ends_with("is missing")) << line;  // other keys of the section
        }
    }
}

TEST(Keys, ThePageIsThatOfTheTable) {
    std::ifstream file(std::string(PROJECT_ROOT) + "/docs/configuration.md");
    std::stringstream text;
    text << file.rdbuf();
    EXPECT_EQ(text.str(), keys_as_markdown())
        << "write it anew: build/sumackeel keys > docs/configuration.md";
}

TEST(Keys, TheFilesWeShipAreSound) {
    for (const char* name : {"/deploy/operator.toml", "/example/operator.toml"}) {
        const std::string path = std::string(PROJECT_ROOT) + name;
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        EXPECT_NO_THROW(check(read_toml(text.str(), path), path));
    }
}

}  // namespace sumackeel::config
