#ifndef BUCKTHORNWING_EMULATOR_INSTANCE_PROCESS_H
#define BUCKTHORNWING_EMULATOR_INSTANCE_PROCESS_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/leaf/result.hpp>

#include <array>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>

namespace buckthornwing::emulator {

/// \brief The process of a daemon. Its log is read from a pipe.
class InstanceProcess
{
public:
  /// \brief Called with each line of the log.
  using OnLine = std::function<void(const std::string&)>;

  /// \param logFile file to which the log is copied
  InstanceProcess(boost::asio::io_context& context,
                  std::string program,
                  std::string settingsFile,
                  const std::string& logFile,
                  OnLine onLine);

  /// \brief Kills the process if it is running.
  ~InstanceProcess();
  InstanceProcess(const InstanceProcess&) = delete;
  InstanceProcess& operator=(const InstanceProcess&) = delete;

  /// \brief Starts the process. It must not be running.
  /// \returns an error if the process can't be started
  boost::leaf::result<void> launch();
  /// \brief Sends a signal to the process if it is running.
  void signal(int number);

  /// \brief Stops or resumes reading the log.
  void setReading(bool isReading);

  bool isRunning() const { return this->pid != 0; }

  /// \brief Reaps the process if it has exited.
  /// \returns its exit code, or the negative number of the signal that
  /// terminated it; nothing if no process has exited since the last call
  std::optional<int> takeExit();

  /// \returns the resident set size in kB, or 0 if it can't be read.
  std::uint64_t residentKilobytes() const;

private:
  boost::asio::io_context& context;
  std::string program;
  std::string settingsFile;
  std::ofstream log;
  OnLine onLine;
  pid_t pid = 0; ///< 0 if the process is not running
  std::shared_ptr<boost::asio::posix::stream_descriptor> output;
  std::string partialLine;
  std::array<char, 16384> buffer{};
  bool isReading = true;
  bool isReadPending = false;

  void read();
  void appendOutput(std::string_view text);
};

}

#endif
