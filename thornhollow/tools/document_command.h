// The operators' command for a configuration document that instances relay by.
//
//   BOOST_LEAF_AUTO(document, ReadDocument(bytes));
//   const auto done = RunExplainDocument(document, "a.example", "/x/", "");
//
#ifndef THORNHOLLOW_TOOLS_DOCUMENT_COMMAND_H_
#define THORNHOLLOW_TOOLS_DOCUMENT_COMMAND_H_

#include <string>

#include "thornhollow/routing/routing_document.h"
#include "thornhollow/tools/operator_command.h"

namespace thornhollow {

// What a document holds, with a line for each thing that a daemon accepts but
// that callers would suffer from: routes of equal host and prefix, pools that
// aren't declared, routes without a pool of weight, tokens of two teams.
command_result
RunCheckDocument(const routing_document& aDocument);

// What a request with this host, path and token (empty: none) meets: its
// route, team, tier, pools, targets and limits, or the status that it is
// refused with; exit code `kExitRefused` then.
command_result
RunExplainDocument(const routing_document& aDocument,
                   const std::string& aHost,
                   const std::string& aPath,
                   const std::string& aToken);

} // namespace thornhollow

#endif // THORNHOLLOW_TOOLS_DOCUMENT_COMMAND_H_
