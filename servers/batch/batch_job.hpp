#pragma once

#include "core/http_message.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

using job_id = text_id<struct job_tag>;
using item_id = text_id<struct item_tag>;

/// The call that scores a finished sample.
struct scoring_call {
    std::string id;
    std::string host;
    std::string path;
    std::string body;
};

/// One item of a batch job as its trainer sent it.
struct batch_item {
    item_id id;
    std::string path;
    http_headers headers;
    std::string body;
    std::uint64_t prompt_tokens = 0;
    /// The largest number of generated tokens.
    std::uint64_t max_tokens = 0;
    /// The caller's estimate of the generated tokens; 0 if it gave none.
    std::uint64_t expected_tokens = 0;
    /// Items of a group share their prompt; empty without groups.
    std::string group;
    std::optional<scoring_call> scoring;
};

/// A submission, decoded.
struct batch_job {
    job_id id;
    /// Host that the items are run with.
    std::string host;
    std::string model;
    /// The oldest version that may generate tokens of its items.
    weight_version min_version = 0;
    /// Groups that the trainer waits for; 0 means all.
    std::uint32_t target_groups = 0;
    std::vector<batch_item> items;
};

/// What everyone may know of an accepted job.
struct job_record {
    job_id id;
    /// Name of its route, and the host that its items are run with.
    std::string route;
    std::string host;
    service_name service;
    std::uint32_t total = 0;
    /// Keys that hold the submission.
    std::uint32_t parts = 1;
    /// Wall clock at the acceptance, in Unix milliseconds.
    std::int64_t accepted_at = 0;
    /// Its trainer ended it, or all results are listed.
    bool is_ended = false;
    /// All results are listed.
    bool is_complete = false;
};

/// One listed result. Its position is its index over the job's results.
struct item_result {
    item_id item;
    /// False: it was given up.
    bool is_completed = false;
    std::string text;
    std::vector<weight_version> versions;
    std::string score;
};

} // namespace savorydock
