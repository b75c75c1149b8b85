#include "drivers/operator_http/operator_command.hpp"

#include <gflags/gflags.h>

DEFINE_string(operator_address, "",
              "Operator addresses of instances, separated by commas; all "
              "commands except publish --wait use only the first");
DEFINE_string(operator_key, "", "The operator key of the deployment");
DEFINE_string(platform, "",
              "Addresses of the platform store, separated by commas");
DEFINE_string(operator_name, "",
              "Name recorded as the publisher; default is $USER");
DEFINE_bool(json, false, "Print JSON instead of text");
DEFINE_bool(wait, false,
            "publish: wait until the instances use the published files");
DEFINE_bool(platform_form, false,
            "check: the file is a configuration of the users' platform");
DEFINE_string(against, "",
              "check --platform_form: file with the configuration in force");
DEFINE_int32(timeout_s, 30, "Timeout of a command, in seconds");

int main(int argc, char** argv) {
    gflags::SetUsageMessage(savorydock::operator_usage());
    gflags::SetVersionString(SAVORYDOCK_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return savorydock::run_operator_command({
        .arguments = {argv + 1, argv + argc},
        .operator_address = FLAGS_operator_address,
        .operator_key = FLAGS_operator_key,
        .platform = FLAGS_platform,
        .operator_name = FLAGS_operator_name,
        .is_json = FLAGS_json,
        .is_waiting = FLAGS_wait,
        .is_platform_form = FLAGS_platform_form,
        .against = FLAGS_against,
        .timeout = std::chrono::seconds(FLAGS_timeout_s),
    });
}
