#pragma once

// A condition on the outcome of a load run, as it stands on the command line.
//
//   const Expectation expectation = Expectation::parse("ran>=95%");
//   if (!expectation.holds(metrics)) ...

#include <map>
#include <string>
#include <string_view>

namespace banyankeel
{

/// Names and values that a run ended with; "sent" is always there.
using LoadMetrics = std::map<std::string, double>;

/// A metric, a comparison and a bound. Immutable.
class Expectation
{
public:
    /// Reads <metric><comparison><number>[%], the comparison being one of >=, <=, ==, > and <. A percentage is one of what was sent.
    /// @throws SettingsError on any other text.
    static Expectation parse(std::string_view text);

    /// A metric that did not come up counts as zero.
    [[nodiscard]] bool holds(const LoadMetrics &metrics) const;
    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }

private:
    Expectation(std::string text, std::string metric, std::string comparison, double bound, bool isShare);

    std::string m_text;
    std::string m_metric;
    std::string m_comparison;
    double m_bound;
    bool m_isShare;
};

} // namespace banyankeel
