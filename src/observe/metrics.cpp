#include "observe/observe.h"

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

#include <malloc.h>

namespace daisyhaven {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> Quantiles { 0.5, 0.9, 0.99 };

std::string escapeLabelValue(const std::string &value)
{
    std::string text;
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c == '\n' ? ' ' : c;
    }
    return text;
}

std::string formatLabels(const Labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        if (!text.empty()) {
            text += ",";
        }
        text += name + "=\"" + escapeLabelValue(value) + "\"";
    }
    return text;
}

std::string wrapInBraces(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

void writeMetricFamily(std::ostream &out, const std::string &name, const char *type,
                       const std::map<std::string, double> &series)
{
    out << "# TYPE " << name << " " << type << "\n";
    for (const auto &[labels, value] : series) {
        out << name << wrapInBraces(labels) << " " << value << "\n";
    }
}

} // namespace

class Metrics::Summary
{
public:
    Summary() : set_(accumulators::extended_p_square_probabilities = Quantiles) { }

    void add(double sample) { set_(sample); }

    void write(std::ostream &out, const std::string &name, const std::string &labels) const
    {
        const std::string prefix = labels.empty() ? "" : labels + ",";
        for (std::size_t i = 0; i < Quantiles.size(); ++i) {
            out << name << "{" << prefix << "quantile=\"" << Quantiles[i] << "\"} "
                << accumulators::extended_p_square(set_)[i] << "\n";
        }
        out << name << "_sum" << wrapInBraces(labels) << " " << accumulators::sum(set_) << "\n";
        out << name << "_count" << wrapInBraces(labels) << " " << accumulators::count(set_) << "\n";
    }

private:
    using Statistics = accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                                           accumulators::tag::extended_p_square>;
    accumulators::accumulator_set<double, Statistics> set_;
};

std::size_t heapBytesInUse()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::addToCounter(std::string_view name, const Labels &labels, double amount)
{
    counters_[std::string(name)][formatLabels(labels)] += amount;
}

void Metrics::setGauge(std::string_view name, const Labels &labels, double value)
{
    gauges_[std::string(name)][formatLabels(labels)] = value;
}

void Metrics::observe(std::string_view name, const Labels &labels, double seconds)
{
    auto &summary = summaries_[std::string(name)][formatLabels(labels)];
    if (!summary) {
        summary = std::make_unique<Summary>();
    }
    summary->add(seconds);
}

double Metrics::value(std::string_view name, const Labels &labels) const
{
    for (const auto *families : { &counters_, &gauges_ }) {
        const auto family = families->find(name);
        if (family == families->end()) {
            continue;
        }
        const auto series = family->second.find(formatLabels(labels));
        if (series != family->second.end()) {
            return series->second;
        }
    }
    return 0;
}

std::string Metrics::expositionText() const
{
    std::ostringstream out;
    out.precision(9);
    for (const auto &[name, series] : counters_) {
        writeMetricFamily(out, name, "counter", series);
    }
    for (const auto &[name, series] : gauges_) {
        writeMetricFamily(out, name, "gauge", series);
    }
    for (const auto &[name, series] : summaries_) {
        out << "# TYPE " << name << " summary\n";
        for (const auto &[labels, summary] : series) {
            summary->write(out, name, labels);
        }
    }
    return out.str();
}

} // namespace daisyhaven
