#include "common/ctl/document.h"

#include <string>

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

namespace umberhold {
namespace {

constexpr const char* kTomlService = R"([[service]]
name = "dispatch"
version = 7
region = "addis"
address = "10.0.0.1"
port = 443
protocol = "tcp"

[[service.hosts]]
name = "dispatch-0"
address = "10.1.0.1:6080"
zone = "bole"
)";

}  // namespace

// POCO's JSON parser keeps its buffers allocated between uses.
// clang-format 14 formats this group's body as an initializer.
// clang-format off
TEST_GROUP_BASE(Document, test::WithoutLeakDetection) {
  DocumentError errorIn(const std::string& file, const std::string& text) {
    const auto documents = parseDocuments(file, text);
    CHECK_FALSE(isOk(documents));
    return errorOf(documents);
  }
  void checkError(DocumentErrorCode code, uint32_t line, const std::string& key,
                  const DocumentError& error) {
    CHECK_EQUAL(static_cast<int>(code), static_cast<int>(error.code));
    CHECK_EQUAL(line, error.line);
    STRCMP_EQUAL(key.c_str(), error.key.c_str());
  }
};
// clang-format on

TEST(Document, ReadsTomlWithPoliciesFirst) {
  const std::string policy = "\n[[policy]]\nname = \"spread\"\nsource = \"-- lua\"\n";
  const auto documents = parseDocuments("a.toml", kTomlService + policy);
  CHECK_TRUE(isOk(documents));
  CHECK_EQUAL(2, valueOf(documents).size());
  STRCMP_EQUAL("spread", valueOf(documents)[0].name.c_str());
  STRCMP_EQUAL("dispatch", valueOf(documents)[1].name.c_str());
  CHECK_EQUAL(7, valueOf(documents)[1].version.value());
  STRCMP_CONTAINS("10.1.0.1:6080", valueOf(documents)[1].specification.c_str());
}

TEST(Document, ReadsSameDocumentsFromJsonAndToml) {
  const std::string json = R"({"kind":"service","name":"dispatch","version":7,"region":"addis",
      "address":"10.0.0.1","port":443,"protocol":"tcp",
      "hosts":[{"name":"dispatch-0","address":"10.1.0.1:6080","zone":"bole"}]})";
  for (const std::string& text : {json, "[" + json + "]"}) {
    const auto documents = parseDocuments("a.json", text);
    CHECK_TRUE(isOk(documents));
    const auto toml = parseDocuments("a.toml", kTomlService);
    STRCMP_EQUAL(valueOf(toml)[0].specification.c_str(),
                 valueOf(documents)[0].specification.c_str());
    CHECK_EQUAL(7, valueOf(documents)[0].version.value());
  }
}

TEST(Document, ReportsLineAndKeyOfInvalidValue) {
  std::string text = kTomlService;
  text += "weight = \"heavy\"\n";
  checkError(DocumentErrorCode::kSpecification, 13, "service[0].hosts[0].weight",
             errorIn("a.toml", text));
  text = kTomlService;
  text += "colour = \"red\"\n";
  checkError(DocumentErrorCode::kSpecification, 13, "service[0].hosts[0].colour",
             errorIn("a.toml", text));
}

TEST(Document, ReportsObjectOfMissingKey) {
  const std::string text = "[[service]]\nname = \"dispatch\"\nregion = \"addis\"\n";
  const DocumentError error = errorIn("a.toml", text);
  CHECK_EQUAL(1, error.line);
  CHECK_TRUE(error.code == DocumentErrorCode::kSpecification);
}

TEST(Document, RejectsUnknownKindsKeysAndFormats) {
  checkError(DocumentErrorCode::kUnknownFormat, 0, "", errorIn("a.yaml", ""));
  checkError(DocumentErrorCode::kSyntax, 2, "", errorIn("a.toml", "[[service]]\nname =\n"));
  checkError(DocumentErrorCode::kUnknownKind, 1, "lease", errorIn("a.toml", "[[lease]]\n"));
  checkError(DocumentErrorCode::kSyntax, 1, "service", errorIn("a.toml", "[service]\n"));
  checkError(DocumentErrorCode::kMissingName, 1, "service[0].name",
             errorIn("a.toml", "[[service]]\nport = 1\n"));
  checkError(DocumentErrorCode::kUnknownKind, 0, "$.kind", errorIn("a.json", "{\"name\":\"x\"}"));
  checkError(DocumentErrorCode::kSyntax, 0, "$[0]", errorIn("a.json", "[1]"));
  CHECK_TRUE(errorIn("a.json", "{").code == DocumentErrorCode::kSyntax);
  CHECK_FALSE(isOk(loadDocuments("/nowhere/a.toml")));
}

TEST(Document, ReportsLineOfJsonSyntaxError) {
  checkError(DocumentErrorCode::kSyntax, 1, "", errorIn("a.json", "{"));
  checkError(DocumentErrorCode::kSyntax, 3, "", errorIn("a.json", "{\n\"kind\":\n}\n\n\n"));
  checkError(DocumentErrorCode::kSyntax, 3, "", errorIn("a.json", "{\"a\":1,\n\n\"b\":tru\n}"));
  checkError(DocumentErrorCode::kSyntax, 2, "", errorIn("a.json", "{\"a\":1\n\"b\":2\n}"));
  checkError(DocumentErrorCode::kSyntax, 2, "", errorIn("a.json", "{\n\"a\":\"x\ny\"}\n"));
  checkError(DocumentErrorCode::kSyntax, 2, "", errorIn("a.json", "{}\n x\n\n"));
  checkError(DocumentErrorCode::kSyntax, 2, "", errorIn("a.json", "\n3\n"));
  STRCMP_CONTAINS("a.json:3: ", toString(errorIn("a.json", "{\n\n]")).c_str());
}

TEST(Document, ReportsPathOfInvalidJsonValue) {
  std::string text = R"([{"kind":"service","name":"dispatch","region":"addis",
      "address":"10.0.0.1","port":443,"protocol":"tcp",
      "hosts":[{"name":"dispatch-0","address":"10.1.0.1:6080","zone":"bole","weight":"heavy"}]}])";
  checkError(DocumentErrorCode::kSpecification, 0, "$[0].hosts[0].weight", errorIn("a.json", text));
}

TEST(Document, RejectsNonNumericVersion) {
  for (const std::string version : {"\"seven\"", "\"7\"", "-1", "[1]", "7.5", "true", "null"}) {
    const std::string text = R"([{"kind":"service","name":"d","version":)" + version + "}]";
    checkError(DocumentErrorCode::kVersion, 0, "$[0].version", errorIn("a.json", text));
  }
  for (const std::string version : {"\"seven\"", "-1", "[1]", "7.5", "true"}) {
    const std::string text = "[[service]]\nname = \"d\"\nversion = " + version + "\n";
    checkError(DocumentErrorCode::kVersion, 3, "service[0].version", errorIn("a.toml", text));
  }
}

TEST(Document, RejectsDuplicateObject) {
  const std::string twice = std::string(kTomlService) + kTomlService;
  checkError(DocumentErrorCode::kDuplicate, 14, "service[1].name", errorIn("a.toml", twice));
}

}  // namespace umberhold
