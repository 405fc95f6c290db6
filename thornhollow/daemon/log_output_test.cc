#include <array>
#include <string>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include "thornhollow/daemon/log_output.h"

namespace thornhollow {
namespace {

struct pipe_output
{
  std::array<int, 2> mEnds{};
  log_output mOutput;

  pipe_output()
    : mOutput((Open(mEnds), mEnds[1]))
  {
  }
  ~pipe_output()
  {
    ::close(mEnds[0]);
    ::close(mEnds[1]);
  }
  pipe_output(const pipe_output&) = delete;
  pipe_output& operator=(const pipe_output&) = delete;

  static void Open(std::array<int, 2>& aEnds)
  {
    REQUIRE(::pipe(aEnds.data()) == 0);
    // Makes a read of an empty pipe return instead of block.
    REQUIRE(::fcntl(aEnds[0], F_SETFL, O_NONBLOCK) == 0);
  }

  std::string Read() const
  {
    std::string read(std::size_t{ 1 } << 20U, '\0');
    const ssize_t count = ::read(mEnds[0], read.data(), read.size());
    read.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return read;
  }
};

TEST_CASE_FIXTURE(pipe_output, "log_output/lines/come_out_whole")
{
  mOutput.Add("one\n");
  mOutput.Add("two\n");
  mOutput.Flush();
  CHECK(Read() == "one\ntwo\n");
}

TEST_CASE_FIXTURE(pipe_output,
                  "log_output/reader_stops_reading/drops_and_goes_on")
{
  // Guards against a stalled instance: the log collector stops reading, the
  // pipe fills up, and a blocking write delays every request.
  const std::string line(1023, 'x');
  for (int count = 0; count < 2000; ++count) {
    mOutput.Add(line + "\n");
    mOutput.Flush();
  }
  CHECK(mOutput.Dropped() > 0);
  // The collector resumes: the remaining lines and the number of dropped lines
  // follow.
  std::string all;
  for (int round = 0; round < 100; ++round) {
    all += Read();
    mOutput.Flush();
    if (round == 20) {
      mOutput.Add("last\n");
    }
    if (all.ends_with("last\n")) {
      break;
    }
  }
  CHECK(all.find("log_lines_dropped") != std::string::npos);
}

} // namespace
} // namespace thornhollow
