// Measures entry instances that run as processes: processor time and memory of
// idle fleets of several sizes, added latency, and processor time per request
// and per token. Prints one JSON line per measurement.
#include "core/service_document.hpp"
#include "drivers/platform_kv/publisher.hpp"
#include "tests/fakes/child_process.hpp"
#include "tests/fakes/fake_platform.hpp"
#include "tests/load/load_client.hpp"
#include "tests/load/process_usage.hpp"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <thread>

DEFINE_string(bin, "build/bin", "Folder that contains the programs");
DEFINE_string(charts, "charts", "Folder that contains the state charts");
DEFINE_string(instances, "1,3,9,27", "Sizes of the idle fleets to measure");
DEFINE_uint32(rounds, 3,
              "Number of rounds of the latency and stream measurements");

namespace {

using namespace savorydock;
using namespace std::chrono_literals;
namespace json = boost::json;

constexpr std::size_t zone_count = 4;
constexpr std::chrono::seconds settle_time{4};
constexpr std::chrono::seconds idle_time{10};
constexpr std::chrono::seconds start_limit{20};
constexpr std::uint32_t stream_tokens = 2'000;

std::string value_of(const std::string& line, const std::string& name) {
    const std::size_t begin = line.find(name + "=") + name.size() + 1;
    return line.substr(begin, line.find(' ', begin) - begin);
}

/// Runs a fleet of entry instances with one test double each of the platform,
/// a plain service and an engine.
class load_fleet {
public:
    explicit load_fleet(std::size_t size)
        : folder_(std::filesystem::temp_directory_path() /
                  ("entry_load_" + std::to_string(getpid()))) {
        std::filesystem::create_directories(folder_);
        platform_address_ = *platform_.listen({.address = "127.0.0.1"});
        service_address_ = start_fake("fake-service", {});
        engine_address_ = start_fake("fake-engine", {"--token_delay_ms=0"});
        for (std::size_t i = 0; i < size; ++i) {
            peer_ports_.push_back(find_free_port());
        }
        for (std::size_t i = 0; i < size; ++i) {
            start_entry(i);
        }
        publish();
        std::this_thread::sleep_for(settle_time);
    }

    ~load_fleet() {
        entries_.clear();
        std::filesystem::remove_all(folder_);
    }

    [[nodiscard]] const endpoint& service() const { return service_address_; }
    [[nodiscard]] const endpoint& caller() const { return caller_address_; }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    [[nodiscard]] process_usage usage() const {
        process_usage all;
        for (const auto& entry : entries_) {
            const process_usage one = read_usage(entry->pid());
            all.processor += one.processor;
            all.resident_bytes += one.resident_bytes;
        }
        return all;
    }

private:
    endpoint start_fake(const std::string& program,
                        std::vector<std::string> flags) {
        fakes_.push_back(std::make_unique<child_process>(FLAGS_bin, program,
                                                         std::move(flags)));
        const std::string line =
            fakes_.back()->wait_for_line("listening", start_limit);
        return *parse_endpoint(line.substr(line.find(' ') + 1));
    }

    std::string write_file(const std::string& name, const json::object& body) {
        const std::string file = (folder_ / name).string();
        std::ofstream(file) << json::serialize(body);
        return file;
    }

    [[nodiscard]] json::object settings_of(std::size_t i) const {
        const auto zone = [](std::size_t index) {
            return "z" + std::to_string(index % zone_count);
        };
        const auto peer_of = [&](std::size_t index) {
            return "127.0.0.1:" + std::to_string(peer_ports_[index]);
        };
        json::array peers;
        for (std::size_t j = 0; j < peer_ports_.size(); ++j) {
            if (j != i) {
                json::object peer{{"name", "i" + std::to_string(j)},
                                  {"zone", zone(j)},
                                  {"address", peer_of(j)}};
                peers.push_back(std::move(peer));
            }
        }
        json::array platform{to_text(platform_address_)};
        return {{"instance", "i" + std::to_string(i)},
                {"zone", zone(i)},
                {"caller_listen", "127.0.0.1:0"},
                {"operator_listen", "127.0.0.1:0"},
                {"peer_listen", peer_of(i)},
                {"operator_key", "k"},
                {"peer_key", "p"},
                {"platform", std::move(platform)},
                {"peers", std::move(peers)},
                {"log_level", "error"},
                {"chart_folder", FLAGS_charts}};
    }

    void start_entry(std::size_t i) {
        const std::string file =
            write_file("i" + std::to_string(i) + ".json", settings_of(i));
        entries_.push_back(std::make_unique<child_process>(
            FLAGS_bin, "savorydock-entry",
            std::vector<std::string>{"--settings=" + file}));
        const std::string line =
            entries_.back()->wait_for_line("listening", start_limit);
        if (i == 0) {
            caller_address_ = *parse_endpoint(value_of(line, "caller"));
        }
    }

    [[nodiscard]] json::object document(const std::string& service,
                                        const std::string& kind,
                                        const endpoint& address) const {
        json::object rule{{"name", "c"}, {"interactive", true}};
        json::object caller{{"name", "load"}, {"key", "key"}, {"class", "c"}};
        json::object upstream{{"name", "u"},
                              {"zone", "z0"},
                              {"address", to_text(address)},
                              {"slots", 256}};
        return {{"service", service},
                {"kind", kind},
                {"classes", json::array{std::move(rule)}},
                {"callers", json::array{std::move(caller)}},
                {"upstreams", json::array{std::move(upstream)}}};
    }

    void publish() {
        json::object plain = document("plain", "plain", service_address_);
        json::object call{{"path", "/echo"}, {"idempotent", true}};
        plain["calls"] = json::array{std::move(call)};
        json::object model = document("model", "model", engine_address_);
        model["weights"] = json::object();
        const std::vector<std::string> files{write_file("plain.json", plain),
                                             write_file("model.json", model)};
        publisher target(
            {.platform = {platform_address_}, .operator_name = "load"});
        static_cast<void>(target.publish_files(files));
    }

    std::filesystem::path folder_;
    fake_platform platform_;
    endpoint platform_address_;
    endpoint service_address_;
    endpoint engine_address_;
    endpoint caller_address_;
    std::vector<std::uint16_t> peer_ports_;
    std::vector<std::unique_ptr<child_process>> fakes_;
    std::vector<std::unique_ptr<child_process>> entries_;
};

void print(const json::object& line) {
    std::cout << json::serialize(line) << std::endl;
}

void measure_idle_fleet(std::size_t size) {
    const load_fleet fleet(size);
    const process_usage before = fleet.usage();
    std::this_thread::sleep_for(idle_time);
    const process_usage after = fleet.usage();
    const auto count = static_cast<double>(size);
    const double used =
        static_cast<double>((after.processor - before.processor).count());
    constexpr double ms_per_second = 1000;
    const double time = std::chrono::duration<double>(idle_time).count();
    print({{"measurement", "at_rest"},
           {"instances", size},
           {"processor_percent", used / ms_per_second / time / count * 100.0},
           {"resident_mib", static_cast<double>(after.resident_bytes) / count /
                                (1024.0 * 1024.0)}});
}

http_request echo_request(const std::string& path) {
    return {.method = "POST",
            .target = path,
            .headers = {{"Authorization", "Bearer key"}},
            .body = "hello"};
}

void print_load(const std::string& name, const load_result& result,
                const load_options& options, std::chrono::milliseconds used) {
    const auto answers = static_cast<double>(result.answers);
    print({{"measurement", name},
           {"connections", options.connections},
           {"answers", result.answers},
           {"failures", result.failures},
           {"answers_per_s",
            answers / std::chrono::duration<double>(options.duration).count()},
           {"p50_us", result.quantile(0.5).count()},
           {"p99_us", result.quantile(0.99).count()},
           {"entry_processor_us_per_answer",
            answers == 0
                ? 0.0
                : std::chrono::duration<double, std::micro>(used).count() /
                      answers}});
}

load_result measure(const load_fleet& fleet, const std::string& name,
                    const load_options& options) {
    const process_usage before = fleet.usage();
    load_result result = run_load(options);
    print_load(name, result, options,
               fleet.usage().processor - before.processor);
    return result;
}

void measure_traffic(const load_fleet& fleet) {
    load_options direct{.target = fleet.service(),
                        .request = echo_request("/echo")};
    load_options via_entry{.target = fleet.caller(),
                           .request = echo_request("/v1/services/plain/echo")};
    measure(fleet, "direct_full", direct);
    const load_result full = measure(fleet, "entry_full", via_entry);
    // Repeats both measurements at half of the entry's maximum throughput.
    const double half = static_cast<double>(full.answers) / 2;
    const auto interval = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double>(via_entry.duration) *
        static_cast<double>(via_entry.connections) / std::max(half, 1.0));
    direct.interval = interval;
    via_entry.interval = interval;
    measure(fleet, "direct_half", direct);
    measure(fleet, "entry_half", via_entry);
}

void measure_stream(const load_fleet& fleet) {
    json::object body{{"model", "model"},
                      {"prompt", "p"},
                      {"max_tokens", stream_tokens},
                      {"stream", true}};
    const load_options options{
        .target = fleet.caller(),
        .request = {.method = "POST",
                    .target = "/v1/completions",
                    .headers = {{"Authorization", "Bearer key"}},
                    .body = json::serialize(body)},
        .connections = 8};
    const process_usage before = fleet.usage();
    const load_result result = run_load(options);
    const auto used = fleet.usage().processor - before.processor;
    const double tokens = static_cast<double>(result.answers) * stream_tokens;
    print({{"measurement", "stream"},
           {"answers", result.answers},
           {"failures", result.failures},
           {"tokens_per_s",
            tokens / std::chrono::duration<double>(options.duration).count()},
           {"entry_resident_mib",
            static_cast<double>(fleet.usage().resident_bytes) /
                (1024.0 * 1024.0)},
           {"entry_processor_us_per_token",
            tokens == 0
                ? 0.0
                : std::chrono::duration<double, std::micro>(used).count() /
                      tokens}});
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::istringstream sizes(FLAGS_instances);
    std::string size;
    while (std::getline(sizes, size, ',')) {
        measure_idle_fleet(std::stoul(size));
    }
    const load_fleet fleet(1);
    for (std::uint32_t round = 0; round < FLAGS_rounds; ++round) {
        measure_traffic(fleet);
        measure_stream(fleet);
    }
    return 0;
}
