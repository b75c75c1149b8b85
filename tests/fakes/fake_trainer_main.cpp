#include "tests/fakes/fake_trainer.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(entries, "", "Entry instances, separated by commas");
DEFINE_string(key, "", "Access key of the trainer");
DEFINE_string(model, "", "Name of the model service");
DEFINE_uint64(step, 1, "Number of the step");
DEFINE_uint32(groups, 2, "Number of groups in the step");
DEFINE_uint32(group_size, 4, "Samples per group");
DEFINE_uint32(max_tokens, 16, "Tokens per sample");
DEFINE_uint32(timeout_s, 60, "Time limit of the step, in seconds");

namespace {

void print(const savorydock::trainer_sample& sample) {
    std::cout << "sample group=" << sample.group << " index=" << sample.index
              << " by=" << sample.instance << " versions=";
    for (const savorydock::version_range& range : sample.versions) {
        std::cout << '[' << range.first << ',' << range.last << ")v"
                  << range.version;
    }
    std::cout << std::endl;
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto entries = savorydock::parse_endpoints(FLAGS_entries);
    if (!entries) {
        std::cerr << "--entries: expected ADDRESS[,ADDRESS]\n";
        return 2;
    }
    savorydock::fake_trainer trainer(
        {.entries = *entries,
         .key = FLAGS_key,
         .model = FLAGS_model,
         .step = FLAGS_step,
         .groups = FLAGS_groups,
         .group_size = FLAGS_group_size,
         .max_tokens = FLAGS_max_tokens,
         .timeout = std::chrono::seconds(FLAGS_timeout_s)});
    const auto report = trainer.run(print);
    std::cout << "step " << FLAGS_step << ": " << report.samples.size()
              << " samples, " << report.doubled << " doubled, "
              << report.connects << " connects, "
              << (report.is_complete ? "complete"
                                     : "incomplete: " + report.last_problem)
              << std::endl;
    return report.is_complete && report.doubled == 0 ? 0 : 1;
}
