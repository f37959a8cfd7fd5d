#include "coordination/internal/documentdownload.h"

#include "coordination/internal/documentdelta.h"

#include <algorithm>

namespace daisyhaven::coordination {

void DocumentDownload::want(std::uint64_t version)
{
    wantedVersion_ = std::max(wantedVersion_, version);
}

void DocumentDownload::hold(ConfigurationDocument document)
{
    held_ = std::move(document);
    startOver(held_.version, 0);
}

wire::DocumentRequest DocumentDownload::nextRequest() const
{
    wire::DocumentRequest request;
    request.set_base_version(baseVersion_);
    request.set_version(version_);
    request.set_offset(received_.size());
    return request;
}

Result<std::optional<ConfigurationDocument>> DocumentDownload::add(const wire::DocumentChunk &chunk)
{
    const bool continues = chunk.version() == version_ && chunk.base_version() == baseVersion_
        && chunk.offset() == received_.size();
    if (!continues) {
        const bool usable = chunk.offset() == 0 && chunk.version() > held_.version
            && (chunk.base_version() == 0 || chunk.base_version() == held_.version);
        if (!usable) {
            return std::optional<ConfigurationDocument>();
        }
        startOver(chunk.base_version(), chunk.version());
    }
    received_ += chunk.data();
    if (received_.size() < chunk.total_bytes()) {
        return std::optional<ConfigurationDocument>();
    }
    const auto decoded = attempt([this] { return decode(); });
    if (const auto *failure = std::get_if<Failure>(&decoded)) {
        startOver(0, 0);
        return boost::leaf::new_error(*failure);
    }
    hold(std::get<ConfigurationDocument>(decoded));
    return std::optional<ConfigurationDocument>(held_);
}

void DocumentDownload::startOver(std::uint64_t baseVersion, std::uint64_t version)
{
    baseVersion_ = baseVersion;
    version_ = version;
    received_.clear();
}

Result<ConfigurationDocument> DocumentDownload::decode() const
{
    const std::string_view base = baseVersion_ == 0 ? "" : std::string_view(held_.text);
    BOOST_LEAF_AUTO(text, applyDelta(base, received_));
    return ConfigurationDocument { version_, std::move(text), received_.size() };
}

} // namespace daisyhaven::coordination
