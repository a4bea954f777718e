#ifndef BUCKTHORNWING_TEST_TCP_ANSWER_H
#define BUCKTHORNWING_TEST_TCP_ANSWER_H

#include "LinkQueue.h"

#include <memory>

namespace buckthornwing::test {

/// \brief Simulated transfer of an answer over TCP. The congestion window grows
/// by one segment with each acknowledgement, up to a limit.
class TcpAnswer : public std::enable_shared_from_this<TcpAnswer>
{
public:
  /// \brief Starts a transfer.
  /// \param in incoming link of the receiver, for segments
  /// \param out outgoing link of the receiver, for acknowledgements
  /// \param done called when all segments have been acknowledged
  static void send(LinkQueue& in,
                   LinkQueue& out,
                   std::size_t bytes,
                   std::function<void()> done)
  {
    std::make_shared<TcpAnswer>(in, out, bytes, std::move(done))->sendMore();
  }

  TcpAnswer(LinkQueue& in,
            LinkQueue& out,
            std::size_t bytes,
            std::function<void()> done)
    : in(in)
    , out(out)
    , left(bytes)
    , done(std::move(done))
  {
  }

private:
  static constexpr std::size_t kHeaderBytes = 60;
  static constexpr std::size_t kSegmentBytes = 1460;
  static constexpr std::size_t kMaxWindowBytes = 65536;

  LinkQueue& in;
  LinkQueue& out;
  std::size_t left;
  std::function<void()> done;
  std::size_t inFlight = 0;
  std::size_t window = 10 * kSegmentBytes;

  void sendMore()
  {
    while (this->left > 0 && this->inFlight + kSegmentBytes <= this->window) {
      const std::size_t bytes = std::min(this->left, kSegmentBytes);
      this->left -= bytes;
      this->inFlight += kSegmentBytes;
      this->in.send(bytes + kHeaderBytes, [self = this->shared_from_this()] {
        self->out.send(kHeaderBytes, [self] { self->onAcknowledged(); });
      });
    }
  }

  void onAcknowledged()
  {
    this->inFlight -= kSegmentBytes;
    this->window = std::min(this->window + kSegmentBytes, kMaxWindowBytes);
    this->sendMore();
    if (this->inFlight == 0) {
      this->done();
    }
  }
};

}

#endif
