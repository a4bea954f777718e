#include "InstanceProcess.h"

#include <src/Io/Error.h>

#include <boost/asio/buffer.hpp>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace buckthornwing::emulator {

InstanceProcess::InstanceProcess(boost::asio::io_context& context,
                                 std::string program,
                                 std::string settingsFile,
                                 const std::string& logFile,
                                 OnLine onLine)
  : context(context)
  , program(std::move(program))
  , settingsFile(std::move(settingsFile))
  , log(logFile)
  , onLine(std::move(onLine))
{
}

InstanceProcess::~InstanceProcess()
{
  if (this->pid != 0) {
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
  }
}

boost::leaf::result<void>
InstanceProcess::launch()
{
  std::array<int, 2> pipeEnds{};
  if (::pipe2(pipeEnds.data(), O_CLOEXEC) != 0) {
    return boost::leaf::new_error(
      Error{ "make pipe", this->program, std::strerror(errno) });
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
  // The daemon must not inherit the sockets of the emulator.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::array<char*, 3> arguments{ this->program.data(),
                                  this->settingsFile.data(),
                                  nullptr };
  const int problem = ::posix_spawn(&this->pid,
                                    this->program.c_str(),
                                    &actions,
                                    nullptr,
                                    arguments.data(),
                                    environ);
  posix_spawn_file_actions_destroy(&actions);
  ::close(pipeEnds[1]);
  if (problem != 0) {
    this->pid = 0;
    ::close(pipeEnds[0]);
    return boost::leaf::new_error(
      Error{ "start process", this->program, std::strerror(problem) });
  }
  this->partialLine.clear();
  this->output = std::make_shared<boost::asio::posix::stream_descriptor>(
    this->context, pipeEnds[0]);
  this->isReadPending = false;
  this->read();
  return {};
}

void
InstanceProcess::signal(int number)
{
  if (this->pid != 0) {
    ::kill(this->pid, number);
  }
}

void
InstanceProcess::setReading(bool newIsReading)
{
  this->isReading = newIsReading;
  this->read();
}

std::optional<int>
InstanceProcess::takeExit()
{
  int status = 0;
  if (this->pid == 0 || ::waitpid(this->pid, &status, WNOHANG) != this->pid) {
    return std::nullopt;
  }
  this->pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::uint64_t
InstanceProcess::residentKilobytes() const
{
  std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
  std::string field;
  while (status >> field) {
    if (field == "VmRSS:") {
      std::uint64_t size = 0;
      status >> size;
      return size;
    }
  }
  return 0;
}

void
InstanceProcess::read()
{
  if (!this->isReading || this->isReadPending || this->output == nullptr) {
    return;
  }
  this->isReadPending = true;
  const auto descriptor = this->output;
  descriptor->async_read_some(
    boost::asio::buffer(this->buffer),
    [this, descriptor](const boost::system::error_code& code,
                       std::size_t size) {
      if (descriptor != this->output) {
        return;
      }
      this->isReadPending = false;
      if (code) {
        this->output = nullptr;
        return;
      }
      this->appendOutput({ this->buffer.data(), size });
      this->read();
    });
}

void
InstanceProcess::appendOutput(std::string_view text)
{
  this->log.write(text.data(), static_cast<std::streamsize>(text.size()));
  this->log.flush();
  this->partialLine += text;
  std::size_t start = 0;
  std::size_t end = this->partialLine.find('\n');
  while (end != std::string::npos) {
    this->onLine(this->partialLine.substr(start, end - start));
    start = end + 1;
    end = this->partialLine.find('\n', start);
  }
  this->partialLine.erase(0, start);
}

}
