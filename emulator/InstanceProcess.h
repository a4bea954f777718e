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

/// \brief One daemon as a process of its own, with its log read from a pipe.
class InstanceProcess
{
public:
  /// \brief Takes each line of the log.
  using OnLine = std::function<void(const std::string&)>;

  InstanceProcess(boost::asio::io_context& context,
                  std::string program,
                  std::string settingsFile,
                  const std::string& logFile,
                  OnLine onLine);

  /// \brief Kills the process if it runs.
  ~InstanceProcess();
  InstanceProcess(const InstanceProcess&) = delete;
  InstanceProcess& operator=(const InstanceProcess&) = delete;

  boost::leaf::result<void> launch();
  void signal(int number);

  /// \brief Stops or goes on reading the log.
  void setReading(bool isReading);

  bool isRunning() const { return this->pid != 0; }

  /// \returns how the process ended if it has since the last call: the exit
  /// code, or minus the signal.
  std::optional<int> takeExit();

  /// \returns the memory in use, in kB; 0 if it can't be read.
  std::uint64_t residentKilobytes() const;

private:
  boost::asio::io_context& context;
  std::string program;
  std::string settingsFile;
  std::ofstream log;
  OnLine onLine;
  pid_t pid = 0;
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
