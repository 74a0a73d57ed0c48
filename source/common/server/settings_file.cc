#include "common/server/settings_file.h"

#include <sys/stat.h>

#include <utility>

namespace umberhold {

SettingsFile::SettingsFile(std::string path) : path_(std::move(path)), last_(read()) {}

SettingsFile::Stamp SettingsFile::read() const {
  struct stat status {};
  if (::stat(path_.c_str(), &status) != 0) {
    return {};
  }
  return {status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_size, status.st_ino};
}

bool SettingsFile::takeChange() {
  const Stamp now = read();
  return std::exchange(last_, now) != now;
}

}  // namespace umberhold
