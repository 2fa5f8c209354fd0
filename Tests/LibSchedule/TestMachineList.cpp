#include "LibSchedule/MachineList.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr Instant kStart(100s);

MachineRow
RowOf(const std::string& aName, const std::string& aPool, MachineState aState)
{
  return std::make_shared<const Machine>(
    Machine{ MachineId(aName), ServiceName(aPool), aState, ExecutorId("x-" + aName + aPool) });
}

// Reads a whole list, in as many pages as are given.
void
ReadList(MachineList& aList, Instant aNow, const std::vector<std::vector<MachineRow>>& aPages)
{
  Actions actions;
  for (std::size_t i = 0; i < aPages.size(); ++i) {
    aList.mNextReadAt = aNow;
    AdvanceMachineList(aList, { aNow, TimePoint() }, actions);
    MachinesAnswer answer;
    answer.mResult = CallResult::Done;
    answer.mMachines = aPages[i];
    answer.mNextPage = i + 1 < aPages.size() ? "next" : "";
    OnMachines(aList, { aNow + 10ms, TimePoint() }, answer, actions);
  }
}

// What is known of machines if each list is taken over as a whole.
struct WholeList
{
  std::map<MachineId, Machine> mMachines;
  std::map<MachineId, Instant> mInPoolSince;
  std::map<MachineId, Instant> mUpSince;

  void Read(Instant aNow, const std::vector<std::vector<MachineRow>>& aPages)
  {
    std::map<MachineId, Machine> next;
    for (const auto& page : aPages) {
      for (const auto& row : page) {
        next[row->mId] = *row;
      }
    }
    for (const auto& [id, machine] : next) {
      auto known = mMachines.find(id);
      auto isNewHere = known == mMachines.end() || known->second.mPool != machine.mPool;
      if (isNewHere) {
        mInPoolSince[id] = aNow + 10ms;
      }
      if (machine.mState != MachineState::Up) {
        mUpSince.erase(id);
      } else if (isNewHere || !mUpSince.contains(id)) {
        mUpSince[id] = aNow;
      }
    }
    mMachines = next;
  }
};

std::vector<std::vector<MachineRow>>
RandomPages(std::vector<MachineRow>& aKnown)
{
  std::vector<std::vector<MachineRow>> pages(static_cast<std::size_t>(*rc::gen::inRange(1, 4)));
  for (std::size_t i = 0; i < aKnown.size(); ++i) {
    if (*rc::gen::inRange(0, 4) == 0) {
      aKnown[i] = RowOf("m" + std::to_string(i),
                        *rc::gen::element("a", "b"),
                        *rc::gen::element(MachineState::Up, MachineState::Moving));
    }
    if (*rc::gen::inRange(0, 8) != 0) {
      pages[i * pages.size() / aKnown.size()].push_back(aKnown[i]);
    }
    if (*rc::gen::inRange(0, 16) == 0) {
      pages.back().push_back(aKnown[i]);
    }
  }
  return pages;
}

}

BOOST_AUTO_TEST_SUITE(TheMachineList)

// Guards against a list of which only the changed rows are taken over, and that differs from the
// one that the platform sent: hosts are ordered in the wrong pool or too early.
BOOST_AUTO_TEST_CASE(taking_over_changed_rows_gives_the_whole_list)
{
  auto holds = rc::check([] {
    MachineList list;
    WholeList whole;
    std::vector<MachineRow> known;
    constexpr int kMachines = 6;
    known.reserve(kMachines);
    for (int i = 0; i < kMachines; ++i) {
      known.push_back(RowOf("m" + std::to_string(i), "a", MachineState::Up));
    }
    for (int k = 0; k < 8; ++k) {
      auto pages = RandomPages(known);
      auto now = kStart + k * 500ms;
      ReadList(list, now, pages);
      whole.Read(now, pages);
      RC_ASSERT(list.mMachines == whole.mMachines);
      RC_ASSERT(list.mInPoolSince == whole.mInPoolSince);
      RC_ASSERT(list.mUpSince == whole.mUpSince);
    }
  });
  BOOST_TEST(holds);
}

// Guards against an owner whose processor time goes into lists of machines that are as before: what
// is derived from the list is derived anew only if the count has changed.
BOOST_AUTO_TEST_CASE(a_list_that_is_read_again_changes_only_what_differs)
{
  MachineList list;
  std::vector<MachineRow> rows;
  constexpr int kMachines = 500;
  rows.reserve(kMachines);
  for (int i = 0; i < kMachines; ++i) {
    rows.push_back(RowOf("m" + std::to_string(1000 + i), "a", MachineState::Up));
  }
  ReadList(list, kStart, { rows });
  auto changes = list.mChanges;
  const auto* entry = FindMachine(list, rows[7]->mId);
  ReadList(list, kStart + 1s, { rows });
  BOOST_TEST(list.mChanges == changes);
  rows[7] = RowOf("m1007", "b", MachineState::Moving);
  ReadList(list, kStart + 2s, { rows });
  BOOST_TEST(list.mChanges == changes + 1);
  BOOST_TEST(FindMachine(list, rows[7]->mId) == entry);
  BOOST_TEST(entry->mPool.mValue == "b");
}

BOOST_AUTO_TEST_SUITE_END()
