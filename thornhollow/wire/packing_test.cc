#include <random>
#include <string>

#include <doctest/doctest.h>

#include "thornhollow/wire/packing.h"

namespace thornhollow {
namespace {

// A name as a platform draws it.
std::string
DrawnName(std::mt19937& aRandom)
{
  std::string name;
  for (int each = 0; each < 7; ++each) {
    name += "abcdefghijklmnopqrstuvwxyz0123456789"[aRandom() % 36];
  }
  return name;
}

std::string
LargeDocument(int aRoutes)
{
  std::mt19937 random(1);
  std::string document;
  for (int each = 0; each < aRoutes; ++each) {
    document += R"({"name":"r-)" + DrawnName(random) +
                R"(","host":"one.example","prefix":"/)" + DrawnName(random) +
                R"(/","kind":"idempotent","timeout":12000,"target":400,)" +
                R"("tier":0,"pool":"engines","attempts":2,"resumable":false},)";
  }
  return document;
}

TEST_CASE("packing/any_bytes/come_back_equal")
{
  for (const std::string& each :
       { std::string(), std::string("x"), std::string(100'000, '\0') }) {
    CHECK(Unpack(Pack(each), each.size()) == each);
  }
}

// Guards against configurations that take longer than a change may on the link
// of a small instance.
TEST_CASE("packing/document_of_thousands_of_routes/becomes_a_fifth_at_most")
{
  const std::string document = LargeDocument(4'200);
  const std::string packed = Pack(document);
  CHECK(packed.size() * 5 <= document.size());
  CHECK(Unpack(packed, document.size()) == document);
}

TEST_CASE("packing/no_such_message_or_another_size/is_nothing")
{
  const std::string packed = Pack("some bytes");
  CHECK_FALSE(Unpack(packed, 9).has_value());
  CHECK_FALSE(Unpack(packed, 11).has_value());
  CHECK_FALSE(Unpack(packed.substr(0, packed.size() - 1), 10).has_value());
  CHECK_FALSE(Unpack("not packed", 10).has_value());
  CHECK_FALSE(Unpack("", 0).has_value());
}

} // namespace
} // namespace thornhollow
