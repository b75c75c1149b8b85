#include "servers/configuration/line_diff.hpp"

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

namespace savorydock {

namespace {

using lines = std::vector<std::string_view>;
using line_span = std::span<const std::string_view>;

// Limits the table of `common_lengths` to 16 MB.
constexpr std::size_t max_table_cells = 4'000'000;

lines split_lines(std::string_view text) {
    lines result;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        result.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size()
                                                         : end + 1);
    }
    return result;
}

std::size_t common_prefix(line_span from, line_span to) {
    const std::size_t limit = std::min(from.size(), to.size());
    std::size_t count = 0;
    while (count < limit && from[count] == to[count]) {
        ++count;
    }
    return count;
}

std::size_t common_suffix(line_span from, line_span to) {
    const std::size_t limit = std::min(from.size(), to.size());
    std::size_t count = 0;
    while (count < limit &&
           from[from.size() - 1 - count] == to[to.size() - 1 - count]) {
        ++count;
    }
    return count;
}

// The lengths of the longest common subsequences of the lines of `from` from i
// on and the lines of `to` from j on, for all i and j.
class common_lengths {
public:
    common_lengths(line_span from, line_span to)
        : width_(to.size() + 1)
        , cells_((from.size() + 1) * width_) {
        for (std::size_t i = from.size(); i-- > 0;) {
            for (std::size_t j = to.size(); j-- > 0;) {
                cells_[i * width_ + j] =
                    from[i] == to[j] ? at(i + 1, j + 1) + 1
                                     : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
    }

    [[nodiscard]] std::uint32_t at(std::size_t i, std::size_t j) const {
        return cells_[i * width_ + j];
    }

private:
    std::size_t width_;
    std::vector<std::uint32_t> cells_;
};

class diff_writer {
public:
    explicit diff_writer(std::size_t first_line)
        : line_(first_line) {}

    void keep() {
        is_in_group_ = false;
        ++line_;
    }
    void remove(std::string_view line) {
        begin_group();
        write('-', line);
        ++line_;
    }
    void add(std::string_view line) {
        begin_group();
        write('+', line);
    }
    [[nodiscard]] std::string take() { return std::move(text_); }

private:
    void begin_group() {
        if (!is_in_group_) {
            text_ += "@@ " + std::to_string(line_) + '\n';
        }
        is_in_group_ = true;
    }
    void write(char mark, std::string_view line) {
        text_ += mark;
        text_ += line;
        text_ += '\n';
    }

    std::size_t line_;
    bool is_in_group_ = false;
    std::string text_;
};

void write_replaced(line_span from, line_span to, diff_writer& out) {
    for (const std::string_view line : from) {
        out.remove(line);
    }
    for (const std::string_view line : to) {
        out.add(line);
    }
}

void write_changes(line_span from, line_span to, diff_writer& out) {
    const common_lengths common(from, to);
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < from.size() && j < to.size()) {
        if (from[i] == to[j]) {
            out.keep();
            ++i;
            ++j;
        } else if (common.at(i + 1, j) >= common.at(i, j + 1)) {
            out.remove(from[i++]);
        } else {
            out.add(to[j++]);
        }
    }
    write_replaced(from.subspan(i), to.subspan(j), out);
}

} // namespace

std::string line_diff(std::string_view from, std::string_view to) {
    const lines old_lines = split_lines(from);
    const lines new_lines = split_lines(to);
    line_span left(old_lines);
    line_span right(new_lines);
    const std::size_t prefix = common_prefix(left, right);
    left = left.subspan(prefix);
    right = right.subspan(prefix);
    const std::size_t suffix = common_suffix(left, right);
    left = left.first(left.size() - suffix);
    right = right.first(right.size() - suffix);
    diff_writer out(prefix + 1);
    if (left.size() * right.size() > max_table_cells) {
        write_replaced(left, right, out);
    } else {
        write_changes(left, right, out);
    }
    return out.take();
}

} // namespace savorydock
