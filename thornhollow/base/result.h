// The project's result type: a value, or a failure carried by Boost.LEAF.
//
//   result<declarations> Read(std::string_view aText);
//   ...
//   BOOST_LEAF_AUTO(read, Read(text));
//
// Failures are raised with `Fail`; the detail is for logs and never holds a
// prompt, an answer or a token.
#ifndef THORNHOLLOW_BASE_RESULT_H_
#define THORNHOLLOW_BASE_RESULT_H_

#include <string>
#include <utility>

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include "thornhollow/base/error.h"

namespace thornhollow {

template<class value>
using result = boost::leaf::result<value>;

// Raises a `failure`; convertible to any `result`.
inline boost::leaf::error_id
Fail(error_kind aKind, std::string aDetail)
{
  return boost::leaf::new_error(failure{ aKind, std::move(aDetail) });
}

} // namespace thornhollow

#endif // THORNHOLLOW_BASE_RESULT_H_
