/** @file Formats responses of the admin API as human-readable text. */
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "common/admin/specification_diff.h"

namespace umberhold {

/** Each function prints one kind of response; a body of another form is printed unchanged. */
void printList(std::ostream& out, const std::string& body);
/** Prints an object with its version, as a document that can be edited and applied again. */
void printDocument(std::ostream& out, const std::string& body);
void printService(std::ostream& out, const std::string& body);
void printStatus(std::ostream& out, const std::string& body);
void printMembers(std::ostream& out, const std::string& body);
void printExplanation(std::ostream& out, const std::string& body);
void printHistory(std::ostream& out, const std::string& body);
void printRequest(std::ostream& out, const std::string& body);
void printChanges(std::ostream& out, const std::vector<FieldChange>& changes);
/** Prints an error with its details, and the conflicting change if there is one. */
void printError(std::ostream& out, const std::string& body);

}  // namespace umberhold
