#include "common/ctl/printer.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Timestamp.h>

#include <functional>
#include <initializer_list>
#include <iomanip>

namespace umberhold {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int kColumnWidth = 18;
constexpr unsigned kIndentWidth = 2;

void print(std::ostream& out, const std::string& body,
           const std::function<void(const Object&)>& writer) {
  try {
    writer(*Poco::JSON::Parser().parse(body).extract<Object::Ptr>());
  } catch (const Poco::Exception&) {
    out << body << '\n';
  }
}

std::string text(const Object& object, const std::string& key) {
  const Poco::Dynamic::Var value = object.get(key);
  return value.isEmpty() ? "-" : value.convert<std::string>();
}

void printRow(std::ostream& out, const std::vector<std::string>& cells) {
  for (size_t index = 0; index + 1 < cells.size(); ++index) {
    out << std::left << std::setw(kColumnWidth) << cells[index] << ' ';
  }
  out << cells.back() << '\n';
}

/** Prints the elements of an array, one per row, with the keys as the header. */
void printTable(std::ostream& out, const Object& object, const std::string& arrayKey,
                const std::vector<std::string>& keys) {
  printRow(out, keys);
  const Array::Ptr array = object.getArray(arrayKey);
  for (unsigned index = 0; !array.isNull() && index < array->size(); ++index) {
    const Object::Ptr element = array->getObject(index);
    std::vector<std::string> cells;
    cells.reserve(keys.size());
    for (const std::string& key : keys) {
      cells.push_back(text(*element, key));
    }
    printRow(out, cells);
  }
}

void printFields(std::ostream& out, const Object& object, const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    printRow(out, {key, text(object, key)});
  }
}

std::string timeText(const Object& change) {
  const auto seconds = change.getValue<Poco::Int64>("at");
  return Poco::DateTimeFormatter::format(Poco::Timestamp::fromEpochTime(seconds),
                                         "%Y-%m-%dT%H:%M:%SZ");
}

void printDetails(std::ostream& out, const Object& error) {
  const Array::Ptr details = error.getArray("details");
  for (unsigned index = 0; !details.isNull() && index < details->size(); ++index) {
    const Object::Ptr detail = details->getObject(index);
    out << "  " << text(*detail, "object") << ' ' << text(*detail, "field") << ": "
        << text(*detail, "detail") << " (" << text(*detail, "code") << ")\n";
  }
}

void printConflict(std::ostream& out, const Object& error) {
  const Object::Ptr conflict = error.getObject("conflict");
  if (!conflict.isNull()) {
    out << "  now at version " << text(*conflict, "current_version") << ", last changed by "
        << text(*conflict, "author") << ": " << text(*conflict, "summary") << " (request "
        << text(*conflict, "request_id") << ")\n";
  }
}

}  // namespace

void printList(std::ostream& out, const std::string& body) {
  print(out, body, [&](const Object& object) {
    printTable(out, object, "objects", {"name", "version"});
  });
}

void printDocument(std::ostream& out, const std::string& body) {
  print(out, body, [&](const Object& object) {
    Object document(Poco::JSON_PRESERVE_KEY_ORDER);
    for (const char* key : {"kind", "name", "version"}) {
      document.set(key, object.get(key));
    }
    const Object::Ptr specification = object.getObject("specification");
    for (const std::string& key : specification->getNames()) {
      document.set(key, specification->get(key));
    }
    document.stringify(out, kIndentWidth);
    out << '\n';
  });
}

void printService(std::ostream& out, const std::string& body) {
  print(out, body, [&](const Object& object) {
    const Object::Ptr service = object.getObject("specification");
    printFields(out, object, {"name", "version", "source"});
    printFields(
        out, *service,
        {"region", "address", "port", "protocol", "policy", "idle_timeout_seconds", "shards"});
    out << '\n';
    printTable(
        out, *service, "hosts",
        {"name", "address", "zone", "state", "drain_deadline", "connection_limit", "weight"});
  });
}

void printStatus(std::ostream& out, const std::string& body) {
  print(out, body, [&](const Object& object) {
    printFields(out, object,
                {"node_id", "region", "zone", "readiness", "config_version", "services", "policies",
                 "flows", "owned_shards"});
    const Object::Ptr members = object.getObject("members");
    printRow(out, {"members", "alive " + text(*members, "alive") + ", suspect " +
                                  text(*members, "suspect") + ", joining " +
                                  text(*members, "joining") + ", leaving " +
                                  text(*members, "leaving") + ", dead " + text(*members, "dead")});
    const Object::Ptr coverage = object.getObject("coverage");
    printRow(out,
             {"coverage", "version " + text(*coverage, "version") + " " + text(*coverage, "text") +
                              ", slowest node " + text(*coverage, "slowest_node")});
  });
}

void printMembers(std::ostream& out, const std::string& body) {
  print(out, body, [&](const Object& object) {
    printTable(out, object, "members", {"node_id", "state", "control", "relay", "incarnation"});
  });
}

void printExplanation(std::ostream& out, const std::string& body) {
  print(out, body, [&](const Object& object) {
    printFields(out, object,
                {"knowledge", "host", "shard", "owner", "epoch", "exception", "load_bound",
                 "policy", "policy_admits"});
    out << '\n';
    printTable(out, object, "hosts",
               {"rank", "name", "admissible", "healthy", "draining", "static_weight",
                "policy_weight", "base_weight", "load", "flows", "connection_limit"});
  });
}

void printHistory(std::ostream& out, const std::string& body) {
  print(out, body, [&](const Object& object) {
    printRow(out, {"at", "kind", "name", "author", "request_id", "summary"});
    const Array::Ptr changes = object.getArray("changes");
    for (unsigned index = 0; !changes.isNull() && index < changes->size(); ++index) {
      const Object& change = *changes->getObject(index);
      printRow(out, {timeText(change), text(change, "kind"), text(change, "name"),
                     text(change, "author"), text(change, "request_id"), text(change, "summary")});
    }
  });
}

void printRequest(std::ostream& out, const std::string& body) {
  print(out, body, [&](const Object& object) {
    printFields(out, object, {"outcome", "kind", "name", "version", "author", "summary"});
    printRow(out, {"at", timeText(object)});
  });
}

void printChanges(std::ostream& out, const std::vector<FieldChange>& changes) {
  for (const FieldChange& change : changes) {
    out << "  " << change.field << ": " << change.before.value_or("(none)") << " -> "
        << change.after.value_or("(none)") << '\n';
  }
}

void printError(std::ostream& out, const std::string& body) {
  print(out, body, [&](const Object& object) {
    const Object::Ptr error = object.getObject("error");
    if (error.isNull()) {
      throw Poco::DataFormatException("no error object");
    }
    out << "error: " << text(*error, "message") << " (" << text(*error, "code") << ")\n";
    printDetails(out, *error);
    printConflict(out, *error);
    if (error->has("request_id")) {
      out << "  request id " << text(*error, "request_id") << '\n';
    }
  });
}

}  // namespace umberhold
