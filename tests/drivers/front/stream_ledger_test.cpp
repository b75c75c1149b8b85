#include "drivers/front/stream_ledger.hpp"
#include "servers/streams/stream_keys.hpp"
#include "tests/fakes/fake_users_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

class stream_ledger_test : public ::testing::Test {
public:
    /// Starts to record streams, all at once.
    void record(std::size_t count) {
        const auto now = std::chrono::steady_clock::now();
        for (std::size_t at = 0; at < count; ++at) {
            const request_id id("r" + std::to_string(at));
            asio::co_spawn(context,
                           ledger.record(id, origin, now + 2s, now + 100ms),
                           [this](const std::exception_ptr&, bool is_stored) {
                               stored += is_stored ? 1 : 0;
                           });
        }
    }

    template <class Test>
    bool wait(Test is_done) {
        const auto end = std::chrono::steady_clock::now() + 3s;
        while (!is_done() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(5ms);
        }
        return is_done();
    }

    asio::io_context context;
    null_logger log;
    fake_users_store fake;
    store_client store{context, {.address = fake.address()}, log};
    std::chrono::milliseconds interval{0};
    stream_ledger ledger{
        context,
        store,
        {.write_interval = [this] { return interval; }, .retention = 200ms},
        log};
    stream_origin origin{.service = service_name("s"),
                         .software = software_version("v1")};
    std::size_t stored = 0;
};

} // namespace

TEST_F(stream_ledger_test, streams_that_begin_together_share_writes) {
    record(100);
    ASSERT_TRUE(wait([&] { return stored == 100; }));
    EXPECT_EQ(fake.values().size(), 100U);
    const auto writes = store.counters().calls_by_kind[static_cast<std::size_t>(
        store_call_kind::transaction)];
    // One for the first, and 32 streams in each of the others.
    EXPECT_LE(writes, 5U);
}

TEST_F(stream_ledger_test, writes_keep_their_interval) {
    interval = 150ms;
    const auto begin = std::chrono::steady_clock::now();
    record(65);
    ASSERT_TRUE(wait([&] { return stored == 65; }));
    EXPECT_GE(std::chrono::steady_clock::now() - begin, 2 * interval);
}

// Guards against writes that come up to a millisecond too early each, so that
// the store gets more of them than its limit allows.
TEST_F(stream_ledger_test, many_writes_keep_their_interval) {
    interval = 20ms;
    const auto begin = std::chrono::steady_clock::now();
    record(8 * max_transaction_entries + 1);
    ASSERT_TRUE(
        wait([&] { return stored == 8 * max_transaction_entries + 1; }));
    EXPECT_GE(std::chrono::steady_clock::now() - begin, 8 * interval);
}

TEST_F(stream_ledger_test, records_are_deleted_after_their_streams) {
    record(40);
    ASSERT_TRUE(wait([&] { return stored == 40; }));
    EXPECT_EQ(fake.values().size(), 40U);
    EXPECT_TRUE(wait([&] { return fake.values().empty(); }));
}

// Guards against a stream that can't be recorded: keys of the store are text.
TEST_F(stream_ledger_test, id_that_is_not_utf8_has_a_key_of_text) {
    EXPECT_TRUE(is_utf8(stream_record_key(request_id("a\xff"))));
    EXPECT_NE(stream_record_key(request_id("a\xff")),
              stream_record_key(request_id("a\xfe")));
}

TEST_F(stream_ledger_test, long_id_fits_into_a_key) {
    EXPECT_LE(stream_record_key(request_id(std::string(500, 'x'))).size(),
              200U);
    EXPECT_NE(stream_record_key(request_id(std::string(500, 'x'))),
              stream_record_key(request_id(std::string(500, 'y'))));
}
