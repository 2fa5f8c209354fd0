#include "platform/CredentialWire.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam::platform;
using sesameseam::schedule::CredentialKind;

BOOST_AUTO_TEST_SUITE(TheCredential)

BOOST_AUTO_TEST_CASE(a_bearer_key_is_read_and_all_else_names_none)
{
  BOOST_TEST((DecodeCredential({}).mKind == CredentialKind::Absent));
  for (const auto* header : { "Bearer k1", "bearer k1", "BEARER   k1" }) {
    BOOST_TEST((DecodeCredential({ header }).mKind == CredentialKind::Bearer));
    BOOST_TEST(DecodeCredential({ header }).mKey == "k1");
  }
  std::vector<std::vector<std::string>> malformed = { { "" },
                                                      { "Bearer" },
                                                      { "Bearer " },
                                                      { "Basic k1" },
                                                      { "k1" },
                                                      { "Bearerk1" },
                                                      { "Bearer\tk1" },
                                                      { "Bearer k1 k2" },
                                                      { "Bearer k\t1" },
                                                      { "Bearer \xc3\xa9" },
                                                      { "Bearer " + std::string(513, 'k') },
                                                      { "Bearer k1", "Bearer k1" },
                                                      { "Bearer k1", "Bearer k2" },
                                                      { "Bearer k1", "" } };
  for (const auto& headers : malformed) {
    auto credential = DecodeCredential(headers);
    BOOST_TEST((credential.mKind == CredentialKind::Malformed));
    BOOST_TEST(credential.mKey == "");
    BOOST_TEST(!credential.mProblem.empty());
  }
}

BOOST_AUTO_TEST_CASE(any_headers_are_read_or_refused_without_naming_what_was_sent)
{
  auto holds = rc::check([] {
    auto prefix = *rc::gen::element(std::string(), std::string("Bearer "), std::string("Basic "));
    auto headers = *rc::gen::container<std::vector<std::string>>(rc::gen::string<std::string>());
    for (auto& header : headers) {
      header.insert(0, prefix + "SECRET");
    }
    auto credential = DecodeCredential(headers);
    RC_ASSERT(credential.mProblem.find("SECRET") == std::string::npos);
    RC_ASSERT(credential.mKind != CredentialKind::Bearer || headers.size() == 1);
    RC_ASSERT((credential.mKind == CredentialKind::Bearer) == !credential.mKey.empty());
    RC_ASSERT((credential.mKind == CredentialKind::Malformed) == !credential.mProblem.empty());
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
