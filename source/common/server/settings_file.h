/** @file Tells when a settings file has changed, also where no signal says so. */
#pragma once

#include <cstdint>
#include <string>

namespace umberhold {

/** Not thread safe. */
class SettingsFile {
 public:
  explicit SettingsFile(std::string path);

  const std::string& path() const { return path_; }
  /** @return whether the file differs from what it was at the last call or at the construction. */
  bool takeChange();

 private:
  /** What a file system tells of a file's content without reading it. */
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
