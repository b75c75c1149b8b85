#include "tests/fakes/fake_trainer.hpp"

#include "drivers/http/event_stream_reader.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds reconnect_pause{20};

std::vector<version_range> read_versions(const json::array& list) {
    std::vector<version_range> versions;
    for (const json::value& entry : list) {
        versions.push_back(
            {.first = entry.at("first").to_number<std::uint32_t>(),
             .last = entry.at("last").to_number<std::uint32_t>(),
             .version = entry.at("version").to_number<weight_version>()});
    }
    return versions;
}

} // namespace

fake_trainer::fake_trainer(trainer_options options)
    : options_(std::move(options))
    , received_(std::size_t{options_.groups} * options_.group_size) {}

trainer_report fake_trainer::run(const sample_handler& on_sample) {
    asio::io_context context(1);
    http_client client(context);
    deadline_ = std::chrono::steady_clock::now() + options_.timeout;
    asio::co_spawn(context, run_all(client, on_sample), asio::detached);
    context.run();
    report_.is_complete = std::all_of(received_.begin(), received_.end(),
                                      [](bool bit) { return bit; });
    return report_;
}

asio::awaitable<void> fake_trainer::run_all(http_client& client,
                                            const sample_handler& on_sample) {
    const auto is_done = [&] {
        return std::all_of(received_.begin(), received_.end(),
                           [](bool bit) { return bit; }) ||
               std::chrono::steady_clock::now() >= deadline_;
    };
    while (!is_done()) {
        co_await connect(client, on_sample);
        if (!is_done()) {
            asio::steady_timer pause(co_await asio::this_coro::executor,
                                     reconnect_pause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
}

asio::awaitable<void> fake_trainer::connect(http_client& client,
                                            const sample_handler& on_sample) {
    const endpoint entry =
        options_.entries.at(report_.connects % options_.entries.size());
    ++report_.connects;
    http_request request{
        .method = "POST",
        .target = "/v1/steps",
        .headers = {{"Authorization", "Bearer " + options_.key},
                    {"Content-Type", "application/json"}},
        .body = make_body(),
    };
    auto opened = co_await client.open(entry, std::move(request), deadline_);
    if (!opened) {
        report_.last_problem = opened.reason().detail;
        co_return;
    }
    http_stream& stream = **opened;
    const std::string instance(
        find_header(stream.headers(), "Savorydock-Instance"));
    event_stream_reader reader;
    while (true) {
        const auto part = co_await stream.read_some(deadline_);
        if (!part || part->empty()) {
            report_.last_problem = part ? "" : part.reason().detail;
            co_return;
        }
        if (stream.status() != 200) {
            report_.last_problem = *part;
            continue;
        }
        static_cast<void>(reader.feed(*part));
        while (const auto data = reader.next()) {
            store_sample(*data, instance, on_sample);
        }
    }
}

void fake_trainer::store_sample(const std::string& data,
                                const std::string& instance,
                                const sample_handler& on_sample) {
    json::error_code error;
    const json::value parsed = json::parse(data, error);
    if (error || !parsed.is_object() ||
        !parsed.get_object().contains("group")) {
        return;
    }
    trainer_sample sample{
        .group = parsed.at("group").to_number<std::uint32_t>(),
        .index = parsed.at("index").to_number<std::uint32_t>(),
        .text = std::string(parsed.at("text").as_string()),
        .versions = read_versions(parsed.at("versions").as_array()),
        .instance = instance,
    };
    const std::size_t slot =
        std::size_t{sample.group} * options_.group_size + sample.index;
    if (received_.at(slot)) {
        ++report_.doubled;
        return;
    }
    received_[slot] = true;
    if (on_sample) {
        on_sample(sample);
    }
    report_.samples.push_back(std::move(sample));
}

std::string fake_trainer::make_body() const {
    json::array groups;
    for (std::uint32_t group = 0; group < options_.groups; ++group) {
        json::object entry{
            {"prompt", options_.prompt + ' ' + std::to_string(group)},
            {"max_tokens", options_.max_tokens}};
        groups.push_back(std::move(entry));
    }
    std::string held;
    for (const bool bit : received_) {
        held += bit ? '1' : '0';
    }
    json::object body{
        {"model", options_.model},
        {"step", options_.step},
        {"epoch", report_.connects},
        {"group_size", options_.group_size},
        {"groups", std::move(groups)},
        {"held", held},
        {"newest_version", options_.newest_version},
    };
    return json::serialize(body);
}

} // namespace savorydock
