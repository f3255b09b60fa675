#include "coordination/overload/completion.h"

#include <algorithm>

namespace banyankeel
{

AdmissionHint combinedHint(const AdmissionHint &left, const AdmissionHint &right)
{
    // At one priority level all nodes shed the same roots by hash, so the roots admitted by the lower fraction are also admitted by the higher one.
    AdmissionHint found = std::uint64_t(left.load) * right.limit >= std::uint64_t(right.load) * left.limit ? left : right;
    found.admittedLevel = std::min(left.admittedLevel, right.admittedLevel);
    found.admittedFraction = std::min(left.admittedFraction, right.admittedFraction);
    return found;
}

} // namespace banyankeel
