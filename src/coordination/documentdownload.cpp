#include "coordination/internal/documentdownload.h"

#include "coordination/internal/documentdelta.h"

#include <algorithm>

namespace daisyhaven::coordination {

void DocumentDownload::want(std::uint64_t version)
{
    wantedVersion_ = std::max(wantedVersion_, OptionalVersion(version));
}

void DocumentDownload::hold(ConfigurationDocument document)
{
    held_ = std::move(document);
    startOver(heldVersion(), std::nullopt);
}

wire::DocumentRequest DocumentDownload::nextRequest() const
{
    wire::DocumentRequest request;
    if (baseVersion_) {
        request.set_base_version(*baseVersion_);
    }
    if (version_) {
        request.set_version(*version_);
    }
    request.set_offset(received_.size());
    return request;
}

Result<std::optional<ConfigurationDocument>> DocumentDownload::add(const wire::DocumentChunk &chunk)
{
    if (!chunk.has_version()) {
        return std::optional<ConfigurationDocument>();
    }
    const OptionalVersion version = chunk.version();
    const OptionalVersion base =
        chunk.has_base_version() ? OptionalVersion(chunk.base_version()) : std::nullopt;
    const bool continues =
        version == version_ && base == baseVersion_ && chunk.offset() == received_.size();
    if (!continues) {
        const bool usable =
            chunk.offset() == 0 && version > heldVersion() && (!base || base == heldVersion());
        if (!usable) {
            return std::optional<ConfigurationDocument>();
        }
        startOver(base, version);
    }
    received_ += chunk.data();
    if (received_.size() < chunk.total_bytes()) {
        return std::optional<ConfigurationDocument>();
    }
    const auto decoded = attempt([this] { return decode(); });
    if (const auto *failure = std::get_if<Failure>(&decoded)) {
        startOver(std::nullopt, std::nullopt);
        return boost::leaf::new_error(*failure);
    }
    hold(std::get<ConfigurationDocument>(decoded));
    return held_;
}

void DocumentDownload::startOver(OptionalVersion baseVersion, OptionalVersion version)
{
    baseVersion_ = baseVersion;
    version_ = version;
    received_.clear();
}

Result<ConfigurationDocument> DocumentDownload::decode() const
{
    const std::string_view base = baseVersion_ ? std::string_view(held_->text) : "";
    BOOST_LEAF_AUTO(text, applyDelta(base, received_));
    return ConfigurationDocument { *version_, std::move(text), received_.size() };
}

} // namespace daisyhaven::coordination
