#ifndef BUCKTHORNWING_ANOMALY_DESCRIPTION_H
#define BUCKTHORNWING_ANOMALY_DESCRIPTION_H

#include "AnomalyRule.h"

namespace buckthornwing {

/// \param report in which the anomaly was found
/// \param rule by which the anomaly was found
/// \param anomaly the anomaly, whose description is not read
/// \param total sum of the counts of the anomaly's seconds
/// \returns one sentence with the time, the availability zone and the finding.
std::string
describeAnomaly(const TimelineReport& report,
                const AnomalyRule& rule,
                const Anomaly& anomaly,
                const SecondCounts& total);

}

#endif
