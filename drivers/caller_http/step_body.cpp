#include "drivers/caller_http/step_body.hpp"

#include "core/object_reader.hpp"

#include <limits>

namespace savorydock {

namespace {

constexpr integer_range any_number{0, std::numeric_limits<std::int64_t>::max()};
constexpr integer_range epoch_range{1, 1'000'000};
constexpr integer_range group_size_range{1, 1'024};
constexpr integer_range part_range{0, 65'535};
constexpr integer_range token_range{1, 1'000'000};
constexpr std::int64_t default_max_tokens = 256;
constexpr std::size_t max_slots = 65'536;

std::vector<bool> read_bitmap(object_reader& reader) {
    std::vector<bool> bits;
    if (!reader.has("held")) {
        return bits;
    }
    const std::string text = reader.text("held");
    if (text.find_first_not_of("01") != std::string::npos) {
        reader.report_fault("held", "a text of 0 and 1, one a slot");
        return bits;
    }
    for (const char bit : text) {
        bits.push_back(bit == '1');
    }
    return bits;
}

} // namespace

outcome<step_body> read_step_body(const std::string& text) {
    const auto parsed = parse_commented_json(text);
    if (!parsed) {
        return failure{result_code::not_run_bad_request,
                       parsed.reason().detail};
    }
    std::vector<document_fault> faults;
    object_reader reader(*parsed, "", faults);
    static_cast<void>(reader.text("model"));
    step_body body{
        .step = static_cast<std::uint64_t>(reader.integer("step", any_number)),
        .epoch =
            static_cast<session_epoch>(reader.integer("epoch", epoch_range, 1)),
        .part =
            static_cast<std::uint32_t>(reader.integer("part", part_range, 0)),
        .group_size = static_cast<std::uint32_t>(
            reader.integer("group_size", group_size_range, 1)),
        .held = read_bitmap(reader),
        .newest_version = static_cast<weight_version>(
            reader.integer("newest_version", any_number, 0)),
    };
    reader.objects("groups", true, [&](object_reader& group) {
        body.groups.push_back(
            {.prompt = group.text("prompt"),
             .max_tokens = static_cast<std::uint32_t>(group.integer(
                 "max_tokens", token_range, default_max_tokens))});
    });
    const std::size_t slots = body.groups.size() * body.group_size;
    if (slots == 0 || slots > max_slots) {
        reader.report_fault("groups", "1 to " + std::to_string(max_slots) +
                                          " slots in all");
    }
    if (body.held.empty()) {
        body.held.resize(slots);
    } else if (body.held.size() != slots) {
        reader.report_fault("held",
                            std::to_string(slots) + " digits, one a slot");
    }
    reader.finish();
    if (!faults.empty()) {
        return failure{result_code::not_run_bad_request, to_text(faults)};
    }
    return body;
}

} // namespace savorydock
