#include "EntryProcess.h"

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

EntryProcess::EntryProcess(boost::asio::io_context& context,
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

EntryProcess::~EntryProcess()
{
  if (this->pid != 0) {
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
  }
}

boost::leaf::result<void>
EntryProcess::launch()
{
  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_CLOEXEC) != 0) {
    return boost::leaf::new_error(
      Error{ "make pipe", this->program, std::strerror(errno) });
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  // The sockets of the emulator must not live on in the daemon.
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
  ::close(ends[1]);
  if (problem != 0) {
    this->pid = 0;
    ::close(ends[0]);
    return boost::leaf::new_error(
      Error{ "start process", this->program, std::strerror(problem) });
  }
  this->partialLine.clear();
  this->output = std::make_shared<boost::asio::posix::stream_descriptor>(
    this->context, ends[0]);
  this->isWaiting = false;
  this->read();
  return {};
}

void
EntryProcess::signal(int number)
{
  if (this->pid != 0) {
    ::kill(this->pid, number);
  }
}

void
EntryProcess::setReading(bool newReads)
{
  this->reads = newReads;
  this->read();
}

std::optional<int>
EntryProcess::takeEnd()
{
  int status = 0;
  if (this->pid == 0 || ::waitpid(this->pid, &status, WNOHANG) != this->pid) {
    return std::nullopt;
  }
  this->pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::uint64_t
EntryProcess::residentKilobytes() const
{
  std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
  std::string message;
  while (status >> message) {
    if (message == "VmRSS:") {
      std::uint64_t size = 0;
      status >> size;
      return size;
    }
  }
  return 0;
}

void
EntryProcess::read()
{
  if (!this->reads || this->isWaiting || this->output == nullptr) {
    return;
  }
  this->isWaiting = true;
  const auto descriptor = this->output;
  descriptor->async_read_some(
    boost::asio::buffer(this->buffer),
    [this, descriptor](const boost::system::error_code& code,
                       std::size_t size) {
      if (descriptor != this->output) {
        return;
      }
      this->isWaiting = false;
      if (code) {
        this->output = nullptr;
        return;
      }
      this->takeText({ this->buffer.data(), size });
      this->read();
    });
}

void
EntryProcess::takeText(std::string_view text)
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
