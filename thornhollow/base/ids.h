// Names that operators declare, each its own type, so that a team can't be
// passed where an endpoint is expected.
//
//   const team_name team("dock-drivers");
//   std::unordered_map<team_name, int> perTeam;
//
#ifndef THORNHOLLOW_BASE_IDS_H_
#define THORNHOLLOW_BASE_IDS_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace thornhollow {

// A string that names one kind of thing. Ordered and hashed by its text.
template<class tag>
class name_of
{
public:
  name_of() = default;
  explicit name_of(std::string aText)
    : mText(std::move(aText))
  {
  }

  const std::string& Text() const { return mText; }
  bool empty() const { return mText.empty(); }

  friend bool operator==(const name_of&, const name_of&) = default;
  // clang-tidy 14 takes the 0 in the generated code for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend std::strong_ordering operator<=>(const name_of&,
                                          const name_of&) = default;
  // NOLINTEND(modernize-use-nullptr)

private:
  std::string mText;
};

// A team (caller) that sends requests.
using team_name = name_of<struct team_tag>;
// A request class.
using class_name = name_of<struct class_tag>;
// A service level.
using level_name = name_of<struct level_tag>;
// A model.
using model_name = name_of<struct model_tag>;
// A model engine or an instance of a plain service.
using endpoint_name = name_of<struct endpoint_tag>;
// A plain service.
using service_name = name_of<struct service_tag>;
// A failure domain.
using domain_name = name_of<struct domain_tag>;
// What requests are queued for: a model's name or a plain service's.
using pool_name = name_of<struct pool_tag>;
// An entry instance of thornhollow.
using instance_name = name_of<struct instance_tag>;
// A version of an endpoint's software, as the source lists it. Versions are
// equal or not; they have no order.
using software_version = name_of<struct software_version_tag>;
// A request, unique over the whole system; echoed by endpoints.
using request_id = name_of<struct request_tag>;

} // namespace thornhollow

template<class tag>
struct std::hash<thornhollow::name_of<tag>>
{
  std::size_t operator()(const thornhollow::name_of<tag>& aName) const noexcept
  {
    return std::hash<std::string>()(aName.Text());
  }
};

#endif // THORNHOLLOW_BASE_IDS_H_
