#include "servers/streams/default_origin_keeper.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class default_origin_keeper_test : public ::testing::Test {
public:
    void list(const std::string& software, std::size_t count,
              bool is_draining = false, const std::string& service = "s") {
        for (std::size_t at = 0; at < count; ++at) {
            upstreams.push_back(
                {.id = upstream_id(std::to_string(upstreams.size())),
                 .service = service_name(service),
                 .is_draining = is_draining,
                 .software = software_version(software)});
        }
    }

    std::string update() {
        in_force = keeper.update(routes, upstreams, in_force, now);
        const auto origin = in_force.find("r");
        return origin == in_force.end() ? ""
                                        : origin->second.service.text() + "/" +
                                              origin->second.software.text();
    }

    steady_time now{1h};
    default_origin_keeper keeper{{.replace_after = 35s}};
    std::vector<route_rule> routes{
        {.name = "r",
         .kind = request_kind::stream,
         .services = {{.service = service_name("s")}},
         .is_resumable = true}};
    std::vector<upstream_entry> upstreams;
    default_origins in_force;
};

} // namespace

TEST_F(default_origin_keeper_test, first_default_is_the_most_common_version) {
    EXPECT_EQ(update(), "");
    list("v1", 1);
    list("v2", 3);
    list("v3", 5, true);
    EXPECT_EQ(update(), "s/v2");
}

TEST_F(default_origin_keeper_test, replaced_version_stays_while_streams_live) {
    list("v1", 4);
    EXPECT_EQ(update(), "s/v1");
    list("v2", 9);
    now += 10min;
    EXPECT_EQ(update(), "s/v1");
    upstreams.clear();
    list("v2", 9);
    // A draining upstream may still have streams.
    list("v1", 1, true);
    now += 1min;
    EXPECT_EQ(update(), "s/v1");
    upstreams.pop_back();
    EXPECT_EQ(update(), "s/v1");
    now += 34s;
    EXPECT_EQ(update(), "s/v1");
    now += 1s;
    EXPECT_EQ(update(), "s/v2");
}

TEST_F(default_origin_keeper_test, returning_version_starts_the_wait_again) {
    list("v1", 1);
    EXPECT_EQ(update(), "s/v1");
    upstreams.clear();
    list("v2", 1);
    EXPECT_EQ(update(), "s/v1");
    now += 30s;
    list("v1", 1);
    EXPECT_EQ(update(), "s/v1");
    upstreams.pop_back();
    now += 30s;
    EXPECT_EQ(update(), "s/v1");
    now += 34s;
    EXPECT_EQ(update(), "s/v1");
}

TEST_F(default_origin_keeper_test, wait_doesnt_count_time_with_old_lists) {
    list("v1", 1);
    EXPECT_EQ(update(), "s/v1");
    upstreams.clear();
    list("v2", 1);
    EXPECT_EQ(update(), "s/v1");
    keeper.reset();
    now += 40s;
    EXPECT_EQ(update(), "s/v1");
}

// Two services may use the same names of versions.
TEST_F(default_origin_keeper_test,
       moved_route_keeps_its_old_service_for_a_time) {
    list("v1", 1);
    list("v1", 5, false, "other");
    EXPECT_EQ(update(), "s/v1");
    routes[0].services = {{.service = service_name("other")}};
    EXPECT_EQ(update(), "s/v1");
    now += 35s;
    EXPECT_EQ(update(), "other/v1");
}
