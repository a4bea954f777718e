#ifndef BUCKTHORNWING_OPENING_REPORT_H
#define BUCKTHORNWING_OPENING_REPORT_H

#include "../Steering/TagEngine.h"
#include "HttpServer.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Parses the query of "/explain?destination=ADDRESS&caller=ADDRESS".
/// \returns the flow, or an Error that names the parameter which is missing or
/// malformed
boost::leaf::result<FlowKey>
parseExplainQuery(std::string_view target);

/// \returns the body of /explain, a JSON object: what an instance would do with
/// the first packet of a flow now, and what it knows of the targets that could
/// take the flow. Changes nothing.
std::string
formatOpeningReport(const TagEngine& engine,
                    const FlowKey& flow,
                    MilliTime now);

/// \returns the response to a request of /explain; status 400 if its query is
/// malformed.
HttpResponse
explainOpening(const TagEngine& engine,
               const std::string& target,
               MilliTime now);

}

#endif
