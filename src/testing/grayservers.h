// Backend servers that fail in episodes, for simulations in virtual time.
//
// Example:
//     FailureEpisodes episodes(random, 0.3, Seconds(12));
//     episodes.addServer(now, "a1");
//     episodes.update(now);
//     if (episodes.isFailing("a1")) { ... }
#pragma once

#include "timer/timer.h"

#include <cmath>
#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace daisyhaven::scheduler {

// Returns true with probability `share`.
inline bool drawBernoulli(std::mt19937_64 &random, double share)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
}

// Returns a service time with a lognormal distribution.
inline Duration drawServiceTime(std::mt19937_64 &random, double meanMs, double sigma)
{
    const double mu = std::log(meanMs) - sigma * sigma / 2;
    const double ms = std::lognormal_distribution<double>(mu, sigma)(random);
    return Duration(static_cast<Duration::rep>(ms * 1000));
}

// Draws for each server, once in an episode's length, whether it fails. The servers' episodes begin
// at different times.
class FailureEpisodes
{
public:
    FailureEpisodes(std::mt19937_64 &random, double failingShare, Duration length)
        : random_(random), failingShare_(failingShare), length_(length)
    {
    }

    void addServer(Instant now, const std::string &id)
    {
        Episode &episode = episodes_[id];
        draw(episode);
        const double part = std::uniform_real_distribution<double>(0, 1)(random_);
        episode.nextDrawAt =
            now + Duration(static_cast<Duration::rep>(part * static_cast<double>(length_.count())));
    }

    void update(Instant now)
    {
        for (auto &[id, episode] : episodes_) {
            if (now >= episode.nextDrawAt) {
                draw(episode);
                episode.nextDrawAt += length_;
            }
        }
    }

    bool isFailing(const std::string &id) const { return episodes_.at(id).failing; }
    // Number of times that a server started to fail.
    std::uint64_t startedCount() const { return startedCount_; }

private:
    struct Episode
    {
        bool failing = false;
        Instant nextDrawAt;
    };

    void draw(Episode &episode)
    {
        const bool failed = episode.failing;
        episode.failing = drawBernoulli(random_, failingShare_);
        startedCount_ += episode.failing && !failed ? 1 : 0;
    }

    std::mt19937_64 &random_;
    double failingShare_;
    Duration length_;
    std::map<std::string, Episode> episodes_;
    std::uint64_t startedCount_ = 0;
};

} // namespace daisyhaven::scheduler
