/** @file Detects changes of a settings file without a signal. */
#pragma once

#include <cstdint>
#include <string>

namespace umberhold {

/** Watches a settings file by its metadata. Not thread safe. */
class SettingsFile {
 public:
  explicit SettingsFile(std::string path);

  const std::string& path() const { return path_; }
  /** @return whether the file has changed since the last call or, at first, since construction. */
  bool takeChange();

 private:
  /** Metadata of a file that changes with its content. */
  struct Stamp {
    int64_t changedAt = 0;
    int64_t changedNanoseconds = 0;
    int64_t size = -1;
    uint64_t inode = 0;

    bool operator==(const Stamp&) const = default;
  };

  Stamp read() const;

  const std::string path_;
  Stamp last_;
};

}  // namespace umberhold
