#include "operator/internal/logreader.h"
#include "operator/operator.h"

#include <algorithm>
#include <cctype>
#include <map>

namespace daisyhaven::operations {

namespace {

using internal::fieldText;
using internal::LogLine;

constexpr std::int64_t MillisecondsPerSecond = 1000;
constexpr std::size_t SecondsShown = 10;
constexpr std::size_t CausesShownPerSecond = 3;
// Logs name neither the value of a request nor of a late response; a late response counts as half
// of a lost one.
constexpr double LateWeight = 0.5;

struct CauseCounts
{
    std::map<std::string, std::size_t> countByCause;
    double lost = 0;

    void add(const std::string &cause, double weight)
    {
        ++countByCause[cause];
        lost += weight;
    }
};

// Removes the figures from a detail, so that lines with the same cause are counted together.
std::string withoutFigures(const std::string &detail)
{
    std::string text;
    for (const char character : detail) {
        const bool isDigit = std::isdigit(static_cast<unsigned char>(character)) != 0;
        if (!isDigit) {
            text += character;
        } else if (text.empty() || text.back() != '#') {
            text += '#';
        }
    }
    return text;
}

std::string causeOf(const LogLine &line)
{
    if (line.name == "RequestLate") {
        return "late, sends=" + fieldText(line, "sends");
    }
    return line.name + " " + fieldText(line, "result") + ": "
        + withoutFigures(fieldText(line, "detail"));
}

bool isLoss(const LogLine &line)
{
    return line.name == "RequestFailed" || line.name == "RequestRefused"
        || line.name == "RequestLate";
}

void printCauses(std::ostream &out, const CauseCounts &counts, std::size_t limit)
{
    std::vector<std::pair<std::size_t, std::string>> causes;
    causes.reserve(counts.countByCause.size());
    for (const auto &[cause, count] : counts.countByCause) {
        causes.emplace_back(count, cause);
    }
    std::sort(causes.rbegin(), causes.rend());
    causes.resize(std::min(causes.size(), limit));
    for (const auto &[count, cause] : causes) {
        out << "  " << count << "  " << cause << "\n";
    }
}

} // namespace

Result<int> explainSeconds(const std::vector<std::string> &files, std::ostream &out)
{
    BOOST_LEAF_AUTO(logs, internal::readLogs(files));
    CauseCounts total;
    std::map<std::int64_t, CauseCounts> bySecond;
    for (const LogLine &line : logs.lines) {
        if (!isLoss(line)) {
            continue;
        }
        const std::string cause = causeOf(line);
        const double weight = line.name == "RequestLate" ? LateWeight : 1;
        total.add(cause, weight);
        bySecond[line.timeMs / MillisecondsPerSecond].add(cause, weight);
    }
    out << "lost requests by cause (refused, failed or late; of attempts, not of callers):\n";
    printCauses(out, total, total.countByCause.size());
    std::vector<std::pair<double, std::int64_t>> worst;
    worst.reserve(bySecond.size());
    for (const auto &[second, counts] : bySecond) {
        worst.emplace_back(counts.lost, second);
    }
    std::sort(worst.rbegin(), worst.rend());
    worst.resize(std::min(worst.size(), SecondsShown));
    const std::int64_t start =
        logs.lines.empty() ? 0 : logs.lines.front().timeMs / MillisecondsPerSecond;
    for (const auto &[lost, second] : worst) {
        out << "second " << second - start << " of the logs: " << lost << " lost\n";
        printCauses(out, bySecond.at(second), CausesShownPerSecond);
    }
    if (logs.malformedLines > 0) {
        out << logs.malformedLines << " malformed lines were skipped\n";
    }
    return 0;
}

} // namespace daisyhaven::operations
