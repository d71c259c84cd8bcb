// Tests of the table and of the page.
#include "apps/burn/html_report.h"

#include <doctest/doctest.h>

using namespace jackdaw::burn;
using std::chrono::hours;
using std::chrono::minutes;

TEST_CASE("table and page name each objective, its verdict and the hosts that are missing")
{
    burn_history history(budgetPeriod, hours(6), minutes(15));
    history.add({ minutes(0), "10.0.0.1:9", { { 0, 0 } } });
    history.add({ minutes(4), "10.0.0.1:9", { { 50, 100 } } });
    const std::vector<service_objective> objectives { { "<b>", "votes", 0.99, std::chrono::milliseconds(500) } };
    const auto burns = computeBurns(history, objectives, minutes(5), 1);
    const std::vector<host_state> hosts { { "10.0.0.1:9", false, minutes(4) }, { "10.0.0.2:9", false, std::nullopt }, { "10.0.0.3:9", true, minutes(5) } };
    const std::string table = toTable(burns, hosts, minutes(5));
    CHECK(table.find("<b>/votes") != std::string::npos);
    CHECK(table.find("50.00") != std::string::npos);
    CHECK(table.find("fast burn") != std::string::npos);
    CHECK(table.find("host 10.0.0.1:9 does not answer, last reading 1 min ago\n") != std::string::npos);
    CHECK(table.find("host 10.0.0.2:9 does not answer\n") != std::string::npos);
    CHECK(table.find("10.0.0.3") == std::string::npos);
    const std::string page = toHtml(history, burns, hosts, minutes(5));
    CHECK(page.find("&lt;b&gt;/votes") != std::string::npos);
    CHECK(page.find("<polyline") != std::string::npos);
    CHECK(page.find("<b>") == std::string::npos);
    CHECK(page.find("http") == std::string::npos);
}
