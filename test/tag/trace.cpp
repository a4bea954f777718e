/// \file
/// \brief Tests of tracing a request in logs.

#include <Io>

#include <criterion/criterion.h>

#include <sstream>

using namespace buckthornwing;

namespace {

/// Lines of two instances, one of them with a prefix that another program
/// printed, and a truncated line.
const char* const kLog =
  R"(1.0 e1 {"time_ms":4000,"instance":"e1","event":"forward","reason":"placed","flow":"tcp a b","target":"t1"}
{"time_ms":1000,"instance":"e1","event":"forward","reason":"placed","flow":"tcp a b","target":"t9"}
{"time_ms":4500,"instance":"e1","event":"forward","reason":"tagged","request":"q6","flow":"tcp a b","target":"t1"}
{"time_ms":5200,"instance":"e2","event":"target_dead","subject":"t1","note":"probes failed"}
{"time_ms":5000,"instance":"e1","event":"forward","reason":"tagged","request":"q7","flow":"tcp a b","target":"t1"}
{"time_ms":5100,"instance":"e1","event":"forward","reason":"tagged","request":"q8","flow":"tcp c d","target":"t2"}
{"time_ms":5300,"instance":"e2","event":"reset","reason":"target_silent","flow":"tcp a b","target":"t1"}
{"time_ms":5250,"instance":"e2","event":"target_dead","subject":"t2"}
{"time_ms":11100,"instance":"e2","event":"routes","revision":4}
{"time_ms":5150,"instance":"e1","event":"routes","revision":3}
{"time_ms":5400,"inst
)";

}

Test(trace, a_request_is_traced_with_events_of_its_flow_target_and_routes)
{
  std::istringstream log(kLog);
  const auto lines = traceRequest(log, "q7");
  cr_assert_eq(lines.size(), 5);
  cr_assert_eq(lines[0].timeMs, 4000);
  cr_assert_eq(lines[1].detail,
               "reason=tagged request=q7 flow=tcp a b target=t1");
  cr_assert_eq(lines[2].event, "routes");
  cr_assert_eq(lines[3].event, "target_dead");
  cr_assert_eq(lines[3].instance, "e2");
  cr_assert_eq(lines[4].event, "reset");
}

Test(trace, an_unknown_request_has_an_empty_trace)
{
  std::istringstream log(kLog);
  cr_assert(traceRequest(log, "q9").empty());
}
