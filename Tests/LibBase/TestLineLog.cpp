#include "LibBase/LineLog.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <unistd.h>

using namespace sesameseam;

namespace {

struct Pipe
{
  int mEnds[2] = { -1, -1 };

  Pipe() { BOOST_REQUIRE(pipe(mEnds) == 0); }
  ~Pipe()
  {
    close(mEnds[0]);
    close(mEnds[1]);
  }

  [[nodiscard]] std::string Read() const
  {
    std::string text(1 << 20, '\0');
    auto length = read(mEnds[0], text.data(), text.size());
    return text.substr(0, length > 0 ? static_cast<std::size_t>(length) : 0);
  }
};

}

BOOST_AUTO_TEST_SUITE(TheLineLog)

BOOST_AUTO_TEST_CASE(routine_lines_are_left_out_before_others_and_the_count_is_told)
{
  Pipe pipe;
  LineLog log(pipe.mEnds[1], { 10, 4096 });
  for (int i = 0; i < 20; ++i) {
    log.Write(TimePoint(1s), "routine", LineKind::Routine);
  }
  BOOST_TEST(log.Dropped() == 13);
  for (int i = 0; i < 5; ++i) {
    log.Write(TimePoint(1s), "end", LineKind::Result);
  }
  BOOST_TEST(log.Dropped() == 15);
  log.Write(TimePoint(2s), "next", LineKind::Result);
  log.Flush();
  auto text = pipe.Read();
  BOOST_TEST(text.find("{\"event\":\"log-lines-dropped\",\"count\":13}") != std::string::npos);
  BOOST_TEST(text.find("{\"event\":\"log-lines-dropped\",\"count\":2}\nnext\n") !=
             std::string::npos);
}

// In a peak, the lines of ended jobs used up the budget, and the load of the busiest shard was
// missing for just that time.
BOOST_AUTO_TEST_CASE(periodic_lines_are_written_when_the_budget_is_used_up)
{
  Pipe pipe;
  LineLog log(pipe.mEnds[1], { 10, 4096 });
  for (int i = 0; i < 20; ++i) {
    log.Write(TimePoint(1s), "end", LineKind::Result);
  }
  log.Write(TimePoint(1s), "load", LineKind::Periodic);
  log.Flush();
  BOOST_TEST(log.Dropped() == 10);
  BOOST_TEST(pipe.Read().find("load\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_reader_that_takes_nothing_does_not_hold_the_writer_up)
{
  Pipe pipe;
  LineLog log(pipe.mEnds[1], { 1'000'000, 4096 });
  std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    log.Write(TimePoint(1s), line, LineKind::Result);
    log.Flush();
  }
  BOOST_TEST(log.Dropped() > 0);
  // What was written before the pipe was full is whole.
  auto text = pipe.Read();
  BOOST_TEST(text.substr(0, 1001) == line + "\n");
}

BOOST_AUTO_TEST_SUITE_END()
