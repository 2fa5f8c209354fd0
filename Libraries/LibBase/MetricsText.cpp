#include "LibBase/MetricsText.h"

#include <array>
#include <sstream>

namespace sesameseam {

namespace {

constexpr std::array kQuantiles = { 0.5, 0.9, 0.99 };
constexpr int kDigits = 12;

std::string
Escape(const std::string& aText)
{
  std::string escaped;
  for (char byte : aText) {
    if (byte == '\\' || byte == '"') {
      escaped += '\\';
    }
    escaped += byte == '\n' ? ' ' : byte;
  }
  return escaped;
}

std::string
PrintLabels(const MetricLabels& aLabels)
{
  std::string text;
  for (const auto& [name, value] : aLabels) {
    text += (text.empty() ? "" : ",") + name + "=\"" + Escape(value) + "\"";
  }
  return text.empty() ? "" : "{" + text + "}";
}

std::string
PrintNumber(double aValue)
{
  std::ostringstream out;
  out.precision(kDigits);
  out << aValue;
  return out.str();
}

std::string
PrintLine(const std::string& aName, const MetricLabels& aLabels, double aValue)
{
  return aName + PrintLabels(aLabels) + " " + PrintNumber(aValue) + "\n";
}

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

}

MetricsText::Family&
MetricsText::FindOrAdd(const std::string& aName, const std::string& aType, const std::string& aHelp)
{
  auto& family = mFamilies[aName];
  family.mType = aType;
  family.mHelp = aHelp;
  return family;
}

void
MetricsText::Counter(const std::string& aName,
                     const std::string& aHelp,
                     const MetricLabels& aLabels,
                     double aValue)
{
  FindOrAdd(aName, "counter", aHelp).mLines += PrintLine(aName, aLabels, aValue);
}

void
MetricsText::Gauge(const std::string& aName,
                   const std::string& aHelp,
                   const MetricLabels& aLabels,
                   double aValue)
{
  FindOrAdd(aName, "gauge", aHelp).mLines += PrintLine(aName, aLabels, aValue);
}

void
MetricsText::Summary(const std::string& aName,
                     const std::string& aHelp,
                     const MetricLabels& aLabels,
                     const DurationHistogram& aHistogram)
{
  auto& lines = FindOrAdd(aName, "summary", aHelp).mLines;
  for (double quantile : kQuantiles) {
    auto labels = aLabels;
    labels.emplace_back("quantile", PrintNumber(quantile));
    lines += PrintLine(aName, labels, Seconds(aHistogram.Quantile(quantile)));
  }
  lines += PrintLine(aName + "_sum", aLabels, Seconds(aHistogram.Sum()));
  lines += PrintLine(aName + "_count", aLabels, static_cast<double>(aHistogram.Count()));
}

std::string
MetricsText::Print() const
{
  std::string text;
  for (const auto& [name, family] : mFamilies) {
    text += "# HELP " + name + " " + family.mHelp + "\n";
    text += "# TYPE " + name + " " + family.mType + "\n";
    text += family.mLines;
  }
  return text;
}

}
