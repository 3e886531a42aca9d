// Tests of the release plan parser and its errors.
#include "rollout/release_plan.h"

#include <gtest/gtest.h>

#include <vector>

#include "config/config.h"

namespace sumackeel::rollout {
namespace {

const std::string kHead = "name = \"spring\"\nfrom = \"1\"\nto = \"2\"\n";

const std::vector<std::string>& all_members() {
    static const std::vector<std::string> kAll{"a", "b", "c", "d", "e", "f", "g", "h"};
    return kAll;
}

}  // namespace

TEST(ReleasePlan, ReadsWavesAsCountsAndSharesAndTheRestAsTheLastWave) {
    const Plan plan = parse_plan(kHead + "waves = [1, 2, \"25%\"]\nsoak_s = 5\n", "p", all_members());
    EXPECT_EQ(plan.members, all_members());
    EXPECT_EQ(plan.waves, (std::vector<std::size_t>{1, 2, 2, 3}));
    EXPECT_EQ(plan.soak, 5 * base::kSecond);
}

TEST(ReleasePlan, NamesTheInvalidKeyAndItsPlace) {
    struct Case {
        const char* line;
        const char* expected_in_error;
    };
    const Case cases[] = {{"waves = [0]\n", "p:4:9: waves"},       {"waves = [\"x%\"]\n", "waves"},
                          {"members = [\"a\", \"a\"]\n", "twice"}, {"soak_s = -1\n", "soak_s"},
                          {"gates = 3\n", "no such key"},          {"what = \"cat\"\n", "what"}};
    for (const Case& test_case : cases) {
        try {
            parse_plan(kHead + test_case.line, "p", all_members());
            ADD_FAILURE() << test_case.line;
        } catch (const config::ConfigError& error) {
            EXPECT_NE(std::string(error.what()).find(test_case.expected_in_error), std::string::npos)
                << error.what();
        }
    }
}

}  // namespace sumackeel::rollout
