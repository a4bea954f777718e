#ifndef BUCKTHORNWING_TEST_TCP_ANSWER_H
#define BUCKTHORNWING_TEST_TCP_ANSWER_H

#include "LinkQueue.h"

#include <memory>

namespace buckthornwing::test {

/// \brief An answer that comes in over TCP: its window grows with each
/// acknowledgement up to a limit.
class TcpAnswer : public std::enable_shared_from_this<TcpAnswer>
{
public:
  /// \param in the receiver's link for segments
  /// \param out and for acknowledgements
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
  static constexpr std::size_t kMostWindowBytes = 65536;

  LinkQueue& in;
  LinkQueue& out;
  std::size_t left;
  std::function<void()> done;
  std::size_t underWay = 0;
  std::size_t window = 10 * kSegmentBytes;

  void sendMore()
  {
    while (this->left > 0 && this->underWay + kSegmentBytes <= this->window) {
      const std::size_t bytes = std::min(this->left, kSegmentBytes);
      this->left -= bytes;
      this->underWay += kSegmentBytes;
      this->in.pass(bytes + kHeaderBytes, [self = this->shared_from_this()] {
        self->out.pass(kHeaderBytes, [self] { self->onAcknowledged(); });
      });
    }
  }

  void onAcknowledged()
  {
    this->underWay -= kSegmentBytes;
    this->window = std::min(this->window + kSegmentBytes, kMostWindowBytes);
    this->sendMore();
    if (this->underWay == 0) {
      this->done();
    }
  }
};

}

#endif
