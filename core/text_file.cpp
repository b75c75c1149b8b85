#include "core/text_file.hpp"

#include <fstream>
#include <sstream>

namespace savorydock {

outcome<std::string> read_text_file(const std::string& file) {
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        return failure{result_code::not_found, "cannot read " + file};
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace savorydock
